// Package ops serves a process's metrics port: health, readiness and metrics, and, for a bearer of the operators'
// token, whatever routes the role adds.
package ops

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"expvar"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"hillreel/api"
	"hillreel/internal/core/verdict"
	"hillreel/internal/core/web"
)

// Handler serves health and metrics to everybody, and routes to bearers of a token; routes may be nil.
func Handler(tokens []Token, ready func() (bool, string), routes func(chi.Router)) http.Handler {
	s := &authorizer{tokens}
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte("alive\n")) //nolint:errcheck // the caller has gone
	})
	r.Get("/readyz", web.Readiness(ready))
	r.Handle("/metrics", expvar.Handler())
	if routes != nil {
		r.Group(func(r chi.Router) {
			r.Use(s.authorize)
			routes(r)
		})
	}
	return r
}

// server checks tokens.
type authorizer struct{ tokens []Token }

// authorize lets only bearers of a token pass; without a token in the settings, nobody does.
func (s *authorizer) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		for _, t := range s.tokens {
			if isBearer && t.Secret != "" && sameSecret(given, string(t.Secret)) {
				next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), principalKey{}, t.Principal)))
				return
			}
		}
		web.WriteJSON(w, http.StatusUnauthorized, &api.Answer{ //nolint:errcheck // the caller has gone
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
