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
}

const (
	// firstRequest is how long after the opening of a connection its first request is waited for once listening has
	// stopped: callers open one when they have something to send, and are 3 ms away.
	firstRequest = 300 * time.Millisecond
	// quietPoll is how often Shutdown looks whether requests are in progress.
	quietPoll = 5 * time.Millisecond
)

// track notes the state of a connection.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = connState{state, time.Now()}
}

// Leave lets each answer from now on ask its caller to close the connection: its next request goes elsewhere.
func (s *Server) Leave() { s.leaving.Store(true) }

// closing adds that wish to the answers of a handler.
func (s *Server) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&answer{ResponseWriter: w, leaving: &s.leaving}, r)
	})
}

// answer is an answer that is written while the server may be leaving: what counts is when it begins, not when its request came.
type answer struct {
	http.ResponseWriter
	leaving *atomic.Bool
	begun   bool
}

// begin sets the header while that has an effect.
func (a *answer) begin() {
	if !a.begun && a.leaving.Load() {
		a.Header().Set("Connection", "close")
	}
	a.begun = true
}

// WriteHeader begins the answer.
func (a *answer) WriteHeader(status int) {
	a.begin()
	a.ResponseWriter.WriteHeader(status)
}

// Write begins the answer if that has not been done, and writes its body.
func (a *answer) Write(p []byte) (int, error) {
	a.begin()
	return a.ResponseWriter.Write(p)
}

// Shutdown stops listening, and returns when the requests in progress are answered, or when ctx ends; the error then says how
// many are not. Requests on connections that are open are still served: the library's own shutting down drops a request
// that it reads after it has begun, and waits five seconds for a connection on which nothing has come yet.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	s.ln.Close() //nolint:errcheck // it is closed only here and, without effect, by the library
	ticker := time.NewTicker(quietPoll)
	defer ticker.Stop()
	for s.inProgress(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s: %d requests in progress", s.name, s.inProgress(time.Now()))
		case <-ticker.C:
		}
	}
	s.Stop()
	return nil
}

// inProgress counts the connections on which a request is in progress, or may be on its way.
func (s *Server) inProgress(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.conns {
		if c.state == http.StateActive || c.state == http.StateNew && now.Sub(c.since) < firstRequest {
			n++
		}
	}
	return n
}
