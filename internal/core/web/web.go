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
	// HeaderTimeout bounds the reading of a request's headers, ReadTimeout that of a whole request, and IdleTimeout the pause between
	// two requests.
	HeaderTimeout, ReadTimeout, IdleTimeout time.Duration
	// MaxHeader is the largest size of the headers in bytes.
	MaxHeader int
	// MaxConnections bounds the open connections; further ones wait until they are accepted. Zero means no bound.
	MaxConnections int
	// KeepAlive is how long a client may stay silent, without even acknowledging what it was sent. Otherwise a silent connection would
	// count towards MaxConnections until IdleTimeout, and forever while a request of it is being served.
	KeepAlive keepalive.Timeout
}

// Internal is for servers that only other processes of the platform or an operator call.
var Internal = Options{
	HeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second, MaxHeader: 16 << 10,
	MaxConnections: 64, KeepAlive: keepalive.Short,
}

// Operators is for servers used by people and their tools, which may stop reading for a while in the middle of a long answer.
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
	// served is closed once no more connections are accepted.
	served chan struct{}

	mu sync.Mutex
	// conns holds the open connections.
	conns map[net.Conn]connState
}

// New returns a Server that is not started yet; name appears in errors.
func New(name string, address settings.Address, h http.Handler, o Options) *Server {
	s := &Server{name: name, address: address, options: o, served: make(chan struct{}), conns: make(map[net.Conn]connState)}
	s.server = &http.Server{
		Handler: s.closeAfterLeave(h), ReadHeaderTimeout: o.HeaderTimeout, ReadTimeout: o.ReadTimeout, IdleTimeout: o.IdleTimeout,
		MaxHeaderBytes: o.MaxHeader, ConnState: s.trackState,
	}
	return s
}

// Start starts listening and serving.
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

// serve accepts connections in the background until Stop or Shutdown.
func (s *Server) serve(ln net.Listener) {
	s.ln = ln
	go func() {
		defer close(s.served)
		s.server.Serve(ln) //nolint:errcheck // it returns only after Stop or Shutdown
	}()
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Stop closes the listener and all connections at once.
func (s *Server) Stop() {
	s.once.Do(func() { s.server.Close() }) //nolint:errcheck // the server ends in any case
}

// Readiness returns a handler for readiness checks. It answers with status 503 unless ready, and with the reason.
func Readiness(ready func() (bool, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		ok, why := ready()
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		io.WriteString(w, why+"\n") //nolint:errcheck // fails only if the caller has gone
	}
}

// WriteJSON answers with a status and a JSON body. It returns an error if the caller has gone.
func WriteJSON(w http.ResponseWriter, status int, body any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return errors.Wrap(json.NewEncoder(w).Encode(body), "web: write")
}
