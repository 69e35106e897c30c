package embedded_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/api"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/standin/embedded"
	"hillreel/platform/standin"
)

// callAPI makes one call of the operators' API at an entry's metrics address and returns the status and the decoded body.
// match is the version for If-Match, or "new" for a call that must create the object, or empty for a call without a precondition.
func callAPI(t *testing.T, address, token, method, path, match, body string) (int, map[string]any) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+token)
	switch match {
	case "":
	case "new":
		req.Header.Set("If-None-Match", "*")
	default:
		req.Header.Set("If-Match", `"`+match+`"`)
	}
	res, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	qt.Assert(t, err, qt.IsNil)
	var out map[string]any
	qt.Assert(t, json.Unmarshal(raw, &out), qt.IsNil, qt.Commentf("%s", raw))
	return res.StatusCode, out
}

// eventually waits up to 20 s until ok returns true, and fails the test otherwise.
func eventually(t *testing.T, what string, ok func() bool) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("timed out after 20s waiting for: " + what)
}

// countObjects returns how many configuration objects an entry lists.
func countObjects(t *testing.T, cluster *embedded.Cluster, entry int) int {
	_, out := callAPI(t, cluster.Entries[entry].Metrics.Address(), embedded.Token, "GET", "/v1/config", "", "")
	return len(out["objects"].([]any))
}

// TestSelectorsDecideWhatRunsWhere guards against a pool selector that only the entry that took the change applies: tasks would then
// run at upstreams outside the pool. It also checks that a stale version is refused and that a dry run reports the effect of a change.
func TestSelectorsDecideWhatRunsWhere(t *testing.T) {
	cluster := start(t, 2, 3)
	first := cluster.Entries[0].Metrics.Address()
	do := func(method, path, match, body string) (int, map[string]any) {
		return callAPI(t, first, embedded.Token, method, path, match, body)
	}
	status, out := do("PUT", "/v1/config/pool/p1", "new", `{"service":"publish","selector":"upstream=agent-1"}`)
	qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
	for i := range cluster.Entries {
		eventually(t, "the pool to reach every entry", func() bool { return countObjects(t, cluster, i) == 1 })
	}
	time.Sleep(50 * time.Millisecond)
	c := newClient(t, cluster)
	qt.Assert(t, submitAll(t, c, 8, job(30, `{"run_ms":30}`)), qt.DeepEquals, map[api.State]int{verdict.Complete: 8})
	for i := range cluster.Upstreams {
		qt.Assert(t, cluster.Ledger.StartsAt(i) > 0, qt.Equals, i == 1, qt.Commentf("upstream %d", i))
	}

	status, out = do("PUT", "/v1/config/pool/p1", "7", `{"service":"publish","selector":""}`)
	qt.Assert(t, status, qt.Equals, 409)
	qt.Assert(t, out["present"].(map[string]any)["version"], qt.Equals, 1.0)
	status, out = do("PATCH", "/v1/config/pool/p1?dry_run=1", "1", `{"selector":"upstream=nobody"}`)
	qt.Assert(t, status, qt.Equals, 200)
	qt.Assert(t, out["moves"].([]any)[0].(map[string]any)["nowhere_to_run"], qt.Equals, true)
	status, _ = do("DELETE", "/v1/config/pool/p1", "1", "")
	qt.Assert(t, status, qt.Equals, 200)
	eventually(t, "the pool to be deleted", func() bool { return countObjects(t, cluster, 1) == 0 })
	_, trail := do("GET", "/v1/audit", "", "")
	qt.Assert(t, trail["changes"].([]any), qt.HasLen, 2)
}

// TestOperatorsRace guards against lost updates: of concurrent changes based on the same version, exactly one succeeds and the others
// get a conflict.
func TestOperatorsRace(t *testing.T) {
	cluster := start(t, 2, 1)
	var mu sync.Mutex
	var group sync.WaitGroup
	got := make(map[int]int)
	for i := range 10 {
		group.Go(func() {
			status, _ := callAPI(t, cluster.Entries[i%2].Metrics.Address(), embedded.Token, "PUT", "/v1/config/service/publish", "new", `{"max_tasks":5}`)
			mu.Lock()
			defer mu.Unlock()
			got[status]++
		})
	}
	group.Wait()
	qt.Assert(t, got[200], qt.Equals, 1, qt.Commentf("%v", got))
	qt.Assert(t, got[409], qt.Equals, 9, qt.Commentf("%v", got))
}

// TestChangesAndTheStore guards against a wrong verdict on a change when the store fails: a change that the store refuses is reported
// as not made, and a change whose answer was lost is reported as made once reading it back shows it.
func TestChangesAndTheStore(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault standin.Fault
		want  string
	}{
		{"busy", standin.Fault{Busy: true}, "not_run"},
		{"answers lost", standin.Fault{Lost: true}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := start(t, 1, 1)
			cluster.Store.Break(test.fault)
			status, out := callAPI(t, cluster.Entries[0].Metrics.Address(), embedded.Token, "PUT", "/v1/config/service/publish", "new", `{"max_tasks":5}`)
			if test.want == "" {
				// The store made the change, and the entry found out by reading it back.
				qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
				return
			}
			qt.Assert(t, status, qt.Equals, 503)
			qt.Assert(t, out["verdict"], qt.Equals, test.want)
		})
	}
}

// TestRoles checks which calls each operator role may make, and that invalid calls are refused with a message and the verdict not_run.
func TestRoles(t *testing.T) {
	cluster, err := embedded.Start(embedded.Options{Entries: 1, Agents: 1, Cores: 4, Service: "publish", Log: logs.Discard(), Adjust: func(_ string, s *settings.Settings) {
		s.Entry.OperatorTokens = settings.Secrets{"mon/read/tr"}
	}})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(cluster.Stop)
	for _, test := range []struct {
		name, token, method, path, match, body string
		status                                 int
	}{
		{"no token", "x", "GET", "/v1/config", "", "", 401},
		{"reader reads", "tr", "GET", "/v1/config", "", "", 200},
		{"reader reads upstreams", "tr", "GET", "/v1/upstreams", "", "", 200},
		{"reader changes nothing", "tr", "PUT", "/v1/config/service/publish", "new", `{"max_tasks":5}`, 403},
		{"no precondition", embedded.Token, "PUT", "/v1/config/service/publish", "", `{"max_tasks":5}`, 428},
		{"bad field", embedded.Token, "PUT", "/v1/config/service/publish", "new", `{"max_tasks":-5}`, 400},
		{"no such kind", embedded.Token, "PUT", "/v1/config/tribe/publish", "new", `{}`, 400},
		{"no such object", embedded.Token, "GET", "/v1/config/service/publish", "", "", 404},
		{"operator changes all", embedded.Token, "PUT", "/v1/config/service/publish", "new", `{"max_tasks":5}`, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := test.path
			if test.path == "/v1/upstreams" {
				req, err := http.NewRequest(test.method, "http://"+cluster.Entries[0].Metrics.Address()+path, nil)
				qt.Assert(t, err, qt.IsNil)
				req.Header.Set("Authorization", "Bearer "+test.token)
				res, err := http.DefaultClient.Do(req)
				qt.Assert(t, err, qt.IsNil)
				res.Body.Close()
				qt.Assert(t, res.StatusCode, qt.Equals, test.status)
				return
			}
			status, out := callAPI(t, cluster.Entries[0].Metrics.Address(), test.token, test.method, path, test.match, test.body)
			qt.Assert(t, status, qt.Equals, test.status, qt.Commentf("%v", out))
			if status >= 400 {
				qt.Assert(t, out["message"], qt.Not(qt.Equals), "")
				qt.Assert(t, out["verdict"], qt.Equals, "not_run")
			}
		})
	}
}

// TestServicesBoundJobs guards against jobs that exceed the limits of their service's configuration object: the callers' API refuses
// them and names the field, and the service's deadline ends jobs that run past it.
func TestServicesBoundJobs(t *testing.T) {
	cluster := start(t, 1, 1)
	status, out := callAPI(t, cluster.Entries[0].Metrics.Address(), embedded.Token, "PUT", "/v1/config/service/publish", "new", `{"max_tasks":2,"deadline_ms":300}`)
	qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
	eventually(t, "the service to reach the entry", func() bool { return countObjects(t, cluster, 0) == 1 })
	for _, test := range []struct {
		name, body string
		status     int
		field      string
	}{
		{"within", `{"service":"publish","steps":[{"count":2,"cpu_millis":100}]}`, 200, ""},
		{"too many tasks", `{"service":"publish","steps":[{"count":3,"cpu_millis":100}]}`, 400, "steps"},
		{"no such service", `{"service":"other","steps":[{"count":1}]}`, 400, "service"},
		{"no service", `{"steps":[{"count":1}]}`, 400, "service"},
		{"count", `{"service":"publish","steps":[{"count":0}]}`, 400, "steps[0].count"},
		{"a step that depends on itself", `{"service":"publish","steps":[{"count":1,"after":[0]}]}`, 400, "steps[0].after"},
		{"attempts", `{"service":"publish","attempts":-1,"steps":[{"count":1}]}`, 400, "attempts"},
		{"past the deadline", `{"service":"publish","spec":"{\"run_ms\":5000}","objective_ms":60000,"steps":[{"count":1,"cpu_millis":100}]}`, 504, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			res, err := http.Post("http://"+cluster.Callers()[0]+"/v1/jobs", "application/json", bytes.NewReader([]byte(test.body)))
			qt.Assert(t, err, qt.IsNil)
			defer res.Body.Close()
			var a api.Answer
			qt.Assert(t, json.NewDecoder(res.Body).Decode(&a), qt.IsNil)
			qt.Assert(t, res.StatusCode, qt.Equals, test.status, qt.Commentf("%+v", a))
			qt.Assert(t, a.Field, qt.Equals, test.field)
		})
	}
}
