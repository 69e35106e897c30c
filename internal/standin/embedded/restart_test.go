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

// The incident: an upstream crashed, started again under the id that it had, and later said that it would leave. Its agent
// acknowledged that and went on starting tasks there until the upstream ended. Before, tasks that had ended well there were
// taken for lost and done again elsewhere, some seven times.
//
// The cause: an agent told lives of its upstream apart by the id alone. It went on with the account of the life before, so that
// the new life's heartbeats, numbered from 1 again, were dropped as overtaken, and ends numbered from 1 again were acknowledged
// before they were listed. What proved it: as many runs were lost after a restart as ends had been taken in before it, 317
// and 317, 4 and 4, and the agent's log has no change of state when the upstream said that it leaves.

// tasksPerJob is how many starts a job takes whose tasks are all done once.
const tasksPerJob = 2

// longest is how long a job may take: where none of its ends is heard of it would wait for ever.
const longest = 5 * time.Second

// complete sends n jobs, one after the other, and wants all of them complete.
func complete(t *testing.T, c *client.Client, n int) {
	for range n {
		ctx, cancel := context.WithTimeout(context.Background(), longest)
		a, err := c.Submit(ctx, client.NewID(), job(20, `{"run_ms":20}`))
		cancel()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, a.State, qt.Equals, verdict.Complete)
	}
}

// startsAt returns how many runs have started at the first upstream.
func startsAt(set *embedded.Cluster) int { return set.Ledger.StartsAt(0) }

// TestUpstreamThatStartsAgainLeaves: an upstream that has started again under its id says that it leaves, and nothing starts
// there any more.
func TestUpstreamThatStartsAgainLeaves(t *testing.T) {
	set := start(t, 1, 2)
	c := newClient(t, set)
	time.Sleep(3 * time.Second) // heartbeats of the first life get numbers that the second does not reach below
	complete(t, c, 4)
	set.Upstreams[0].Restart(0)
	time.Sleep(500 * time.Millisecond)
	set.Upstreams[0].Drain()
	time.Sleep(500 * time.Millisecond) // two heartbeats
	before := startsAt(set)
	for range 6 {
		// With its two tasks side by side a job takes both upstreams where both are offered.
		ctx, cancel := context.WithTimeout(context.Background(), longest)
		_, err := c.Submit(ctx, client.NewID(), job(20, `{"run_ms":20}`))
		cancel()
		qt.Check(t, err, qt.IsNil)
	}
	qt.Assert(t, startsAt(set)-before, qt.Equals, 0)
}

// TestUpstreamThatStartsAgainEndsRuns: what ends well at an upstream that has started again under its id is done, once.
func TestUpstreamThatStartsAgainEndsRuns(t *testing.T) {
	for _, test := range []struct {
		name    string
		restart func(u *standin.Upstream)
	}{
		{"at once", func(u *standin.Upstream) { u.Restart(0) }},
		{"after it was away", func(u *standin.Upstream) {
			u.Break(standin.UpstreamFault{Mute: true})
			time.Sleep(2 * time.Second)
			u.Restart(0)
			u.Break(standin.UpstreamFault{})
		}},
		{"after a second, beside heartbeats of other writers", func(u *standin.Upstream) {
			u.Restart(time.Second)
			for n := range 16 {
				u.BeatForeign(n)
				time.Sleep(100 * time.Millisecond)
			}
		}},
		{"after it has left, and its word that it has ended comes late", func(u *standin.Upstream) {
			u.Leave(500*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond)
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
			set := start(t, 1, 1)
			c := newClient(t, set)
			complete(t, c, 12)
			test.restart(set.Upstreams[0])
			time.Sleep(time.Second)
			before, _ := set.Ledger.Counts()
			complete(t, c, 6)
			starts, _ := set.Ledger.Counts()
			qt.Assert(t, starts-before, qt.Equals, 6*tasksPerJob)
		})
	}
}

// TestUpstreamEndsLate guards against tasks that run at two upstreams because the word that an upstream has ended was taken for its end:
// it runs on for a while where that word is not acknowledged.
func TestUpstreamEndsLate(t *testing.T) {
	for _, test := range []struct {
		name   string
		unborn bool
	}{
		{"it tells when its life began", false},
		{"it does not", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			set, err := embedded.Start(embedded.Options{
				Entries: 2, Agents: 4, Cores: 8, Service: "publish", Log: logs.Discard(), Adjust: unhurried, OmitBorn: test.unborn,
			})
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(set.Stop)
			done := make(chan map[api.State]int, 1)
			go func() { done <- submitAll(t, newClient(t, set), 6, job(600, `{"run_ms":600}`)) }()
			time.Sleep(200 * time.Millisecond)
			set.Upstreams[0].End(400 * time.Millisecond)
			qt.Assert(t, <-done, qt.DeepEquals, map[api.State]int{verdict.Complete: 6})
			qt.Assert(t, set.Ledger.Broken(), qt.HasLen, 0)
		})
	}
}
