package web_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/settings"
	"hillreel/internal/core/web"
	"hillreel/internal/standin/loopback"
)

// serve starts a server that delays each answer by takes.
func serve(t *testing.T, takes time.Duration) *web.Server {
	s := web.New("the test", settings.Address(loopback.Draw(loopback.Embedded, 7400)), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(takes)
		io.WriteString(w, "ok") //nolint:errcheck // the client notices a failure
	}), web.Internal)
	qt.Assert(t, s.Start(context.Background()), qt.IsNil)
	t.Cleanup(s.Stop)
	return s
}

// request sends a request.
func request(t *testing.T, conn net.Conn) {
	_, err := io.WriteString(conn, "PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
	qt.Assert(t, err, qt.IsNil)
}

// TestShutdown checks that every request that was read is answered, whenever its connection was opened, that an unused connection does not
// delay Shutdown, and that requests still in progress at the end are counted.
func TestShutdown(t *testing.T) {
	for _, test := range []struct {
		name  string
		takes time.Duration
		// before: a request is sent before Shutdown. after: a request is sent that long after Shutdown began; with zero, none is sent.
		before bool
		after  time.Duration
		// least and most bound how long Shutdown takes; inProgress is the number of unanswered requests in its error.
		least, most time.Duration
		inProgress  string
	}{
		{"nothing is sent", 0, false, 0, 0, 2 * time.Second, ""},
		{"a request in progress", 500 * time.Millisecond, true, 0, 400 * time.Millisecond, 2 * time.Second, ""},
		{"a request on an open connection, at once", 100 * time.Millisecond, false, 2 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second, ""},
		{"a request on an open connection, a little later", 100 * time.Millisecond, false, 100 * time.Millisecond, 150 * time.Millisecond, 2 * time.Second, ""},
		{"a request that takes too long", 6 * time.Second, true, 0, 2900 * time.Millisecond, 4 * time.Second, "1 requests"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, test.takes)
			conn, err := net.Dial("tcp", s.Address())
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			if test.before {
				request(t, conn)
			}
			time.Sleep(50 * time.Millisecond) // until the server has accepted the connection
			began := time.Now()
			done := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				done <- s.Shutdown(ctx)
			}()
			if test.after > 0 {
				time.Sleep(test.after)
				request(t, conn)
			}
			if (test.before || test.after > 0) && test.inProgress == "" {
				qt.Assert(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, res.StatusCode, qt.Equals, http.StatusOK)
				qt.Assert(t, res.Close, qt.IsTrue)
			}
			err = <-done
			took := time.Since(began)
			qt.Assert(t, took >= test.least && took <= test.most, qt.IsTrue, qt.Commentf("took %v", took))
			if test.inProgress == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, ".*"+test.inProgress+".*")
		})
	}
}

// TestLeave checks that, once a server leaves, each answer asks the caller to close the connection.
func TestLeave(t *testing.T) {
	s := serve(t, 0)
	for _, leaving := range []bool{false, true} {
		if leaving {
			s.Leave()
		}
		conn, err := net.Dial("tcp", s.Address())
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		request(t, conn)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, res.Close, qt.Equals, leaving)
	}
}
