package web_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/settings"
	"hillreel/internal/core/web"
	"hillreel/internal/standin/loopback"
	"hillreel/internal/standin/silence"
)

// TestSilentConnections guards against silent connections that keep new callers out: as many as the server accepts fall silent, and the
// next caller must be served within three seconds.
func TestSilentConnections(t *testing.T) {
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }) //nolint:errcheck // the client notices a failure
	s := web.New("the test", settings.Address(loopback.Draw(loopback.Embedded, 7400)), ok, web.Internal)
	qt.Assert(t, s.Start(context.Background()), qt.IsNil)
	defer s.Stop()
	p, err := silence.New("127.0.0.1:0", s.Address())
	qt.Assert(t, err, qt.IsNil)
	defer p.Close()
	get := func(limit time.Duration) error {
		client := &http.Client{Timeout: limit, Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
		res, err := client.Get("http://" + p.Address())
		if err != nil {
			return err
		}
		defer res.Body.Close()
		_, err = io.ReadAll(res.Body)
		return err
	}
	for range web.Internal.MaxConnections {
		qt.Assert(t, get(time.Second), qt.IsNil)
	}
	n, err := p.Silence()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, web.Internal.MaxConnections)
	began := time.Now()
	qt.Assert(t, get(90*time.Second), qt.IsNil)
	t.Logf("answered after %v", time.Since(began))
	qt.Assert(t, time.Since(began) < 3*time.Second, qt.IsTrue)
}
