package embedded_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/api"
	"hillreel/client"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/standin/embedded"
	"hillreel/platform/standin"
)

// start starts a cluster that is stopped at the end of the test. The test fails if the ledger has recorded a violation by then.
func start(t *testing.T, entries, agents int) *embedded.Cluster {
	cluster, err := embedded.Start(embedded.Options{
		Entries: entries, Agents: agents, Cores: 4, Service: "publish", Log: logs.Discard(),
		Adjust: relaxTimes,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		cluster.Stop()
		qt.Assert(t, cluster.Ledger.Violations(), qt.HasLen, 0)
	})
	return cluster
}

// relaxTimes sets longer timeouts and leases in the same proportions, because the race detector and other tests slow the processes
// down.
func relaxTimes(_ string, s *settings.Settings) {
	s.Links.KeepAlive, s.Links.Silence = 200*time.Millisecond, 800*time.Millisecond
	s.Links.Lease, s.Agent.CallTimeout = 800*time.Millisecond, 300*time.Millisecond
	s.Kept.Lease, s.Kept.Renew = 1500*time.Millisecond, 200*time.Millisecond
}

func newClient(t *testing.T, cluster *embedded.Cluster) *client.Client {
	c, err := client.New(client.Options{Entries: cluster.Callers(), Attempts: 8})
	qt.Assert(t, err, qt.IsNil)
	return c
}

// job returns a job of two tasks with two cores each. Its objective of 20 s leaves time to recover from the fault of a test.
func job(runMs int64, spec string) api.Job {
	return api.Job{
		Service: "publish", Spec: spec, ObjectiveMs: 20_000,
		Steps: []api.Step{{Count: 2, CPUMillis: 2000, EstimateMs: runMs}},
	}
}

// submitAll submits n copies of a job concurrently and returns how many jobs ended in each state.
func submitAll(t *testing.T, c *client.Client, n int, j api.Job) map[api.State]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	states := make(map[api.State]int)
	for range n {
		group.Go(func() {
			a, err := c.Submit(context.Background(), client.NewID(), j)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("submit: %v", err)
				return
			}
			states[a.State]++
		})
	}
	group.Wait()
	return states
}

// TestFaults guards against jobs that fail or hang when a single part of the cluster fails while they run.
func TestFaults(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(s *embedded.Cluster)
	}{
		{"nothing", func(*embedded.Cluster) {}},
		{"store silent", func(s *embedded.Cluster) { s.Store.SetFault(standin.StoreFault{Silent: true}) }},
		{"store busy", func(s *embedded.Cluster) { s.Store.SetFault(standin.StoreFault{Busy: true}) }},
		{"upstream crashes", func(s *embedded.Cluster) { s.Upstreams[0].Crash() }},
		{"upstream fails all", func(s *embedded.Cluster) { s.Upstreams[0].SetFault(standin.UpstreamFault{Fail: true}) }},
		{"upstream hangs", func(s *embedded.Cluster) { s.Upstreams[0].SetFault(standin.UpstreamFault{Hang: true}) }},
		{"upstream silent", func(s *embedded.Cluster) { s.Upstreams[0].SetFault(standin.UpstreamFault{Silent: true}) }},
		{"upstream drains", func(s *embedded.Cluster) { s.Upstreams[0].Drain() }},
		{"late heartbeats of an earlier life", func(s *embedded.Cluster) {
			for _, u := range s.Upstreams {
				u.SendHeartbeatAs(0)
			}
		}},
		{"agent leaves", func(s *embedded.Cluster) { s.Agents[0].Node.Leave() }},
		{"agent dies", func(s *embedded.Cluster) { s.Agents[0].Stop() }},
		{"entry dies", func(s *embedded.Cluster) { s.Entries[0].Stop() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := start(t, 2, 3)
			c := newClient(t, cluster)
			done := make(chan map[api.State]int, 1)
			go func() { done <- submitAll(t, c, 20, job(100, `{"run_ms":100}`)) }()
			time.Sleep(150 * time.Millisecond)
			test.fault(cluster)
			qt.Assert(t, <-done, qt.DeepEquals, map[api.State]int{verdict.Complete: 20})
		})
	}
}

// TestPoison guards against a job that fails at every upstream and makes all of them unavailable: the job must fail, and the upstreams
// must keep accepting other work.
func TestPoison(t *testing.T) {
	cluster := start(t, 1, 4)
	c := newClient(t, cluster)
	qt.Assert(t, submitAll(t, c, 6, job(50, `{"run_ms":50,"fail":true}`)), qt.DeepEquals, map[api.State]int{verdict.Failed: 6})
	qt.Assert(t, submitAll(t, c, 20, job(50, `{"run_ms":50}`)), qt.DeepEquals, map[api.State]int{verdict.Complete: 20})
}

// TestCallerGone guards against jobs that keep running, and keep their capacity, after their caller has disconnected.
func TestCallerGone(t *testing.T) {
	cluster := start(t, 1, 1)
	c := newClient(t, cluster)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	long := job(60_000, `{"run_ms":60000}`)
	long.ObjectiveMs = 600_000
	_, err := c.Submit(ctx, client.NewID(), long)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, submitAll(t, c, 1, job(50, `{"run_ms":50}`)), qt.DeepEquals, map[api.State]int{verdict.Complete: 1})
	qt.Assert(t, cluster.Ledger.Running(), qt.Equals, 0)
}

// TestOverload guards against overload that delays all jobs: a job that cannot meet its objective is refused at once with the verdict
// not_run and a retry delay, and no task of it starts.
func TestOverload(t *testing.T) {
	cluster := start(t, 1, 1)
	c := newClient(t, cluster)
	j := job(400, `{"run_ms":400}`)
	j.ObjectiveMs = 600
	var mu sync.Mutex
	var group sync.WaitGroup
	states := make(map[api.State]int)
	for range 10 {
		group.Go(func() {
			a, err := c.Submit(context.Background(), client.NewID(), j)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("submit: %v", err)
				return
			}
			states[a.State]++
			if a.State == verdict.Refused && (a.Verdict != verdict.NotRun || a.Reason != verdict.Overloaded || a.RetryAfter() <= 0) {
				t.Errorf("refused with %+v", a)
			}
		})
	}
	group.Wait()
	qt.Assert(t, states[verdict.Complete] >= 1, qt.IsTrue, qt.Commentf("%v", states))
	qt.Assert(t, states[verdict.Refused] >= 5, qt.IsTrue, qt.Commentf("%v", states))
	starts, done := cluster.Ledger.Counts()
	qt.Assert(t, starts, qt.Equals, done)
	qt.Assert(t, done, qt.Equals, 2*states[verdict.Complete])
}

// TestConfigurationIsRelayed guards against an entry that keeps an outdated configuration because it cannot reach the store: it must
// receive the new one through an agent.
func TestConfigurationIsRelayed(t *testing.T) {
	cluster := start(t, 1, 2)
	late, err := cluster.StartEntry(1, "127.0.0.1:1")
	qt.Assert(t, err, qt.IsNil)
	cluster.Configure(2)
	until := time.Now().Add(10 * time.Second)
	for time.Now().Before(until) {
		if r := late.Node.Routes(); r != nil && r.Version == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the configuration did not arrive")
}

// TestHistoryForgotten guards against missed configuration changes after the store has dropped its change history: the entry must read
// the whole table again.
func TestHistoryForgotten(t *testing.T) {
	cluster := start(t, 1, 1)
	cluster.Store.SetFault(standin.StoreFault{Busy: true})
	time.Sleep(100 * time.Millisecond)
	cluster.Configure(2)
	cluster.Store.DropHistory()
	cluster.Store.SetFault(standin.StoreFault{})
	until := time.Now().Add(10 * time.Second)
	for time.Now().Before(until) {
		if cluster.Entries[0].Node.Routes().Version == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the configuration did not arrive")
}

// TestFrontStatuses checks the statuses and bodies that the platform's clients get.
func TestFrontStatuses(t *testing.T) {
	cluster := start(t, 1, 1)
	const good = `{"spec":"{\"run_ms\":20}","best_effort":true,"phases":[{"count":1,"cpu":1000,"estimate_ms":20}]}`
	for _, test := range []struct {
		name, method, host, path, body string
		status                         int
		want                           string
	}{
		{"a job", "POST", "jobs.example", "/jobs/00000000000000aa", good, 200, `{"state":"completed"}`},
		{"a job that fails", "POST", "jobs.example", "/jobs/00000000000000ab", strings.Replace(good, `\"run_ms\":20`, `\"fail\":true`, 1), 200, `{"state":"failed"}`},
		{"no such host", "POST", "other.example", "/jobs/00000000000000aa", good, 404, "no_route"},
		{"no such path", "POST", "jobs.example", "/job/00000000000000aa", good, 404, "no_route"},
		{"id too short", "POST", "jobs.example", "/jobs/aa", good, 400, "16 hexadecimal digits"},
		{"id not hexadecimal", "POST", "jobs.example", "/jobs/00000000000000zz", good, 400, "16 hexadecimal digits"},
		{"not JSON", "POST", "jobs.example", "/jobs/00000000000000aa", "{", 400, "bad_job"},
		{"no steps", "POST", "jobs.example", "/jobs/00000000000000aa", `{"best_effort":true}`, 400, "phases"},
		{"count", "POST", "jobs.example", "/jobs/00000000000000aa", `{"best_effort":true,"phases":[{"count":0}]}`, 400, `phases[0]: count`},
		{"a step that depends on itself", "POST", "jobs.example", "/jobs/00000000000000aa", `{"best_effort":true,"phases":[{"count":1,"after_rev":[0]}]}`, 400, "after_rev"},
		{"spec too long", "POST", "jobs.example", "/jobs/00000000000000aa", `{"spec":"` + strings.Repeat("x", 4001) + `","phases":[{"count":1}]}`, 400, "spec"},
		{"a gang", "POST", "jobs.example", "/jobs/00000000000000ac", `{"best_effort":true,"phases":[{"count":2,"gang":true}]}`, 503, "unsupported"},
		{"a job to keep", "POST", "jobs.example", "/jobs/00000000000000ad", strings.Replace(good, `"best_effort":true,`, "", 1), 200, `{"state":"pending"}`},
		{"a job to keep, sent again", "POST", "jobs.example", "/jobs/00000000000000ad", strings.Replace(good, `"best_effort":true,`, "", 1), 200, `{"state":"pending"}`},
		{"its state", "GET", "jobs.example", "/jobs/00000000000000ad", "", 200, `{"state":"completed"}`},
		{"cancelled too late", "DELETE", "jobs.example", "/jobs/00000000000000ad", "", 200, `{"state":"completed"}`},
		{"a long job to keep", "POST", "jobs.example", "/jobs/00000000000000ae", strings.NewReplacer(`"best_effort":true,`, "", `20}"`, `20000}"`).Replace(good), 200, `{"state":"pending"}`},
		{"the state of a long job", "GET", "jobs.example", "/jobs/00000000000000ae", "", 200, `{"state":"running"}`},
		{"cancelled in time", "DELETE", "jobs.example", "/jobs/00000000000000ae", "", 200, `{"state":"canceled"}`},
		{"the state of a cancelled job", "GET", "jobs.example", "/jobs/00000000000000ae", "", 200, `{"state":"canceled"}`},
		{"a gang to keep", "POST", "jobs.example", "/jobs/00000000000000af", `{"phases":[{"count":2,"gang":true}]}`, 503, "unsupported"},
		{"state of an answered job", "GET", "jobs.example", "/jobs/00000000000000aa", "", 410, "no_such_job"},
		{"cancel an answered job", "DELETE", "jobs.example", "/jobs/00000000000000aa", "", 410, "no_such_job"},
		{"waiting", "GET", "jobs.example", "/jobs/", "", 200, `{"waiting":0}`},
		{"method", "PATCH", "jobs.example", "/jobs/00000000000000aa", "", 405, "bad_method"},
	} {
		t.Run(test.name, func(t *testing.T) {
			req, err := http.NewRequest(test.method, "http://"+cluster.Entries[0].Front.Address()+test.path, strings.NewReader(test.body))
			qt.Assert(t, err, qt.IsNil)
			req.Host = test.host
			res, err := http.DefaultClient.Do(req)
			qt.Assert(t, err, qt.IsNil)
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, res.StatusCode, qt.Equals, test.status, qt.Commentf("%s", body))
			qt.Assert(t, string(body), qt.Contains, test.want)
			if test.status == 503 {
				qt.Assert(t, res.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
		})
	}
}

// TestKeptJobs guards against the loss of accepted jobs that are to be kept: such a job must complete even if the entry that accepted
// it never comes back or the store is unavailable for a while. Every entry must be able to return its state and to cancel it.
func TestKeptJobs(t *testing.T) {
	for _, test := range []struct {
		name  string
		runMs int64
		fault func(cluster *embedded.Cluster)
		end   func(c *client.Client, id string) (*api.Answer, error)
		want  api.State
	}{
		{"nothing goes wrong", 100, func(*embedded.Cluster) {}, nil, verdict.Complete},
		{"its entry ends", 1500, func(cluster *embedded.Cluster) { cluster.Entries[0].Stop() }, nil, verdict.Complete},
		{"the store is unavailable", 1500, func(cluster *embedded.Cluster) {
			cluster.Store.SetFault(standin.StoreFault{Silent: true})
			time.Sleep(2500 * time.Millisecond)
			cluster.Store.SetFault(standin.StoreFault{})
		}, nil, verdict.Complete},
		{"an upstream crashes", 1000, func(cluster *embedded.Cluster) {
			time.Sleep(300 * time.Millisecond)
			cluster.Upstreams[0].Crash()
		}, nil, verdict.Complete},
		{"another entry cancels it", 60_000, func(*embedded.Cluster) {}, func(c *client.Client, id string) (*api.Answer, error) {
			return c.Cancel(context.Background(), id)
		}, verdict.Cancelled},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := start(t, 2, 3)
			clients := make([]*client.Client, 2)
			for i := range clients {
				c, err := client.New(client.Options{Entries: cluster.Callers()[i : i+1], Attempts: 8})
				qt.Assert(t, err, qt.IsNil)
				clients[i] = c
			}
			id, j := client.NewID(), job(test.runMs, `{"run_ms":`+strconv.FormatInt(test.runMs, 10)+`}`)
			j.Keep = true
			a, err := clients[0].Submit(context.Background(), id, j)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, a.State, qt.Equals, verdict.Accepted)
			test.fault(cluster)
			if test.end != nil {
				_, err := test.end(clients[1], id)
				qt.Assert(t, err, qt.IsNil)
			}
			until := time.Now().Add(20 * time.Second)
			for a.State != test.want && time.Now().Before(until) {
				time.Sleep(50 * time.Millisecond)
				a, err = clients[1].State(context.Background(), id)
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Assert(t, a.State, qt.Equals, test.want)
			for cluster.Ledger.Running() > 0 && time.Now().Before(until) {
				time.Sleep(20 * time.Millisecond)
			}
			qt.Assert(t, cluster.Ledger.Running(), qt.Equals, 0)
		})
	}
}

// TestFewUpstreamsAreKnownEverywhere guards against an entry that cannot place jobs of a service with few upstreams. Agents link to two
// of the four entries here, but each entry must request links until it knows all upstreams of such a service. The cluster does not
// count as up before that.
func TestFewUpstreamsAreKnownEverywhere(t *testing.T) {
	cluster, err := embedded.Start(embedded.Options{
		Entries: 4, Agents: 3, Cores: 4, Service: "publish", Log: logs.Discard(),
		Adjust: func(_ string, s *settings.Settings) { s.Links.Entries = 2 },
	})
	qt.Assert(t, err, qt.IsNil)
	defer cluster.Stop()
	for _, e := range cluster.Entries {
		qt.Assert(t, e.Node.Upstreams(), qt.HasLen, 3)
	}
}
