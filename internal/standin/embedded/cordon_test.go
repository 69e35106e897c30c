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

// An embedded cluster of three agents has one in each of zone-1, zone-2 and zone-3, in this order.

// awaitCordons waits until every entry counts the given number of cordoned zones, and gives agents time to learn of them.
func awaitCordons(t *testing.T, cluster *embedded.Cluster, zones int) {
	for _, e := range cluster.Entries {
		eventually(t, "the cordons to reach every entry", func() bool {
			n := 0
			for _, z := range e.Node.Zones() {
				if z.Cordoned {
					n++
				}
			}
			return n == zones
		})
	}
	time.Sleep(50 * time.Millisecond) // agents learn of the cordons from the entries
}

// startsNow submits jobs and returns at which of the three upstreams their tasks started.
func startsNow(t *testing.T, cluster *embedded.Cluster) [3]bool {
	var before [3]int
	for i := range before {
		before[i] = cluster.Ledger.StartsAt(i)
	}
	got := submitAll(t, newClient(t, cluster), 12, job(60, `{"run_ms":60}`))
	qt.Assert(t, got, qt.DeepEquals, map[api.State]int{verdict.Complete: 12})
	var out [3]bool
	for i := range out {
		out[i] = cluster.Ledger.StartsAt(i) > before[i]
	}
	return out
}

var (
	everywhere      = [3]bool{true, true, true}
	allButTheFirst  = [3]bool{false, true, true}
	allButTheSecond = [3]bool{true, false, true}
)

// TestZoneIsEvacuated guards against tasks that start in a zone while it is evacuated, and against a zone that stays cordoned after
// the evacuation is cancelled. The evacuation is requested through the platform's operator or through a configuration object, also while
// the store fails, has dropped its history or holds unreadable rows of other writers.
func TestZoneIsEvacuated(t *testing.T) {
	for _, test := range []struct {
		name  string
		begin func(t *testing.T, cluster *embedded.Cluster)
		end   func(t *testing.T, cluster *embedded.Cluster)
	}{
		{"by the platform's operator",
			func(_ *testing.T, cluster *embedded.Cluster) { cluster.Store.Evacuate("zone-1") },
			func(_ *testing.T, cluster *embedded.Cluster) { cluster.Store.TakeBack("zone-1") }},
		{"by a configuration object", func(t *testing.T, cluster *embedded.Cluster) {
			status, out := callAPI(t, cluster.Entries[1].Metrics.Address(), embedded.Token, "PUT", "/v1/config/zone/zone-1", "new", `{"cordoned":true}`)
			qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
		}, func(t *testing.T, cluster *embedded.Cluster) {
			status, out := callAPI(t, cluster.Entries[0].Metrics.Address(), embedded.Token, "DELETE", "/v1/config/zone/zone-1", "1", "")
			qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
		}},
		{"requested, cancelled and requested again", func(_ *testing.T, cluster *embedded.Cluster) {
			cluster.Store.Evacuate("zone-1")
			cluster.Store.TakeBack("zone-1")
			cluster.Store.Evacuate("zone-1")
		}, func(_ *testing.T, cluster *embedded.Cluster) { cluster.Store.TakeBack("zone-1") }},
		{"while the store has dropped its history", func(_ *testing.T, cluster *embedded.Cluster) {
			cluster.Store.Evacuate("zone-1")
			cluster.Store.Forget()
		}, func(_ *testing.T, cluster *embedded.Cluster) {
			cluster.Store.TakeBack("zone-1")
			cluster.Store.Forget()
		}},
		{"while the store was unavailable", func(_ *testing.T, cluster *embedded.Cluster) {
			cluster.Store.Break(standin.Fault{Busy: true})
			cluster.Store.Evacuate("zone-1")
			time.Sleep(300 * time.Millisecond)
			cluster.Store.Break(standin.Fault{})
		}, func(_ *testing.T, cluster *embedded.Cluster) {
			cluster.Store.Break(standin.Fault{Busy: true})
			cluster.Store.TakeBack("zone-1")
			time.Sleep(300 * time.Millisecond)
			cluster.Store.Break(standin.Fault{})
		}},
		{"beside rows of another writer", func(_ *testing.T, cluster *embedded.Cluster) {
			cluster.Store.Put("op", "evacuate/", []byte("{}"))
			cluster.Store.Put("op", "evacuate/zone-2", []byte("\xff"))
			cluster.Store.Evacuate("zone-1")
			cluster.Store.Put("hillreel_objects", "zone/zone-3", []byte("[]"))
		}, func(_ *testing.T, cluster *embedded.Cluster) { cluster.Store.TakeBack("zone-1") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := start(t, 2, 3)
			qt.Assert(t, startsNow(t, cluster), qt.Equals, everywhere)
			test.begin(t, cluster)
			awaitCordons(t, cluster, 1)
			qt.Assert(t, startsNow(t, cluster), qt.Equals, allButTheFirst)
			test.end(t, cluster)
			awaitCordons(t, cluster, 0)
			qt.Assert(t, startsNow(t, cluster), qt.Equals, everywhere)
		})
	}
}

// TestDryRunOfCordon checks that a dry run of a cordon reports which agents would be lost and what capacity would be left, and changes
// nothing.
func TestDryRunOfCordon(t *testing.T) {
	cluster := start(t, 1, 3)
	status, out := callAPI(t, cluster.Entries[0].Metrics.Address(), embedded.Token, "PUT", "/v1/config/zone/zone-1?dry_run=1", "new", `{"cordoned":true}`)
	qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
	moves := out["moves"].([]any)[0].(map[string]any)
	qt.Assert(t, moves["lost"], qt.DeepEquals, []any{"agent-0"})
	qt.Assert(t, moves["left"], qt.Equals, 2.0)
	qt.Assert(t, moves["left_cpu_millis"], qt.Equals, 8000.0)
	qt.Assert(t, startsNow(t, cluster), qt.Equals, everywhere)
}

// TestRunsInAnEvacuatedZoneGoOn guards against an evacuation that kills or repeats the runs already in the zone: they complete there,
// and no task is started again.
func TestRunsInAnEvacuatedZoneGoOn(t *testing.T) {
	cluster := start(t, 1, 3)
	done := make(chan map[api.State]int, 1)
	go func() { done <- submitAll(t, newClient(t, cluster), 6, job(1500, `{"run_ms":1500}`)) }()
	eventually(t, "more than three runs", func() bool { return cluster.Ledger.Running() > 3 })
	cluster.Store.Evacuate("zone-1")
	awaitCordons(t, cluster, 1)
	qt.Assert(t, <-done, qt.DeepEquals, map[api.State]int{verdict.Complete: 6})
	starts, ended := cluster.Ledger.Counts()
	qt.Assert(t, starts, qt.Equals, ended)
}

// TestAllZonesEvacuated guards against jobs that wait or time out while every zone is evacuated: they are refused at once with the verdict
// not_run and a retry delay, and nothing starts.
func TestAllZonesEvacuated(t *testing.T) {
	cluster := start(t, 2, 3)
	for _, zone := range []string{"zone-1", "zone-2", "zone-3"} {
		cluster.Store.Evacuate(zone)
	}
	awaitCordons(t, cluster, 3)
	c, err := client.New(client.Options{Entries: cluster.Callers(), Attempts: 1})
	qt.Assert(t, err, qt.IsNil)
	before, _ := cluster.Ledger.Counts()
	began := time.Now()
	a, err := c.Submit(context.Background(), client.NewID(), job(60, `{"run_ms":60}`))
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, a.Reason, qt.Equals, verdict.Cordoned)
	qt.Assert(t, a.RetryAfterMs, qt.Equals, int64(5000))
	after, _ := cluster.Ledger.Counts()
	qt.Assert(t, after, qt.Equals, before)
	cluster.Store.TakeBack("zone-2")
	awaitCordons(t, cluster, 2)
	qt.Assert(t, startsNow(t, cluster), qt.Equals, [3]bool{false, true, false})
}

// TestEvacuationIsRelayed guards against tasks that start in an evacuated zone through processes that cannot reach the store. An entry
// without the store learns of the evacuation from an agent. An agent that starts while the store is unavailable learns of it from an
// entry before its first task.
func TestEvacuationIsRelayed(t *testing.T) {
	cluster := start(t, 1, 2)
	cluster.Store.Evacuate("zone-2")
	awaitCordons(t, cluster, 1)
	_, err := cluster.StartEntry(1, "127.0.0.1:1") // no server listens there
	qt.Assert(t, err, qt.IsNil)
	awaitCordons(t, cluster, 1)
	cluster.Store.Break(standin.Fault{Busy: true})
	cluster.Store.Evacuate("zone-3") // no process can read it yet
	qt.Assert(t, cluster.StartAgent(2), qt.IsNil)
	cluster.Agents[2].Node.SetSeeds([]string{cluster.Entries[0].Node.Address()})
	time.Sleep(time.Second)
	qt.Assert(t, cluster.Ledger.StartsAt(2), qt.Equals, 0)
	cluster.Store.Break(standin.Fault{})
	awaitCordons(t, cluster, 2)
	qt.Assert(t, startsNow(t, cluster), qt.Equals, [3]bool{true, false, false})
	cluster.Store.TakeBack("zone-3")
	awaitCordons(t, cluster, 1)
	eventually(t, "two ready upstreams", func() bool { return cluster.Entries[0].Node.UpstreamsReady() == 2 })
	qt.Assert(t, startsNow(t, cluster), qt.Equals, allButTheSecond)
}
