package owner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/rule"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/record"
)

// TestAdoption: when a lease has ended for long enough, its jobs are taken over, all agents are asked, and only then the
// job runs, with what they have told.
func TestTakeOverJobs(t *testing.T) {
	for _, test := range []struct {
		name    string
		without rule.Set
		node    string
		wait    time.Duration
		asks    int
	}{
		{"another VM's", nil, "vm-2", settle + 200*time.Millisecond, 2},
		{"an earlier life of the same VM's", nil, "vm-1", settle, 2},
		{"nobody is asked", rule.Without(rule.AskFirst), "vm-2", settle + 200*time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, test.without)
			until := b.clock()
			if test.node == "vm-1" {
				until += time.Hour // the former life had just renewed it
			}
			b.put(record.LeaseKey("old-0"), record.Lease{Node: test.node, UntilMs: until.Milliseconds()})
			b.put(layout.JobKey(jobID), record.Job{
				Spec: job.Spec{Text: "x", Steps: []job.Step{{Count: 2}}}, Route: route.Route{Name: "r", Service: "publish"},
			})
			b.put(layout.OpenKey(jobID), record.OpenJob{Owner: "old-0", Generation: 1, Sequence: 4, Ends: record.Ends{{Index: 1, Run: 3}}})
			b.advance(test.wait-300*time.Millisecond, true)
			qt.Assert(t, b.scans, qt.Equals, 0)
			b.advance(2*time.Second, true)
			qt.Assert(t, b.scans, qt.Equals, 1)
			b.owner.HandleScan(b.now, b.page(record.OpenRows("").Table).Rows, b.page(record.Leases), nil)
			qt.Assert(t, b.fetches, qt.DeepEquals, [][]job.ID{{jobID}})
			b.owner.HandleFetch(b.now, b.fetches[0], []rows.Row{b.Rows[layout.JobKey(jobID)]}, nil)
			b.completeWrites()
			qt.Assert(t, b.asked, qt.HasLen, test.asks)
			if test.asks > 0 {
				qt.Assert(t, b.submitted, qt.HasLen, 0)
				b.owner.HandleStrayEnd(b.now, agentA, end(0, 2, job.Done))
				b.owner.HandleEndsReported(b.now, agentA, b.asked[agentA])
				qt.Assert(t, b.submitted, qt.HasLen, 0)
				b.owner.HandleAgentLost(b.now, agentB)
			}
			qt.Assert(t, b.submitted, qt.HasLen, 1)
			known := b.submitted[0].Kept
			qt.Assert(t, known.Done[job.TaskID{Job: jobID, Index: 1}], qt.IsTrue)
			qt.Assert(t, known.Done[job.TaskID{Job: jobID}], qt.Equals, test.asks > 0)
			qt.Assert(t, known.LastRun, qt.Equals, job.Run(1024))
			qt.Assert(t, known.Late, qt.IsTrue)
			_, there := b.Rows[record.LeaseKey("old-0")]
			qt.Assert(t, there, qt.IsFalse)
		})
	}
}

// TestEndsThatDoNotCount: what a new owner makes of ends that nobody has stored.
func TestStrayEndsAfterTakeOver(t *testing.T) {
	open := record.OpenJob{
		Owner: "gone-0", Generation: 3, Sequence: 1, Ends: record.Ends{{Index: 1, Run: 2050}},
		VoidRuns: []record.TaskRun{{Index: 0, Run: 2051}},
	}
	for _, test := range []struct {
		name  string
		index uint32
		run   job.Run
		void  bool
	}{
		{"of the last generation", 0, 2052, false},
		{"given up before", 0, 2051, true},
		{"of an earlier generation", 0, 2000, true},
		{"of a task that has ended well", 1, 2051, true},
		{"counted already", 1, 2050, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.put(layout.JobKey(jobID), record.Job{Spec: job.Spec{Steps: []job.Step{{Count: 2}}}})
			b.put(layout.OpenKey(jobID), open)
			b.owner.Submit(b.now, dispatch.Request{Job: 99, Caller: 98, Spec: &job.Spec{}}) // takes the lease
			b.acquireLease()
			b.completeWrites()
			b.advance(11*time.Second, true) // its owner's lease is gone, which a scan finds
			qt.Assert(t, b.scans > 0, qt.IsTrue)
			b.owner.HandleScan(b.now, []rows.Row{b.Rows[layout.OpenKey(jobID)]}, b.page(record.Leases), nil)
			b.owner.HandleFetch(b.now, []job.ID{jobID}, []rows.Row{b.Rows[layout.JobKey(jobID)]}, nil)
			b.completeWrites()
			b.owner.HandleStrayEnd(b.now, agentA, end(test.index, test.run, job.Done))
			qt.Assert(t, len(b.acks) == 1 && b.acks[0].void, qt.Equals, test.void)
		})
	}
}

// TestAdoptionEnds: a job that is cancelled elsewhere while it is being taken over does not keep the lease that it came
// from; and a lease whose row can't be read is nobody's to claim.
func TestAdoptionEnds(t *testing.T) {
	b := newHarness(t, nil)
	b.put(record.LeaseKey("old-0"), record.Lease{Node: "vm-2"})
	b.put(layout.JobKey(jobID), record.Job{Spec: job.Spec{Steps: []job.Step{{Count: 1}}}})
	b.put(layout.OpenKey(jobID), record.OpenJob{Owner: "old-0", Generation: 1, Sequence: 1})
	b.advance(3*time.Second, true)
	b.owner.HandleScan(b.now, b.page(record.OpenRows("").Table).Rows, b.page(record.Leases), nil)
	b.owner.HandleRemoteCancellations(b.now, []job.ID{jobID})
	b.advance(time.Second, true)
	b.completeWrites()
	qt.Assert(t, b.page(record.Leases).Rows, qt.HasLen, 1) // its own
	b.put(record.LeaseKey("strange"), "no lease")
	b.advance(5*time.Second, true)
	row := b.Rows[record.LeaseKey("strange")]
	qt.Assert(t, string(row.Value), qt.Equals, `"no lease"`)
}
