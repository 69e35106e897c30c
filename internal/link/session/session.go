// Package session carries messages between two hillreel processes as length-prefixed protobuf frames on one TCP
// connection. Messages arrive in the order in which they were sent, without gaps, until the session ends.
//
// Messages of all kinds that are queued during a write go out together as the next frame, as in the redesign of
// pfsync. docs/MEASUREMENTS.md has measurements, and docs/DESIGN.md explains why no multiplexer is used.
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
	// writeTimeout bounds the write of one frame; it ends a session whose remote side does not read.
	writeTimeout = 3 * time.Second
	// MaxHandshake is the longest time limit for the exchange of hellos, for a remote process that may be paused.
	MaxHandshake = 3 * time.Second
	// maxFrame is the largest frame that is read, in bytes.
	maxFrame = 64 << 20
	// maxBatch is the most messages in one frame.
	maxBatch = 512
	// maxQueue is the most messages that may wait to be written; one more ends the session.
	maxQueue = 200_000
	// bufferSize is the size of each direction's buffer, in bytes. An entry holds two buffers for each agent of its region.
	bufferSize = 8 << 10
)

// Metrics: the traffic of this process on all links since it started.
var (
	framesOut   = expvar.NewInt("link_frames_out")
	messagesOut = expvar.NewInt("link_messages_out")
	bytesOut    = expvar.NewInt("link_bytes_out")
	framesIn    = expvar.NewInt("link_frames_in")
	messagesIn  = expvar.NewInt("link_messages_in")
)

// Session is a connection to another process, after the exchange of hellos.
type Session struct {
	conn   net.Conn
	reader *bufio.Reader
	// Remote is the hello of the remote process.
	Remote *wire.Hello

	mu    sync.Mutex
	queue []*wire.Msg
	// wake holds a token while the queue may not be empty. closed is closed when the session is.
	wake      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Dialer opens a connection to a process. Tests and the embedded set use dialers that delay and cut connections.
type Dialer func(address string, timeout time.Duration) (net.Conn, error)

// TCP is the Dialer that the programs use.
func TCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// Limits bound the time to open a session.
type Limits struct {
	// Dial bounds the wait for a connection, Handshake the exchange of hellos.
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

// Accept exchanges hellos on a connection that another process has dialled. It waits for up to MaxHandshake, because the dialling
// side gives up a slow handshake by itself.
func Accept(conn net.Conn, hello *wire.Hello) (*Session, error) {
	return handshake(conn, MaxHandshake, hello)
}

// handshake exchanges hellos on a new connection, within limit, and starts the goroutine that writes.
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

// exchangeHellos sends a hello and reads the remote process's, within limit.
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

// readFrame reads one frame.
func (s *Session) readFrame() (*wire.Frame, error) {
	f := &wire.Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: maxFrame}.UnmarshalFrom(s.reader, f)
	return f, err
}

// Send queues a message and never blocks. If the session has ended, the message is dropped. If the queue exceeds maxQueue, the session
// is closed: its users rely on an order without gaps, so no single message may be dropped.
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

// Receive calls handle for each frame until the session ends, and returns the error that ended it.
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

// Close ends the session and drops the queued messages.
func (s *Session) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.conn.Close() //nolint:errcheck // the session has ended either way
	})
}

// writeLoop writes, as soon as a write has finished, the messages that were queued during it. No timer delays a message.
func (s *Session) writeLoop() {
	defer s.Close()
	w := bufio.NewWriterSize(s.conn, bufferSize)
	for {
		select {
		case <-s.closed:
			return
		case <-s.wake:
		}
		// Let goroutines that are about to send do so first. This needs no timer, and under load a frame then carries several
		// messages.
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

// nextBatch removes the messages of the next frame from the queue and returns them.
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
