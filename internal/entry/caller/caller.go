// Package caller serves the callers' HTTP API of an entry. Every answer, also every error, is JSON with a
// verdict, a reason and a message.
package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/settings"
	"hillreel/internal/entry/job"
	"hillreel/internal/link/wire"
)

const (
	// maxHeader bounds a request's headers, in bytes.
	maxHeader = 16 << 10
	// idleTimeout closes connections on which a caller asks nothing.
	idleTimeout = 60 * time.Second
	// maxIDs bounds one request for ids.
	maxIDs = 1000
)

// Jobs is what the API needs of the entry.
type Jobs interface {
	Mint(service ident.Service, count int) ([]ident.JobID, error)
	Do(req job.Request) <-chan *wire.Answer
	Signer() *ident.Signer
	Ready() (bool, string)
}

// Server is the HTTP server for callers.
type Server struct {
	set    *settings.Settings
	jobs   Jobs
	log    *logrus.Entry
	server *http.Server
	ln     net.Listener
}

// New returns a Server that has not started.
func New(set *settings.Settings, jobs Jobs, log *logrus.Entry) *Server {
	return &Server{set: set, jobs: jobs, log: log}
}

// Start listens for callers.
func (s *Server) Start(context.Context) error {
	ln, err := net.Listen("tcp", string(s.set.Entry.Callers))
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	s.ln = &limitListener{ln, make(chan struct{}, s.set.Entry.MaxConnections)}
	s.server = &http.Server{
		Handler: s.routes(), ReadHeaderTimeout: s.set.Entry.HeaderTimeout, ReadTimeout: s.set.Entry.ReadTimeout,
		MaxHeaderBytes: maxHeader, IdleTimeout: idleTimeout,
	}
	go s.server.Serve(s.ln) //nolint:errcheck // it ends with Stop
	return nil
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Shutdown stops listening, and returns when the requests in progress are answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Stop ends at once.
func (s *Server) Stop() { s.server.Close() }

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/ids", s.postIDs)
	r.Post("/v1/jobs", s.postJob)
	r.Post("/v1/tasks", s.postTask)
	r.Put("/v1/jobs/{id}", s.putJob)
	r.Get("/v1/jobs/{id}", s.getJob)
	r.Delete("/v1/jobs/{id}", s.deleteJob)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", s.getReady)
	r.NotFound(s.notFound)
	r.MethodNotAllowed(s.notFound)
	return r
}

// getReady is the balancer's health check: an entry that leaves is not ready.
func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	ok, why := s.jobs.Ready()
	if !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte(why + "\n")) //nolint:errcheck // the caller has gone
}

// limitListener accepts no more connections than its channel has room for.
type limitListener struct {
	net.Listener
	room chan struct{}
}

type limitedConn struct {
	net.Conn
	room chan struct{}
	done chan struct{}
}

// Accept waits for room first.
func (l *limitListener) Accept() (net.Conn, error) {
	l.room <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.room
		return nil, err
	}
	return &limitedConn{conn, l.room, make(chan struct{}, 1)}, nil
}

// Close gives the room back once.
func (c *limitedConn) Close() error {
	select {
	case c.done <- struct{}{}:
		<-c.room
	default:
	}
	return c.Conn.Close()
}
