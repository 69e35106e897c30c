package embedded_test

import (
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/standin/embedded"
)

// TestFloodIsShed: a team that submits far more than the slots can do is refused at once, as not_run and
// with Retry-After; a team that submits little is served in the midst of it.
func TestFloodIsShed(t *testing.T) {
	set := startSet(t, embedded.Options{Agents: 1, Entries: 1, Slots: 2, Tune: func(s *settings.Settings) {
		s.Policy.MaxWait = 500e6
	}})
	job := func(team string) string {
		return fmt.Sprintf(`{"service":"publish","team":%q,"kind":"feed","estimate_ms":100,"payload":{"run_ms":100}}`, team)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[verdict.Reason]int)
	for range 100 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, a := post(t, set.Callers()[0], "/v1/tasks", job("flood"))
			mu.Lock()
			defer mu.Unlock()
			counts[a.Reason]++
			if a.Reason == verdict.Overloaded && (a.Verdict != verdict.NotRun || a.RetryAfterMs == 0) {
				counts["wrong"]++
			}
		}()
	}
	for range 3 {
		status, a := post(t, set.Callers()[0], "/v1/tasks", job("other"))
		qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%+v", a))
	}
	wg.Wait()
	qt.Assert(t, counts["wrong"], qt.Equals, 0)
	qt.Assert(t, counts[verdict.Overloaded] > 0, qt.IsTrue)
	qt.Assert(t, counts[""] > 0, qt.IsTrue)
	qt.Assert(t, counts[""]+counts[verdict.Overloaded], qt.Equals, 100)
	qt.Assert(t, set.Recorder.Total(), qt.Equals, int64(counts[""]+3))
}
