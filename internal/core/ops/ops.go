// Package ops serves a process's operators' port: health, readiness, and, for a bearer of the operators'
// token, metrics and whatever routes the role adds.
package ops

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"hillreel/api"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
)

const (
	headerTimeout = 3 * time.Second
	readTimeout   = 10 * time.Second
	maxHeader     = 16 << 10
)

// nodes holds the state of each node in this process under its name.
var nodes = expvar.NewMap("nodes")

// Publish shows f's value under name in the metrics.
func Publish(name string, f func() any) { nodes.Set(name, expvar.Func(f)) }

// Server is the operators' port.
type Server struct {
	address settings.Address
	tokens  []Token
	ready   func() (bool, string)
	routes  func(chi.Router)
	server  *http.Server
	ln      net.Listener
}

// New returns a Server. routes may be nil; its routes need a token.
func New(address settings.Address, tokens []Token, ready func() (bool, string), routes func(chi.Router)) *Server {
	return &Server{address: address, tokens: tokens, ready: ready, routes: routes}
}

// Start listens.
func (s *Server) Start(context.Context) error {
	ln, err := net.Listen("tcp", string(s.address))
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	s.ln = ln
	s.server = &http.Server{
		Handler: s.handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, MaxHeaderBytes: maxHeader,
	}
	go s.server.Serve(ln) //nolint:errcheck // it ends with Stop
	return nil
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Stop ends at once.
func (s *Server) Stop() { s.server.Close() }

func (s *Server) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte("alive\n")) //nolint:errcheck // the caller has gone
	})
	r.Get("/readyz", s.getReady)
	r.Group(func(r chi.Router) {
		r.Use(s.authorize)
		r.Handle("/debug/vars", expvar.Handler())
		if s.routes != nil {
			s.routes(r)
		}
	})
	return r
}

func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	ok, why := s.ready()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	w.Write([]byte(why + "\n")) //nolint:errcheck // the caller has gone
}

// authorize lets only bearers of a token pass; without a token in the settings, nobody does.
func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		for _, t := range s.tokens {
			if isBearer && t.Secret != "" && sameSecret(given, string(t.Secret)) {
				next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), principalKey{}, t.Principal)))
				return
			}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusUnauthorized)
		json.NewEncoder(w).Encode(&api.Answer{ //nolint:errcheck // the caller has gone
			State: verdict.Refused, Verdict: verdict.NotRun, Reason: verdict.Unauthorized,
			Message: "a valid bearer token is needed",
		})
	})
}

// sameSecret compares in a time that tells nothing of either.
func sameSecret(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}
