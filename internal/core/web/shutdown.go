package web

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// connState is where a connection stands, and since when.
type connState struct {
	state http.ConnState
	since time.Time
	// ending: it ends unless a request has been read on it.
	closing bool
}

const (
	// firstRequest is how long after the opening of a connection its first request is waited for once listening has
	// stopped: callers open one when they have something to send, and are 3 ms away.
	firstRequestTimeout = 300 * time.Millisecond
	// quietPoll is how often Shutdown looks whether requests are in progress.
	shutdownPoll = 5 * time.Millisecond
)

// track notes the state of a connection. A request that begins on one that was to end is read and answered all the same.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	if state == http.StateActive && s.conns[c].closing {
		s.setReadDeadline(c, time.Now().Add(s.options.ReadTimeout))
	}
	s.conns[c] = connState{state: state, since: time.Now()}
}

// readUntil bounds the reading of a connection.
func (s *Server) setReadDeadline(c net.Conn, t time.Time) {
	c.SetReadDeadline(t) //nolint:errcheck // it has been closed meanwhile
}

// Leave lets each answer from now on ask its caller to close the connection: its next request goes elsewhere.
func (s *Server) Leave() { s.leaving.Store(true) }

// closing adds that wish to the answers of a handler.
func (s *Server) closeAfterLeave(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&responseWriter{ResponseWriter: w, leaving: &s.leaving}, r)
	})
}

// answer is an answer that is written while the server may be leaving: what counts is when it begins, not when its request came.
type responseWriter struct {
	http.ResponseWriter
	leaving *atomic.Bool
	begun   bool
}

// begin sets the header while that has an effect.
func (a *responseWriter) beginResponse() {
	if !a.begun && a.leaving.Load() {
		a.Header().Set("Connection", "close")
	}
	a.begun = true
}

// WriteHeader begins the answer.
func (a *responseWriter) WriteHeader(status int) {
	a.beginResponse()
	a.ResponseWriter.WriteHeader(status)
}

// Write begins the answer if that has not been done, and writes its body.
func (a *responseWriter) Write(p []byte) (int, error) {
	a.beginResponse()
	return a.ResponseWriter.Write(p)
}

// Shutdown stops listening, and returns when the requests in progress are answered, or when ctx ends; the error then says how
// many are not. Requests on connections that are open are still served: the library's own shutting down drops a request
// that it reads after it has begun, and waits five seconds for a connection on which nothing has come yet.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	s.ln.Close() //nolint:errcheck // it is closed only here and, without effect, by the library
	<-s.served   // a connection that was just accepted is known now
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for s.closeUnused(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return s.inProgressError(ctx.Err())
		case <-ticker.C:
		}
	}
	s.Stop()
	return nil
}

// endUnused lets the connections end on which nothing is in progress or on its way, and counts those that are left. A read
// that has returned something by then is served: closing such a connection would drop requests that were read whole (340 of
// 3,000 that were sent in the two milliseconds around it).
func (s *Server) closeUnused(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, is := range s.conns {
		unused := is.state == http.StateIdle || is.state == http.StateNew && now.Sub(is.since) >= firstRequestTimeout
		if !unused || is.closing {
			continue
		}
		is.closing = true
		s.conns[c] = is
		s.setReadDeadline(c, now)
	}
	return len(s.conns)
}

// cut ends with requests in progress, and says how many.
func (s *Server) inProgressError(why error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, is := range s.conns {
		if is.state == http.StateActive {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	return errors.Wrapf(why, "%s: %d requests in progress", s.name, n)
}
