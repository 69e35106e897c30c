package keepalive_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/keepalive"
	"hillreel/internal/standin/silence"
)

// TestSilence checks that a silent connection ends within a second of its Timeout, on the side that dialled it and on the side that
// accepted it, whether that side waits for data or has sent some.
func TestSilence(t *testing.T) {
	for _, test := range []struct {
		name  string
		sends bool
	}{
		{"reader", false},
		{"writer", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ln, err := keepalive.Short.Listener().Listen(context.Background(), "tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer ln.Close()
			p, err := silence.New("127.0.0.1:0", ln.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer p.Close()
			near, err := keepalive.Short.Dialer(time.Second).Dial("tcp", p.Address())
			qt.Assert(t, err, qt.IsNil)
			far, err := ln.Accept()
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(100 * time.Millisecond) // until the proxy has both connections
			n, err := p.Silence()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, n, qt.Equals, 1)
			began, ended := time.Now(), make(chan error, 2)
			for _, c := range []net.Conn{near, far} {
				if test.sends {
					_, err := c.Write([]byte{7})
					qt.Assert(t, err, qt.IsNil)
				}
				go func() {
					_, err := io.ReadFull(c, make([]byte, 1))
					ended <- err
				}()
			}
			for range 2 {
				qt.Assert(t, <-ended, qt.IsNotNil)
				t.Logf("ended after %v", time.Since(began))
			}
			qt.Assert(t, time.Since(began) < time.Duration(keepalive.Short)+time.Second+200*time.Millisecond, qt.IsTrue)
		})
	}
}
