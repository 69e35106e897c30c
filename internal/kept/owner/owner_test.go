package owner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/record"
)

// TestAccept checks that a job is accepted once it is stored, even if the store's answer is lost, and which answer the caller
// gets otherwise. A caller that is told not_run for a stored job would submit the job twice.
func TestAccept(t *testing.T) {
	other := record.OpenJob{Owner: "other", Generation: 1, Sequence: 1}
	for _, test := range []struct {
		name      string
		setUp     func(h *harness)
		write     func(h *harness)
		state     verdict.State
		submitted int
	}{
		{"stored", func(*harness) {}, func(h *harness) { h.completeWrites() }, verdict.Accepted, 1},
		{"answer lost", func(*harness) {}, func(h *harness) { h.completeWrite(true) }, verdict.Accepted, 1},
		{"another entry owns it", func(h *harness) {
			h.put(layout.JobKey(jobID), record.Job{})
			h.put(layout.OpenKey(jobID), other)
		}, func(h *harness) { h.completeWrites() }, verdict.Accepted, 0},
		{"it has ended", func(h *harness) {
			h.put(layout.JobKey(jobID), record.Job{})
			h.put(layout.EndedKey(jobID), record.EndedJob{State: verdict.Complete})
		}, func(h *harness) { h.completeWrites() }, verdict.Accepted, 0},
		{"refused", func(*harness) {}, func(h *harness) {
			h.owner.HandleWriteResult(h.now, jobstore.Result{ID: h.writes[0].ID, Outcome: jobstore.Refused})
		}, verdict.Refused, 0},
		{"no answer in time", func(*harness) {}, func(h *harness) { h.advance(3500*time.Millisecond, false) }, verdict.Unresolved, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			test.setUp(h)
			h.owner.Submit(h.now, dispatch.Request{Job: 99, Caller: 98, Spec: &job.Spec{}}) // requests the lease
			h.acquireLease()
			h.completeWrites()
			h.submitted = nil
			h.submit(1)
			qt.Assert(t, h.answers, qt.HasLen, 1) // the answer for job 99
			test.write(h)
			qt.Assert(t, h.answers[1].State, qt.Equals, test.state)
			qt.Assert(t, h.answers[1].Verdict == verdict.NotRun, qt.Equals, test.state == verdict.Refused)
			qt.Assert(t, h.submitted, qt.HasLen, test.submitted)
		})
	}
}

// TestRefused checks that nothing is written of a job that is refused with not_run, be it at once or after it has waited
// for a lease.
func TestRefused(t *testing.T) {
	for _, test := range []struct {
		name  string
		setUp func(h *harness)
		text  string
		waits time.Duration
		want  verdict.Reason
	}{
		{"too large for a row", func(*harness) {}, string(make([]byte, 2000)), 0, verdict.TooLarge},
		{"store unavailable", func(h *harness) { h.unavailable = true }, "x", 0, verdict.Overloaded},
		{"no lease", func(*harness) {}, "x", 700 * time.Millisecond, verdict.Overloaded},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			test.setUp(h)
			h.owner.Submit(h.now, dispatch.Request{Job: jobID, Caller: 1, Spec: &job.Spec{Text: test.text}})
			qt.Assert(t, len(h.answers) == 0, qt.Equals, test.waits > 0)
			h.advance(test.waits, false)
			qt.Assert(t, h.answers[1].State, qt.Equals, verdict.Refused)
			qt.Assert(t, h.answers[1].Verdict, qt.Equals, verdict.NotRun)
			qt.Assert(t, h.answers[1].Reason, qt.Equals, test.want)
			qt.Assert(t, h.writes, qt.HasLen, 0)
		})
	}
}

// TestEndIsStoredBeforeAnswers guards against a job that is reported as ended, or ends that agents discard, before the store
// has them: both would be lost with the entry.
func TestEndIsStoredBeforeAnswers(t *testing.T) {
	h := newHarnessWithJob(t, nil)
	h.owner.RunEnded(h.now, agentA, end(0, 1, job.Done))
	h.owner.RunEnded(h.now, agentB, end(1, 1, job.Done))
	h.owner.JobEnded(h.now, jobID, dispatch.Answer{State: verdict.Complete})
	state, known := h.owner.State(jobID)
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, state, qt.Equals, verdict.Running)
	qt.Assert(t, h.acks, qt.HasLen, 0)
	h.owner.Watch(jobID, 5, h.now.Add(time.Second))
	h.completeWrite(true) // the first answer is lost
	state, _ = h.owner.State(jobID)
	qt.Assert(t, state, qt.Equals, verdict.Complete)
	qt.Assert(t, h.answers[5].State, qt.Equals, verdict.Complete)
	qt.Assert(t, h.acks, qt.HasLen, 2)
	ended, err := record.Decode[record.EndedJob](h.Rows[layout.EndedKey(jobID)])
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ended.State, qt.Equals, verdict.Complete)
	_, open := h.Rows[layout.OpenKey(jobID)]
	qt.Assert(t, open, qt.IsFalse)
}

// TestProgress checks that an end is stored without its job's end if that takes longer than maxProgressDelay.
func TestProgress(t *testing.T) {
	h := newHarnessWithJob(t, nil)
	h.owner.RunEnded(h.now, agentA, end(0, 1, job.Done))
	h.advance(900*time.Millisecond, true)
	qt.Assert(t, h.acks, qt.HasLen, 0)
	h.advance(300*time.Millisecond, true)
	h.completeWrites()
	qt.Assert(t, h.acks, qt.HasLen, 1)
	qt.Assert(t, h.acks[0], qt.Equals, ack{agentA, fleet.RunRef{Task: job.TaskID{Job: jobID}, Run: 1}, false})
}

// TestLostRun guards against two counted runs of one task. A task whose agent can't be reached is placed again only once the
// store has recorded its run as void; an end of that run that arrives later is answered as void.
func TestLostRun(t *testing.T) {
	h := newHarnessWithJob(t, nil)
	lost := fleet.RunRef{Task: job.TaskID{Job: jobID}, Run: 1}
	h.owner.RunLost(h.now, lost)
	qt.Assert(t, h.placed, qt.HasLen, 0)
	h.completeWrites()
	qt.Assert(t, h.placed, qt.DeepEquals, []job.TaskID{lost.Task})
	h.owner.HandleStrayEnd(h.now, agentA, end(0, 1, job.Done))
	qt.Assert(t, h.acks, qt.HasLen, 1)
	qt.Assert(t, h.acks[0], qt.Equals, ack{agentA, lost, true})
}

// TestLeaseExpires guards against two entries that act for one job: an entry stops when its lease has expired, before another
// entry may take its jobs over.
func TestLeaseExpires(t *testing.T) {
	for _, test := range []struct {
		name     string
		without  rule.Set
		released int
	}{{"rule enabled", nil, 1}, {"rule disabled", rule.Without(rule.OwnerLease), 0}} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarnessWithJob(t, test.without)
			h.advance(2*time.Second, true)
			qt.Assert(t, h.released, qt.HasLen, 0)
			h.advance(lease-100*time.Millisecond, false)
			qt.Assert(t, h.released, qt.HasLen, test.released)
		})
	}
}

// TestEndOfUnknownJob checks that an entry looks up the job of an end in the store if it does not own that job. An end that
// was never acknowledged would be listed by the upstream for ever.
func TestEndOfUnknownJob(t *testing.T) {
	for _, test := range []struct {
		name  string
		setUp func(h *harness)
		acks  int
		void  bool
	}{
		{"open elsewhere", func(h *harness) { h.put(layout.OpenKey(jobID), record.OpenJob{Owner: "other"}) }, 0, false},
		{"complete, by this run", func(h *harness) { h.put(layout.EndedKey(jobID), record.EndedJob{State: verdict.Complete}) }, 1, false},
		{"complete, by another run", func(h *harness) {
			h.put(layout.EndedKey(jobID), record.EndedJob{State: verdict.Complete, Runs: record.Ends{{Index: 0, Run: 4}}})
		}, 1, true},
		{"cancelled", func(h *harness) { h.put(layout.EndedKey(jobID), record.EndedJob{State: verdict.Cancelled}) }, 1, true},
		{"forgotten", func(*harness) {}, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			test.setUp(h)
			h.owner.HandleStrayEnd(h.now, agentA, end(0, 1, job.Done))
			qt.Assert(t, h.lookups, qt.DeepEquals, []job.ID{jobID})
			h.owner.HandleLookUp(jobID, h.Rows[layout.OpenKey(jobID)], h.Rows[layout.EndedKey(jobID)], nil)
			qt.Assert(t, h.acks, qt.HasLen, test.acks)
			if test.acks > 0 {
				qt.Assert(t, h.acks[0].void, qt.Equals, test.void)
			}
		})
	}
}

// TestCancel checks that a cancellation is answered once it is stored, and that a job that another entry has cancelled is
// released.
func TestCancel(t *testing.T) {
	h := newHarnessWithJob(t, nil)
	qt.Assert(t, h.owner.Cancel(h.now, jobID, 5), qt.IsTrue)
	qt.Assert(t, h.answers, qt.HasLen, 1)
	h.completeWrites()
	qt.Assert(t, h.answers[5].State, qt.Equals, verdict.Cancelled)
	qt.Assert(t, h.released, qt.DeepEquals, []job.ID{jobID})
	qt.Assert(t, h.owner.Cancel(h.now, jobID, 6), qt.IsTrue)
	qt.Assert(t, h.answers[6].State, qt.Equals, verdict.Cancelled)
	qt.Assert(t, h.owner.Cancel(h.now, 50, 7), qt.IsFalse)
	h = newHarnessWithJob(t, nil)
	h.owner.HandleRemoteCancellations(h.now, []job.ID{jobID, 50})
	qt.Assert(t, h.released, qt.DeepEquals, []job.ID{jobID})
	state, _ := h.owner.State(jobID)
	qt.Assert(t, state, qt.Equals, verdict.Cancelled)
}

// TestReleaseLease checks that an entry that shuts down ends its lease. Otherwise the takeover of its jobs would wait until
// the lease expires.
func TestReleaseLease(t *testing.T) {
	h := newHarnessWithJob(t, nil)
	h.owner.ReleaseLease(h.now)
	qt.Assert(t, h.released, qt.DeepEquals, []job.ID{jobID})
	h.completeWrites()
	for _, row := range h.page(record.Leases).Rows {
		l, err := record.Decode[record.Lease](row)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, l.Until() <= h.clock(), qt.IsTrue)
	}
}
