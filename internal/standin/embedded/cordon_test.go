package embedded_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/api"
	"hillreel/client"
	"hillreel/internal/core/verdict"
	"hillreel/internal/standin/embedded"
	"hillreel/platform/standin"
)

// An embedded set of three agents has one in each of zone-1, zone-2 and zone-3; the first agent's is zone-1.

// cordonedEverywhere waits until all entries know which zones are cordoned.
func cordonedEverywhere(t *testing.T, set *embedded.Cluster, zones int) {
	for _, e := range set.Entries {
		eventually(t, "the cordons at every entry", func() bool {
			n := 0
			for _, w := range e.Node.Zones() {
				if w.Cordoned {
					n++
				}
			}
			return n == zones
		})
	}
	time.Sleep(50 * time.Millisecond) // agents hear of it from the entries
}

// startedAt returns at which upstreams jobs that are sent now start.
func startedAt(t *testing.T, set *embedded.Cluster) [3]bool {
	var before [3]int
	for i := range before {
		before[i] = set.Ledger.StartsAt(i)
	}
	got := submitAll(t, newClient(t, set), 12, job(60, `{"run_ms":60}`))
	qt.Assert(t, got, qt.DeepEquals, map[api.State]int{verdict.Complete: 12})
	var out [3]bool
	for i := range out {
		out[i] = set.Ledger.StartsAt(i) > before[i]
	}
	return out
}

var (
	everywhere      = [3]bool{true, true, true}
	allButTheFirst  = [3]bool{false, true, true}
	allButTheSecond = [3]bool{true, false, true}
)

// TestZoneIsEvacuated: nothing starts in a zone from when its evacuation is asked for until it is taken back, whichever of the
// platform's and hillreel's own ways it is asked for, and whatever the store does meanwhile.
func TestZoneIsEvacuated(t *testing.T) {
	for _, test := range []struct {
		name  string
		begin func(t *testing.T, set *embedded.Cluster)
		end   func(t *testing.T, set *embedded.Cluster)
	}{
		{"by the platform's operator",
			func(_ *testing.T, set *embedded.Cluster) { set.Store.Evacuate("zone-1") },
			func(_ *testing.T, set *embedded.Cluster) { set.Store.TakeBack("zone-1") }},
		{"by an object", func(t *testing.T, set *embedded.Cluster) {
			status, out := operate(t, set.Entries[1].Metrics.Address(), embedded.Token, "PUT", "/v1/config/zone/zone-1", "new", `{"cordoned":true}`)
			qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
		}, func(t *testing.T, set *embedded.Cluster) {
			status, out := operate(t, set.Entries[0].Metrics.Address(), embedded.Token, "DELETE", "/v1/config/zone/zone-1", "1", "")
			qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
		}},
		{"asked for, taken back and asked for again", func(_ *testing.T, set *embedded.Cluster) {
			set.Store.Evacuate("zone-1")
			set.Store.TakeBack("zone-1")
			set.Store.Evacuate("zone-1")
		}, func(_ *testing.T, set *embedded.Cluster) { set.Store.TakeBack("zone-1") }},
		{"while the store has forgotten its history", func(_ *testing.T, set *embedded.Cluster) {
			set.Store.Evacuate("zone-1")
			set.Store.Forget()
		}, func(_ *testing.T, set *embedded.Cluster) {
			set.Store.TakeBack("zone-1")
			set.Store.Forget()
		}},
		{"while the store was away", func(_ *testing.T, set *embedded.Cluster) {
			set.Store.Break(standin.Fault{Busy: true})
			set.Store.Evacuate("zone-1")
			time.Sleep(300 * time.Millisecond)
			set.Store.Break(standin.Fault{})
		}, func(_ *testing.T, set *embedded.Cluster) {
			set.Store.Break(standin.Fault{Busy: true})
			set.Store.TakeBack("zone-1")
			time.Sleep(300 * time.Millisecond)
			set.Store.Break(standin.Fault{})
		}},
		{"beside rows of another writer", func(_ *testing.T, set *embedded.Cluster) {
			set.Store.Put("op", "evacuate/", []byte("{}"))
			set.Store.Put("op", "evacuate/zone-2", []byte("\xff"))
			set.Store.Evacuate("zone-1")
			set.Store.Put("hillreel_objects", "zone/zone-3", []byte("[]"))
		}, func(_ *testing.T, set *embedded.Cluster) { set.Store.TakeBack("zone-1") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			set := start(t, 2, 3)
			qt.Assert(t, startedAt(t, set), qt.Equals, everywhere)
			test.begin(t, set)
			cordonedEverywhere(t, set, 1)
			qt.Assert(t, startedAt(t, set), qt.Equals, allButTheFirst)
			test.end(t, set)
			cordonedEverywhere(t, set, 0)
			qt.Assert(t, startedAt(t, set), qt.Equals, everywhere)
		})
	}
}

// TestDryRunOfCordon: an operator sees beforehand what is left without a zone.
func TestDryRunOfCordon(t *testing.T) {
	set := start(t, 1, 3)
	status, out := operate(t, set.Entries[0].Metrics.Address(), embedded.Token, "PUT", "/v1/config/zone/zone-1?dry_run=1", "new", `{"cordoned":true}`)
	qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
	moves := out["moves"].([]any)[0].(map[string]any)
	qt.Assert(t, moves["lost"], qt.DeepEquals, []any{"agent-0"})
	qt.Assert(t, moves["left"], qt.Equals, 2.0)
	qt.Assert(t, moves["left_cpu_millis"], qt.Equals, 8000.0)
	qt.Assert(t, startedAt(t, set), qt.Equals, everywhere)
}

// TestRunsInAnEvacuatedZoneGoOn: what runs there when the evacuation is asked for ends well, and is not done again.
func TestRunsInAnEvacuatedZoneGoOn(t *testing.T) {
	set := start(t, 1, 3)
	done := make(chan map[api.State]int, 1)
	go func() { done <- submitAll(t, newClient(t, set), 6, job(1500, `{"run_ms":1500}`)) }()
	eventually(t, "runs", func() bool { return set.Ledger.Running() > 3 })
	set.Store.Evacuate("zone-1")
	cordonedEverywhere(t, set, 1)
	qt.Assert(t, <-done, qt.DeepEquals, map[api.State]int{verdict.Complete: 6})
	starts, ended := set.Ledger.Counts()
	qt.Assert(t, starts, qt.Equals, ended)
}

// TestAllZonesEvacuated: jobs are refused at once as not run, with when to come back.
func TestAllZonesEvacuated(t *testing.T) {
	set := start(t, 2, 3)
	for _, zone := range []string{"zone-1", "zone-2", "zone-3"} {
		set.Store.Evacuate(zone)
	}
	cordonedEverywhere(t, set, 3)
	c, err := client.New(client.Options{Entries: set.Callers(), Attempts: 1})
	qt.Assert(t, err, qt.IsNil)
	before, _ := set.Ledger.Counts()
	began := time.Now()
	a, err := c.Submit(context.Background(), client.NewID(), job(60, `{"run_ms":60}`))
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, a.Reason, qt.Equals, verdict.Cordoned)
	qt.Assert(t, a.RetryAfterMs, qt.Equals, int64(5000))
	after, _ := set.Ledger.Counts()
	qt.Assert(t, after, qt.Equals, before)
	set.Store.TakeBack("zone-2")
	cordonedEverywhere(t, set, 2)
	qt.Assert(t, startedAt(t, set), qt.Equals, [3]bool{false, true, false})
}

// TestEvacuationIsRelayed: an entry that the store turns away hears of an evacuation from an agent, and an agent that starts then hears
// of it from an entry, before its first task.
func TestEvacuationIsRelayed(t *testing.T) {
	set := start(t, 1, 2)
	set.Store.Evacuate("zone-2")
	cordonedEverywhere(t, set, 1)
	_, err := set.StartEntry(1, "127.0.0.1:1") // nobody listens there
	qt.Assert(t, err, qt.IsNil)
	cordonedEverywhere(t, set, 1)
	set.Store.Break(standin.Fault{Busy: true})
	set.Store.Evacuate("zone-3") // nobody can hear of it yet
	qt.Assert(t, set.StartAgent(2), qt.IsNil)
	set.Agents[2].Node.SetSeeds([]string{set.Entries[0].Node.Address()})
	time.Sleep(time.Second)
	qt.Assert(t, set.Ledger.StartsAt(2), qt.Equals, 0)
	set.Store.Break(standin.Fault{})
	cordonedEverywhere(t, set, 2)
	qt.Assert(t, startedAt(t, set), qt.Equals, [3]bool{true, false, false})
	set.Store.TakeBack("zone-3")
	cordonedEverywhere(t, set, 1)
	eventually(t, "the third agent", func() bool { return set.Entries[0].Node.UpstreamsReady() == 2 })
	qt.Assert(t, startedAt(t, set), qt.Equals, allButTheSecond)
}
