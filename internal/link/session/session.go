// Package session carries messages between two hillreel processes: protobuf frames, each with its length, on one
// TCP connection. Messages arrive in the order in which they were sent, or the session ends; nothing is lost in
// the middle.
//
// Messages of all kinds that wait while a write is under way go out together as one frame. The idea of
// mixing kinds in a frame is that of the pfsync redesign; docs/MEASUREMENTS.md has the figures, docs/DESIGN.md says
// why no multiplexer is used.
package session

import (
	"bufio"
	"expvar"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"hillreel/internal/link/wire"
)

const (
	// writeTimeout ends a session whose other side does not read.
	writeTimeout = 3 * time.Second
	// LongestGreeting bounds the first exchange where the other side may be standing still.
	MaxHandshake = 3 * time.Second
	// maxFrame bounds a frame that is read, in bytes.
	maxFrame = 64 << 20
	// maxBatch bounds the messages that one frame takes.
	maxBatch = 512
	// maxQueue ends a session whose sender is that many messages ahead.
	maxQueue = 200_000
	// bufferSize is that of each direction's buffer; an entry holds two for each agent of its region.
	bufferSize = 8 << 10
)

// The traffic of this process on all links since it started, as metrics show it.
var (
	framesOut   = expvar.NewInt("link_frames_out")
	messagesOut = expvar.NewInt("link_messages_out")
	bytesOut    = expvar.NewInt("link_bytes_out")
	framesIn    = expvar.NewInt("link_frames_in")
	messagesIn  = expvar.NewInt("link_messages_in")
)

// Session is one link to another process.
type Session struct {
	conn   net.Conn
	reader *bufio.Reader
	// Remote is the other side's first message.
	Remote *wire.Hello

	mu    sync.Mutex
	queue []*wire.Msg
	// wake holds a token while the queue may have something, closed is closed with the session.
	wake      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Dialer opens a connection to a process; tests and the embedded set put delays and cuts into it.
type Dialer func(address string, timeout time.Duration) (net.Conn, error)

// TCP is the Dialer of a real process.
func TCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// Limits bound the beginning of a session.
type Limits struct {
	// Dial bounds the wait for a connection, Greet the exchange of hellos on it.
	Dial, Handshake time.Duration
}

// Dial connects to a process and exchanges hellos.
func Dial(dial Dialer, address string, limits Limits, hello *wire.Hello) (*Session, error) {
	conn, err := dial(address, limits.Dial)
	if err != nil {
		return nil, errors.Wrap(err, "link: dial")
	}
	return handshake(conn, limits.Handshake, hello)
}

// Accept takes a connection that another process dialled and exchanges hellos. The other side gives a greeting that takes too
// long up, so that this one may wait.
func Accept(conn net.Conn, hello *wire.Hello) (*Session, error) {
	return handshake(conn, MaxHandshake, hello)
}

// greet exchanges hellos on a new connection and starts to write.
func handshake(conn net.Conn, limit time.Duration, hello *wire.Hello) (*Session, error) {
	s := &Session{
		conn: conn, reader: bufio.NewReaderSize(conn, bufferSize),
		wake: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	if err := s.exchangeHellos(limit, hello); err != nil {
		s.Close()
		return nil, err
	}
	go s.writeLoop()
	return s, nil
}

// exchange sends one hello and reads the other side's, within a limit.
func (s *Session) exchangeHellos(limit time.Duration, hello *wire.Hello) error {
	if err := s.conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return errors.Wrap(err, "link: deadline")
	}
	first := &wire.Frame{Msgs: []*wire.Msg{{Kind: &wire.Msg_Hello{Hello: hello}}}}
	if _, err := protodelim.MarshalTo(s.conn, first); err != nil {
		return errors.Wrap(err, "link: send hello")
	}
	f, err := s.readFrame()
	if err != nil {
		return errors.Wrap(err, "link: read hello")
	}
	if len(f.GetMsgs()) != 1 || f.GetMsgs()[0].GetHello() == nil {
		return errors.New("link: the first message is not a hello")
	}
	s.Remote = f.GetMsgs()[0].GetHello()
	return errors.Wrap(s.conn.SetDeadline(time.Time{}), "link: deadline")
}

// read reads one frame.
func (s *Session) readFrame() (*wire.Frame, error) {
	f := &wire.Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: maxFrame}.UnmarshalFrom(s.reader, f)
	return f, err
}

// Send queues a message and never blocks. On a session that has ended the message is dropped; one that
// can't keep up is ended, because a hole in the order would break what its users rely on.
func (s *Session) Send(m *wire.Msg) {
	s.mu.Lock()
	s.queue = append(s.queue, m)
	full := len(s.queue) > maxQueue
	s.mu.Unlock()
	if full {
		s.Close()
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Receive calls handle for each frame until the session ends, and returns why it ended.
func (s *Session) Receive(handle func(msgs []*wire.Msg)) error {
	defer s.Close()
	for {
		f, err := s.readFrame()
		if err != nil {
			return errors.Wrap(err, "link: read")
		}
		framesIn.Add(1)
		messagesIn.Add(int64(len(f.GetMsgs())))
		handle(f.GetMsgs())
	}
}

// Close ends the session; what is queued is dropped.
func (s *Session) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.conn.Close() //nolint:errcheck // the session is over either way
	})
}

// write sends whatever has gathered while the last write was under way. No timer holds a message back.
func (s *Session) writeLoop() {
	defer s.Close()
	w := bufio.NewWriterSize(s.conn, bufferSize)
	for {
		select {
		case <-s.closed:
			return
		case <-s.wake:
		}
		// Let those who are about to send do so first: it costs no timer, and under load a frame then
		// carries several messages.
		runtime.Gosched()
		for batch := s.nextBatch(); len(batch) > 0; batch = s.nextBatch() {
			if err := s.writeFrame(w, batch); err != nil {
				return
			}
		}
	}
}

// writeFrame writes a batch as one frame and counts it.
func (s *Session) writeFrame(w *bufio.Writer, batch []*wire.Msg) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := protodelim.MarshalTo(w, &wire.Frame{Msgs: batch})
	if err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	framesOut.Add(1)
	messagesOut.Add(int64(len(batch)))
	bytesOut.Add(int64(n))
	return nil
}

// take removes from the queue what goes into the next frame.
func (s *Session) nextBatch() []*wire.Msg {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), maxBatch)
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	if len(s.queue) == 0 {
		s.queue = nil
	}
	return batch
}
