package session_test

import (
	"io"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

var limits = session.Limits{Dial: time.Second, Handshake: time.Second}

// pair returns both ends of a session over TCP.
func pair(t *testing.T) (dialled, accepted *session.Session) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	got := make(chan *session.Session, 1)
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			s, _ := session.Accept(conn, &wire.Hello{Name: "b"})
			got <- s
		}
	}()
	dialled, err = session.Dial(session.TCP, ln.Addr().String(), limits, &wire.Hello{Name: "a"})
	qt.Assert(t, err, qt.IsNil)
	accepted = <-got
	t.Cleanup(dialled.Close)
	t.Cleanup(accepted.Close)
	return dialled, accepted
}

func TestMessagesArriveInOrder(t *testing.T) {
	a, b := pair(t)
	qt.Assert(t, a.Remote.GetName(), qt.Equals, "b")
	qt.Assert(t, b.Remote.GetName(), qt.Equals, "a")
	const n = 5000
	done := make(chan int64, 1)
	go func() {
		next := int64(0)
		b.Receive(func(msgs []*wire.Msg) {
			for _, m := range msgs {
				if got := int64(m.GetStart().GetSeq()); got != next {
					t.Errorf("got message %d, want %d", got, next)
				}
				next++
			}
			if next == n {
				done <- next
			}
		})
	}()
	for i := range int64(n) {
		a.Send(&wire.Msg{Kind: &wire.Msg_Start{Start: &wire.Start{Seq: uint64(i)}}})
	}
	qt.Assert(t, <-done, qt.Equals, int64(n))
}

// TestRemoteCloseEndsReceive guards against a Receive that goes on after the remote side has closed the session.
func TestRemoteCloseEndsReceive(t *testing.T) {
	a, b := pair(t)
	ended := make(chan error, 1)
	go func() { ended <- b.Receive(func([]*wire.Msg) {}) }()
	a.Close()
	qt.Assert(t, <-ended, qt.IsNotNil)
	a.Send(&wire.Msg{}) // must be dropped without a panic
}

// TestOtherProtocolsAreRefused guards against sessions with peers that speak another protocol.
func TestOtherProtocolsAreRefused(t *testing.T) {
	for _, first := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x00"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		dialled, err := net.Dial("tcp", ln.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		accepted, err := ln.Accept()
		qt.Assert(t, err, qt.IsNil)
		ln.Close()
		io.WriteString(dialled, first)
		_, err = session.Accept(accepted, &wire.Hello{})
		qt.Assert(t, err, qt.IsNotNil)
		dialled.Close()
	}
}

// TestCloseEndsBlockedReader guards against a reader that busy-waits: with one processor, it keeps the goroutine that closes the session
// from running. Close must end a waiting reader at once.
func TestCloseEndsBlockedReader(t *testing.T) {
	procs := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(procs)
	for range 200 {
		a, b := pair(t)
		ended := make(chan error, 2)
		for _, s := range []*session.Session{a, b} {
			go func() { ended <- s.Receive(func([]*wire.Msg) {}) }()
		}
		a.Close()
		for range 2 {
			select {
			case err := <-ended:
				qt.Assert(t, err, qt.IsNotNil)
			case <-time.After(5 * time.Second):
				t.Fatal("a reader did not end")
			}
		}
	}
}

// TestSilentGreeting guards against handshakes that never end because the remote side sends no hello. Until a handshake ends, nothing else
// can close its connection. The dialling side must give up after its limit, the accepting side after MaxHandshake.
func TestSilentGreeting(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	start := time.Now()
	_, err = session.Dial(session.TCP, ln.Addr().String(), session.Limits{Dial: time.Second, Handshake: 250 * time.Millisecond}, &wire.Hello{})
	qt.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue)
	silent, err := net.Dial("tcp", ln.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer silent.Close()
	for range 2 { // the first connection has been closed already
		conn, err := ln.Accept()
		qt.Assert(t, err, qt.IsNil)
		start = time.Now()
		s, err := session.Accept(conn, &wire.Hello{})
		if err == nil {
			s.Close()
		}
	}
	t.Logf("the handshake ended after %v", time.Since(start))
	qt.Assert(t, time.Since(start) < session.MaxHandshake+time.Second, qt.IsTrue)
}
