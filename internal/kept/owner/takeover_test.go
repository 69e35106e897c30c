package owner_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/rule"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/record"
)

// TestTakeOverJobs guards against a job that runs again although an agent still has an unreported end of it. The jobs of an
// expired lease are taken over after the settle time. They run only after all agents were asked, with the ends that the
// agents have reported.
func TestTakeOverJobs(t *testing.T) {
	for _, test := range []struct {
		name    string
		without rule.Set
		node    string
		wait    time.Duration
		asks    int
	}{
		{"lease of another VM", nil, "vm-2", settle + 200*time.Millisecond, 2},
		{"lease of an earlier incarnation on the same VM", nil, "vm-1", settle, 2},
		{"rule ask_first disabled", rule.Without(rule.AskFirst), "vm-2", settle + 200*time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.without)
			until := h.clock()
			if test.node == "vm-1" {
				until += time.Hour // the earlier incarnation had just renewed it
			}
			h.put(record.LeaseKey("old-0"), record.Lease{Node: test.node, UntilMs: until.Milliseconds()})
			h.put(layout.JobKey(jobID), record.Job{
				Spec: job.Spec{Text: "x", Steps: []job.Step{{Count: 2}}}, Route: route.Route{Name: "r", Service: "publish"},
			})
			h.put(layout.OpenKey(jobID), record.OpenJob{Owner: "old-0", Generation: 1, Sequence: 4, Ends: record.Ends{{Index: 1, Run: 3}}})
			h.advance(test.wait-300*time.Millisecond, true)
			qt.Assert(t, h.scans, qt.Equals, 0)
			h.advance(2*time.Second, true)
			qt.Assert(t, h.scans, qt.Equals, 1)
			h.owner.HandleScan(h.now, h.page(record.OpenRows("").Table).Rows, h.page(record.Leases), nil)
			qt.Assert(t, h.fetches, qt.DeepEquals, [][]job.ID{{jobID}})
			h.owner.HandleFetch(h.now, h.fetches[0], []rows.Row{h.Rows[layout.JobKey(jobID)]}, nil)
			h.completeWrites()
			qt.Assert(t, h.asked, qt.HasLen, test.asks)
			if test.asks > 0 {
				qt.Assert(t, h.submitted, qt.HasLen, 0)
				h.owner.HandleStrayEnd(h.now, agentA, end(0, 2, job.Done))
				h.owner.HandleEndsReported(h.now, agentA, h.asked[agentA])
				qt.Assert(t, h.submitted, qt.HasLen, 0)
				h.owner.HandleAgentLost(h.now, agentB)
			}
			qt.Assert(t, h.submitted, qt.HasLen, 1)
			known := h.submitted[0].Kept
			qt.Assert(t, known.Done[job.TaskID{Job: jobID, Index: 1}], qt.IsTrue)
			qt.Assert(t, known.Done[job.TaskID{Job: jobID}], qt.Equals, test.asks > 0)
			qt.Assert(t, known.LastRun, qt.Equals, job.Run(1024))
			qt.Assert(t, known.Late, qt.IsTrue)
			_, exists := h.Rows[record.LeaseKey("old-0")]
			qt.Assert(t, exists, qt.IsFalse)
		})
	}
}

// TestStrayEndsAfterTakeOver checks which ends that are not stored a new owner counts and which it declares void. A run that
// was given up, or whose task another run has completed, must not count as well.
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
		{"run of the last generation", 0, 2052, false},
		{"run that was given up", 0, 2051, true},
		{"run of an earlier generation", 0, 2000, true},
		{"run of a task that has ended well", 1, 2051, true},
		{"run that is counted already", 1, 2050, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.put(layout.JobKey(jobID), record.Job{Spec: job.Spec{Steps: []job.Step{{Count: 2}}}})
			h.put(layout.OpenKey(jobID), open)
			h.owner.Submit(h.now, dispatch.Request{Job: 99, Caller: 98, Spec: &job.Spec{}}) // requests the lease
			h.acquireLease()
			h.completeWrites()
			h.advance(11*time.Second, true) // a scan finds that the lease of the job's owner does not exist
			qt.Assert(t, h.scans > 0, qt.IsTrue)
			h.owner.HandleScan(h.now, []rows.Row{h.Rows[layout.OpenKey(jobID)]}, h.page(record.Leases), nil)
			h.owner.HandleFetch(h.now, []job.ID{jobID}, []rows.Row{h.Rows[layout.JobKey(jobID)]}, nil)
			h.completeWrites()
			h.owner.HandleStrayEnd(h.now, agentA, end(test.index, test.run, job.Done))
			qt.Assert(t, len(h.acks) == 1 && h.acks[0].void, qt.Equals, test.void)
		})
	}
}

// TestAdoptionEnds guards against a lease row that is never removed because one of its jobs was cancelled by another entry
// during the takeover. It also checks that a lease whose row can't be decoded is not claimed.
func TestAdoptionEnds(t *testing.T) {
	h := newHarness(t, nil)
	h.put(record.LeaseKey("old-0"), record.Lease{Node: "vm-2"})
	h.put(layout.JobKey(jobID), record.Job{Spec: job.Spec{Steps: []job.Step{{Count: 1}}}})
	h.put(layout.OpenKey(jobID), record.OpenJob{Owner: "old-0", Generation: 1, Sequence: 1})
	h.advance(3*time.Second, true)
	h.owner.HandleScan(h.now, h.page(record.OpenRows("").Table).Rows, h.page(record.Leases), nil)
	h.owner.HandleRemoteCancellations(h.now, []job.ID{jobID})
	h.advance(time.Second, true)
	h.completeWrites()
	qt.Assert(t, h.page(record.Leases).Rows, qt.HasLen, 1) // the entry's own lease
	h.put(record.LeaseKey("strange"), "no lease")
	h.advance(5*time.Second, true)
	row := h.Rows[record.LeaseKey("strange")]
	qt.Assert(t, string(row.Value), qt.Equals, `"no lease"`)
}

// TestOddRowsBesideGoodJobs guards against a row of another writer that ends each process which takes its job over, one after the other, and
// against good jobs beside it that are not taken over.
func TestOddRowsBesideGoodJobs(t *testing.T) {
	const odd = job.ID(8)
	good := job.Spec{Text: "x", Steps: []job.Step{{Count: 2}}}
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, test := range []struct {
		name      string
		open, job string
	}{
		{"a step after one that does not exist", "", `{"spec":{"steps":[{"count":1,"after":[7]}]}}`},
		{"a number of tasks that takes all memory", "", `{"spec":{"steps":[{"count":4294967295}]}}`},
		{"a number that is too large", "", `{"spec":{"steps":[{"count":1e400}]}}`},
		{"no steps", "", `{}`},
		{"very deeply nested", "", `{"spec":` + nested + `}`},
		{"very deeply nested progress", `{"owner":"old-0","generation":1,"ends":` + nested + `}`, ""},
		{"progress of tasks that do not exist", `{"owner":"old-0","generation":1,"ends":"7.9.1 4294967295.4294967295.4294967295f"}`, ""},
		{"progress with a generation that is too large", `{"owner":"old-0","generation":99999999999}`, ""},
		{"no progress", "\xff", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.put(record.LeaseKey("old-0"), record.Lease{Node: "vm-2", UntilMs: h.clock().Milliseconds()})
			for _, id := range []job.ID{jobID, odd} {
				h.put(layout.JobKey(id), record.Job{Spec: good, Route: route.Route{Name: "r", Service: "publish"}})
				h.put(layout.OpenKey(id), record.OpenJob{Owner: "old-0", Generation: 1, Sequence: 4})
			}
			if test.job != "" {
				h.Put(layout.JobKey(odd), []byte(test.job))
			}
			if test.open != "" {
				h.Put(layout.OpenKey(odd), []byte(test.open))
			}
			h.advance(4*time.Second, true)
			h.owner.HandleScan(h.now, h.page(record.OpenRows("").Table).Rows, h.page(record.Leases), nil)
			for _, ids := range h.fetches {
				var found []rows.Row
				for _, id := range ids {
					found = append(found, h.Rows[layout.JobKey(id)])
				}
				h.owner.HandleFetch(h.now, ids, found, nil)
			}
			h.completeWrites()
			for _, a := range []ident.Incarnation{agentA, agentB} {
				h.owner.HandleEndsReported(h.now, a, h.asked[a])
			}
			var submitted []job.ID
			for _, r := range h.submitted {
				qt.Check(t, r.Spec.Check(0), qt.IsNil)
				submitted = append(submitted, r.Job)
			}
			qt.Check(t, submitted, qt.Contains, jobID)
		})
	}
}
