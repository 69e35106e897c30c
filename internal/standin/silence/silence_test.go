package silence_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/standin/silence"
)

// TestSilence checks that a silenced connection delivers neither data nor a close, so that a read times out, and that a new
// connection works.
func TestSilence(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn) //nolint:errcheck // ends with the test
		}
	}()
	p, err := silence.New("127.0.0.1:0", ln.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer p.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.Address())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { c.Close() })
		qt.Assert(t, echoed(c), qt.IsNil)
		return c
	}
	old := dial()
	n, err := p.Silence()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, 1)
	qt.Assert(t, errors.Is(echoed(old), os.ErrDeadlineExceeded), qt.IsTrue)
	dial()
}

// echoed sends one byte and waits up to 300 ms for the echo.
func echoed(c net.Conn) error {
	if err := c.SetDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
		return err
	}
	b := []byte{7}
	if _, err := c.Write(b); err != nil {
		return err
	}
	_, err := io.ReadFull(c, b)
	return err
}
