package ops_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-chi/chi/v5"

	"hillreel/internal/core/ops"
	"hillreel/internal/core/settings"
)

// TestAuthorization checks that metrics and health need no token, because the platform's collector and load balancer have none, and that
// the operators' routes need one.
func TestAuthorization(t *testing.T) {
	routes := func(r chi.Router) { r.Get("/v1/config", func(http.ResponseWriter, *http.Request) {}) }
	for _, test := range []struct {
		name   string
		token  settings.Secret
		header string
		path   string
		status int
	}{
		{"health needs none", "secret", "", "/healthz", 200},
		{"not ready", "secret", "", "/readyz", 503},
		{"metrics need none", "secret", "", "/metrics", 200},
		{"routes without token", "secret", "", "/v1/config", 401},
		{"routes with another token", "secret", "Bearer secreu", "/v1/config", 401},
		{"token without scheme", "secret", "secret", "/v1/config", 401},
		{"routes with the token", "secret", "Bearer secret", "/v1/config", 200},
		{"no token in the settings", "", "Bearer ", "/v1/config", 401},
	} {
		t.Run(test.name, func(t *testing.T) {
			ready := func() (bool, string) { return false, "starting" }
			h := ops.Handler(ops.Tokens(settings.Entry{OperatorToken: test.token}), ready, routes)
			req := httptest.NewRequest(http.MethodGet, test.path, nil)
			if test.header != "" {
				req.Header.Set("Authorization", test.header)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, req)
			qt.Assert(t, w.Code, qt.Equals, test.status)
		})
	}
}
