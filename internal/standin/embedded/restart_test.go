package embedded_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/api"
	"hillreel/client"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/verdict"
	"hillreel/internal/standin/embedded"
	"hillreel/platform/standin"
)

// The tests of this file guard against an agent that does not notice a restart of its upstream under the same ID.
//
// The fault: an agent distinguished lives of its upstream by the ID alone and continued with the state of the previous life. The new
// life numbers its heartbeats and its run ends from 1 again, so its heartbeats were dropped as outdated, and its ends were acknowledged
// before it had listed them.
//
// The effects in the incident that showed the fault: after a restart, the agent lost exactly as many runs as it had received ends
// before (317 and 317, 4 and 4). Tasks that had completed there were taken as lost and repeated elsewhere, some of them seven times.
// When the upstream announced that it would leave, the agent acknowledged the announcement without a change of state in its log, and
// kept starting tasks there until the upstream ended.

// tasksPerJob is the number of tasks of a job, and so the number of starts if every task runs exactly once.
const tasksPerJob = 2

// jobTimeout bounds how long a job may take. Without it, a job whose run ends never reach the entry would wait forever.
const jobTimeout = 5 * time.Second

// completeJobs submits n jobs one after another and requires each to complete.
func completeJobs(t *testing.T, c *client.Client, n int) {
	for range n {
		ctx, cancel := context.WithTimeout(context.Background(), jobTimeout)
		a, err := c.Submit(ctx, client.NewID(), job(20, `{"run_ms":20}`))
		cancel()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, a.State, qt.Equals, verdict.Complete)
	}
}

// startsAtFirst returns how many runs have started at the first upstream.
func startsAtFirst(cluster *embedded.Cluster) int { return cluster.Ledger.StartsAt(0) }

// TestUpstreamThatStartsAgainLeaves guards against tasks that start at an upstream after it has announced that it leaves, because its
// agent took the announcement for an outdated heartbeat of the life before the restart.
func TestUpstreamThatStartsAgainLeaves(t *testing.T) {
	cluster := start(t, 1, 2)
	c := newClient(t, cluster)
	time.Sleep(3 * time.Second) // the first life's heartbeats reach higher numbers than the second life's will
	completeJobs(t, c, 4)
	cluster.Upstreams[0].Restart(0)
	time.Sleep(500 * time.Millisecond)
	cluster.Upstreams[0].Drain()
	time.Sleep(500 * time.Millisecond) // two heartbeats
	before := startsAtFirst(cluster)
	for range 6 {
		// The two tasks of a job run in parallel, so a job uses both upstreams if both are available.
		ctx, cancel := context.WithTimeout(context.Background(), jobTimeout)
		_, err := c.Submit(ctx, client.NewID(), job(20, `{"run_ms":20}`))
		cancel()
		qt.Check(t, err, qt.IsNil)
	}
	qt.Assert(t, startsAtFirst(cluster)-before, qt.Equals, 0)
}

// TestUpstreamThatStartsAgainEndsRuns guards against tasks that are repeated although they completed at an upstream that had restarted
// under the same ID: each task must start exactly once.
func TestUpstreamThatStartsAgainEndsRuns(t *testing.T) {
	for _, test := range []struct {
		name    string
		restart func(u *standin.Upstream)
	}{
		{"at once", func(u *standin.Upstream) { u.Restart(0) }},
		{"after a time without answers or heartbeats", func(u *standin.Upstream) {
			u.SetFault(standin.UpstreamFault{Silent: true})
			time.Sleep(2 * time.Second)
			u.Restart(0)
			u.SetFault(standin.UpstreamFault{})
		}},
		{"after a second, beside heartbeats of other writers", func(u *standin.Upstream) {
			u.Restart(time.Second)
			for n := range 16 {
				u.SendForeignHeartbeat(n)
				time.Sleep(100 * time.Millisecond)
			}
		}},
		{"after it has left, with a late notice of its end", func(u *standin.Upstream) {
			u.DrainAndRestart(500*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
		}},
		{"twice", func(u *standin.Upstream) {
			u.Restart(0)
			time.Sleep(50 * time.Millisecond)
			u.Restart(0)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := start(t, 1, 1)
			c := newClient(t, cluster)
			completeJobs(t, c, 12)
			test.restart(cluster.Upstreams[0])
			time.Sleep(time.Second)
			before, _ := cluster.Ledger.Counts()
			completeJobs(t, c, 6)
			starts, _ := cluster.Ledger.Counts()
			qt.Assert(t, starts-before, qt.Equals, 6*tasksPerJob)
		})
	}
}

// TestUpstreamEndsLate guards against tasks that run at two upstreams because an upstream's notice that it has ended was taken as its
// actual end: an upstream whose notice is not acknowledged keeps running for a while.
func TestUpstreamEndsLate(t *testing.T) {
	for _, test := range []struct {
		name     string
		omitBorn bool
	}{
		{"heartbeats contain the birth time of the life", false},
		{"heartbeats contain no birth time", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster, err := embedded.Start(embedded.Options{
				Entries: 2, Agents: 4, Cores: 8, Service: "publish", Log: logs.Discard(), Adjust: relaxTimes, OmitBorn: test.omitBorn,
			})
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(cluster.Stop)
			done := make(chan map[api.State]int, 1)
			go func() { done <- submitAll(t, newClient(t, cluster), 6, job(600, `{"run_ms":600}`)) }()
			time.Sleep(200 * time.Millisecond)
			cluster.Upstreams[0].DeregisterThenCrash(400 * time.Millisecond)
			qt.Assert(t, <-done, qt.DeepEquals, map[api.State]int{verdict.Complete: 6})
			qt.Assert(t, cluster.Ledger.Violations(), qt.HasLen, 0)
		})
	}
}
