package web

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/settings"
	"hillreel/internal/standin/loopback"
)

// countingConn is a connection that counts the bytes that the server has read.
type countingConn struct {
	net.Conn
	read atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// countingListener makes its connections countingConns and holds them by the callers' addresses.
type countingListener struct {
	net.Listener
	byCaller sync.Map
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &countingConn{Conn: c}
	l.byCaller.Store(c.RemoteAddr().String(), out)
	return out, nil
}

const (
	callersAtOnce = 100
	shutdowns     = 40
	rawRequest    = "PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
)

// TestReadRequestsAreAnswered guards against requests that are read and then dropped: callers on open connections send a request at the
// moment at which the server shuts down. Requests that the server has read must be answered. The other callers must see that theirs was
// not read, so that no part of it has run.
func TestReadRequestsAreAnswered(t *testing.T) {
	answered, unread := 0, 0
	for round := range shutdowns {
		s := New("the test", settings.Address(loopback.Draw(loopback.Embedded, 7400)), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body) //nolint:errcheck // the client notices a failure
			io.WriteString(w, "ok")     //nolint:errcheck // the client notices a failure
		}), Internal)
		plain, err := net.Listen("tcp", string(s.address))
		qt.Assert(t, err, qt.IsNil)
		ln := &countingListener{Listener: plain}
		s.serve(ln)
		var conns []net.Conn
		for range callersAtOnce {
			c, err := net.Dial("tcp", s.Address())
			qt.Assert(t, err, qt.IsNil)
			conns = append(conns, c)
			qt.Assert(t, roundTrip(c), qt.IsNil)
		}
		var group sync.WaitGroup
		var mu sync.Mutex
		for _, c := range conns {
			group.Go(func() {
				defer c.Close()
				err := roundTrip(c)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					answered++
					return
				}
				seen, _ := ln.byCaller.Load(c.LocalAddr().String())
				if read := seen.(*countingConn).read.Load(); read == 2*int64(len(rawRequest)) {
					t.Errorf("round %d: a request was read whole and not answered: %v", round, err)
				}
				unread++
			})
		}
		time.Sleep(time.Duration(round%20) * 100 * time.Microsecond)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		qt.Assert(t, s.Shutdown(ctx), qt.IsNil)
		cancel()
		group.Wait()
	}
	t.Logf("%d requests answered, %d not read", answered, unread)
	qt.Assert(t, answered > 0, qt.IsTrue)
}

// roundTrip sends a request and reads the answer.
func roundTrip(c net.Conn) error {
	if _, err := io.WriteString(c, rawRequest); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}
