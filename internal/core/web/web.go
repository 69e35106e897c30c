// Package web runs an HTTP server as a service of the kernel.
package web

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"hillreel/internal/core/keepalive"
	"hillreel/internal/core/settings"
)

// Options bound what clients may do.
type Options struct {
	// HeaderTimeout and ReadTimeout bound the reading of headers and of a whole request, IdleTimeout the pause
	// between two requests.
	HeaderTimeout, ReadTimeout, IdleTimeout time.Duration
	// MaxHeader bounds headers, in bytes.
	MaxHeader int
	// MaxConnections bounds open connections; more wait unaccepted. Zero is no bound.
	MaxConnections int
	// Silence is how long a client may say nothing, not even acknowledge what it was sent: a silent connection would otherwise
	// count until IdleTimeout, and while a request of it is served for good.
	KeepAlive keepalive.Timeout
}

// Small suits servers that only other processes of the platform or an operator call.
var Internal = Options{
	HeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second, MaxHeader: 16 << 10,
	MaxConnections: 64, KeepAlive: keepalive.Short,
}

// Operators suits servers for people and their tools, which may stop reading for a while in the middle of a long answer.
var Operators = withLongKeepAlive(Internal)

func withLongKeepAlive(o Options) Options {
	o.KeepAlive = keepalive.Long
	return o
}

// Server is one HTTP server.
type Server struct {
	name    string
	address settings.Address
	server  *http.Server
	options Options
	ln      net.Listener
	once    sync.Once
	leaving atomic.Bool
	// served is closed when no connection is accepted any more.
	served chan struct{}

	mu sync.Mutex
	// conns are the open connections.
	conns map[net.Conn]connState
}

// New returns a Server that has not started; name stands in errors.
func New(name string, address settings.Address, h http.Handler, o Options) *Server {
	s := &Server{name: name, address: address, options: o, served: make(chan struct{}), conns: make(map[net.Conn]connState)}
	s.server = &http.Server{
		Handler: s.closeAfterLeave(h), ReadHeaderTimeout: o.HeaderTimeout, ReadTimeout: o.ReadTimeout, IdleTimeout: o.IdleTimeout,
		MaxHeaderBytes: o.MaxHeader, ConnState: s.track,
	}
	return s
}

// Start listens.
func (s *Server) Start(ctx context.Context) error {
	ln, err := s.options.KeepAlive.Listener().Listen(ctx, "tcp", string(s.address))
	if err != nil {
		return errors.Wrapf(err, "listen for %s", s.name)
	}
	if s.options.MaxConnections > 0 {
		ln = netutil.LimitListener(ln, s.options.MaxConnections)
	}
	s.serve(ln)
	return nil
}

// serve accepts connections until Stop or Shutdown.
func (s *Server) serve(ln net.Listener) {
	s.ln = ln
	go func() {
		defer close(s.served)
		s.server.Serve(ln) //nolint:errcheck // it ends with Stop or Shutdown
	}()
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Stop ends at once.
func (s *Server) Stop() {
	s.once.Do(func() { s.server.Close() }) //nolint:errcheck // nothing is left to do about it
}

// Readiness serves checks of whether a process wants connections.
func Readiness(ready func() (bool, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		ok, why := ready()
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		io.WriteString(w, why+"\n") //nolint:errcheck // the caller has gone
	}
}

// WriteJSON answers with a status and a body; an error says that the caller has gone.
func WriteJSON(w http.ResponseWriter, status int, body any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return errors.Wrap(json.NewEncoder(w).Encode(body), "web: write")
}
