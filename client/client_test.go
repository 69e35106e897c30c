package client_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/api"
	"hillreel/client"
	"hillreel/internal/core/verdict"
)

// script serves answers one after the other; a nil answer cuts the connection.
func script(t *testing.T, seen *[]string, answers ...*api.Answer) string {
	var n atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i := int(n.Add(1)) - 1
		*seen = append(*seen, r.URL.Path)
		if answers[i] == nil {
			panic(http.ErrAbortHandler)
		}
		json.NewEncoder(w).Encode(answers[i])
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestSubmitAgainUnderTheSameID(t *testing.T) {
	unresolved := &api.Answer{State: verdict.Unresolved, Reason: verdict.Unreachable}
	complete := &api.Answer{State: verdict.Complete}
	failed := &api.Answer{State: verdict.Failed, Verdict: verdict.NotRun}
	expired := &api.Answer{State: verdict.Unresolved, Reason: verdict.Expired, Verdict: verdict.MayHaveRun}
	for _, test := range []struct {
		name    string
		answers []*api.Answer
		want    verdict.State
	}{
		{"complete at once", []*api.Answer{complete}, verdict.Complete},
		{"answer lost", []*api.Answer{nil, complete}, verdict.Complete},
		{"unresolved first", []*api.Answer{unresolved, nil, unresolved, complete}, verdict.Complete},
		{"a failure is final", []*api.Answer{failed}, verdict.Failed},
		{"expired is final", []*api.Answer{expired}, verdict.Unresolved},
	} {
		t.Run(test.name, func(t *testing.T) {
			var seen []string
			c, err := client.New(client.Options{Entries: []string{script(t, &seen, test.answers...)}})
			qt.Assert(t, err, qt.IsNil)
			a, err := c.Submit(context.Background(), "the-id", api.Job{Service: "publish"})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, a.State, qt.Equals, test.want)
			qt.Assert(t, seen, qt.HasLen, len(test.answers))
			for _, path := range seen {
				qt.Assert(t, path, qt.Equals, "/v1/jobs/the-id")
			}
		})
	}
}

// TestIDsDespiteADeadEntry: with one of two entries dead, many callers at once all get ids.
func TestIDsDespiteADeadEntry(t *testing.T) {
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(api.IDs{IDs: []string{"id"}, UseWithinMs: 60_000})
	}))
	defer live.Close()
	dead := httptest.NewServer(nil)
	dead.Close()
	c, err := client.New(client.Options{Entries: []string{dead.Listener.Addr().String(), live.Listener.Addr().String()}})
	qt.Assert(t, err, qt.IsNil)
	errs := make(chan error, 200)
	for range cap(errs) {
		go func() {
			_, err := c.NextID(context.Background(), "publish")
			errs <- err
		}()
	}
	for range cap(errs) {
		qt.Assert(t, <-errs, qt.IsNil)
	}
}

func TestOutOfPatienceMayHaveRun(t *testing.T) {
	var seen []string
	c, err := client.New(client.Options{Entries: []string{script(t, &seen, &api.Answer{State: verdict.Unresolved, RetryAfterMs: 60_000})}})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = c.Submit(ctx, "the-id", api.Job{})
	qt.Assert(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun)
}
