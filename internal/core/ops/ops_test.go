package ops_test

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/ops"
	"hillreel/internal/core/settings"
)

func TestAuthorization(t *testing.T) {
	for _, test := range []struct {
		name   string
		token  settings.Secret
		header string
		path   string
		status int
	}{
		{"health needs none", "secret", "", "/healthz", 200},
		{"not ready", "secret", "", "/readyz", 503},
		{"metrics without token", "secret", "", "/debug/vars", 401},
		{"metrics with another token", "secret", "Bearer secreu", "/debug/vars", 401},
		{"token without scheme", "secret", "secret", "/debug/vars", 401},
		{"metrics with the token", "secret", "Bearer secret", "/debug/vars", 200},
		{"no token in the settings", "", "Bearer ", "/debug/vars", 401},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := ops.New("127.0.0.1:0", ops.Tokens(settings.Entry{OperatorToken: test.token}), func() (bool, string) { return false, "starting" }, nil)
			qt.Assert(t, s.Start(context.Background()), qt.IsNil)
			defer s.Stop()
			req, err := http.NewRequest("GET", "http://"+s.Address()+test.path, nil)
			qt.Assert(t, err, qt.IsNil)
			if test.header != "" {
				req.Header.Set("Authorization", test.header)
			}
			resp, err := http.DefaultClient.Do(req)
			qt.Assert(t, err, qt.IsNil)
			resp.Body.Close()
			qt.Assert(t, resp.StatusCode, qt.Equals, test.status)
		})
	}
}
