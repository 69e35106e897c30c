// Package ops serves the metrics port of a process: health, readiness and metrics for everyone, and for holders of an operator's token the
// routes that the process adds.
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

// Handler serves health, readiness and metrics without a token, and routes to holders of a token. routes may be nil.
func Handler(tokens []Token, ready func() (bool, string), routes func(chi.Router)) http.Handler {
	s := &authorizer{tokens}
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte("alive\n")) //nolint:errcheck // fails only if the caller has gone
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

// authorizer checks bearer tokens.
type authorizer struct{ tokens []Token }

// authorize calls next only for requests with a valid token. If the settings have no token, it refuses all requests.
func (s *authorizer) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		for _, t := range s.tokens {
			if isBearer && t.Secret != "" && sameSecret(given, string(t.Secret)) {
				next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), principalKey{}, t.Principal)))
				return
			}
		}
		web.WriteJSON(w, http.StatusUnauthorized, &api.Answer{ //nolint:errcheck // fails only if the caller has gone
			State: verdict.Refused, Verdict: verdict.NotRun, Reason: verdict.Unauthorized,
			Message: "a valid bearer token is needed",
		})
	})
}

// sameSecret compares two secrets in a time that depends on neither of them.
func sameSecret(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}
