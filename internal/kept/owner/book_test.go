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

// TestAccept: a job is accepted once it is stored, whatever becomes of the answers; and what it promises otherwise.
func TestAccept(t *testing.T) {
	other := record.OpenJob{Owner: "other", Generation: 1, Sequence: 1}
	for _, test := range []struct {
		name  string
		setUp func(b *harness)
		write func(b *harness)
		state verdict.State
		begun int
	}{
		{"stored", func(*harness) {}, func(b *harness) { b.completeWrites() }, verdict.Accepted, 1},
		{"answer lost", func(*harness) {}, func(b *harness) { b.completeWrite(true) }, verdict.Accepted, 1},
		{"another entry has it", func(b *harness) {
			b.put(layout.JobKey(jobID), record.Job{})
			b.put(layout.OpenKey(jobID), other)
		}, func(b *harness) { b.completeWrites() }, verdict.Accepted, 0},
		{"it has ended", func(b *harness) {
			b.put(layout.JobKey(jobID), record.Job{})
			b.put(layout.EndedKey(jobID), record.EndedJob{State: verdict.Complete})
		}, func(b *harness) { b.completeWrites() }, verdict.Accepted, 0},
		{"refused", func(*harness) {}, func(b *harness) {
			b.owner.HandleWriteResult(b.now, jobstore.Result{ID: b.writes[0].ID, Outcome: jobstore.Refused})
		}, verdict.Refused, 0},
		{"no answer in time", func(*harness) {}, func(b *harness) { b.advance(3500*time.Millisecond, false) }, verdict.Unresolved, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			test.setUp(b)
			b.owner.Submit(b.now, dispatch.Request{Job: 99, Caller: 98, Spec: &job.Spec{}}) // takes the lease
			b.acquireLease()
			b.completeWrites()
			b.submitted = nil
			b.submit(1)
			qt.Assert(t, b.answers, qt.HasLen, 1) // that of the other job
			test.write(b)
			qt.Assert(t, b.answers[1].State, qt.Equals, test.state)
			qt.Assert(t, b.answers[1].Verdict == verdict.NotRun, qt.Equals, test.state == verdict.Refused)
			qt.Assert(t, b.submitted, qt.HasLen, test.begun)
		})
	}
}

// TestNotAccepted: what is refused at once, and what after a while without a lease; nothing is written of it.
func TestRefused(t *testing.T) {
	for _, test := range []struct {
		name  string
		setUp func(b *harness)
		text  string
		waits time.Duration
		want  verdict.Reason
	}{
		{"too large for a row", func(*harness) {}, string(make([]byte, 2000)), 0, verdict.TooLarge},
		{"store away", func(b *harness) { b.unavailable = true }, "x", 0, verdict.Overloaded},
		{"no lease", func(*harness) {}, "x", 700 * time.Millisecond, verdict.Overloaded},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			test.setUp(b)
			b.owner.Submit(b.now, dispatch.Request{Job: jobID, Caller: 1, Spec: &job.Spec{Text: test.text}})
			qt.Assert(t, len(b.answers) == 0, qt.Equals, test.waits > 0)
			b.advance(test.waits, false)
			qt.Assert(t, b.answers[1].State, qt.Equals, verdict.Refused)
			qt.Assert(t, b.answers[1].Verdict, qt.Equals, verdict.NotRun)
			qt.Assert(t, b.answers[1].Reason, qt.Equals, test.want)
			qt.Assert(t, b.writes, qt.HasLen, 0)
		})
	}
}

// TestEndIsStoredFirst: neither callers nor agents hear of an end before it is stored.
func TestEndIsStoredBeforeAnswers(t *testing.T) {
	b := newHarnessWithJob(t, nil)
	b.owner.RunEnded(b.now, agentA, end(0, 1, job.Done))
	b.owner.RunEnded(b.now, agentB, end(1, 1, job.Done))
	b.owner.JobEnded(b.now, jobID, dispatch.Answer{State: verdict.Complete})
	state, known := b.owner.State(jobID)
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, state, qt.Equals, verdict.Running)
	qt.Assert(t, b.acks, qt.HasLen, 0)
	b.owner.Watch(jobID, 5, b.now.Add(time.Second))
	b.completeWrite(true) // its first answer is lost
	state, _ = b.owner.State(jobID)
	qt.Assert(t, state, qt.Equals, verdict.Complete)
	qt.Assert(t, b.answers[5].State, qt.Equals, verdict.Complete)
	qt.Assert(t, b.acks, qt.HasLen, 2)
	ended, err := record.Decode[record.EndedJob](b.Rows[layout.EndedKey(jobID)])
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ended.State, qt.Equals, verdict.Complete)
	_, open := b.Rows[layout.OpenKey(jobID)]
	qt.Assert(t, open, qt.IsFalse)
}

// TestProgress: an end that waits too long for its job's end is stored by itself.
func TestProgress(t *testing.T) {
	b := newHarnessWithJob(t, nil)
	b.owner.RunEnded(b.now, agentA, end(0, 1, job.Done))
	b.advance(900*time.Millisecond, true)
	qt.Assert(t, b.acks, qt.HasLen, 0)
	b.advance(300*time.Millisecond, true)
	b.completeWrites()
	qt.Assert(t, b.acks, qt.HasLen, 1)
	qt.Assert(t, b.acks[0], qt.Equals, ack{agentA, fleet.RunRef{Task: job.TaskID{Job: jobID}, Run: 1}, false})
}

// TestLostRun: a task whose agent is out of hearing is placed again only once the store says that its run counts for
// nothing; an end of that run that comes all the same is void.
func TestLostRun(t *testing.T) {
	b := newHarnessWithJob(t, nil)
	lost := fleet.RunRef{Task: job.TaskID{Job: jobID}, Run: 1}
	b.owner.RunLost(b.now, lost)
	qt.Assert(t, b.placed, qt.HasLen, 0)
	b.completeWrites()
	qt.Assert(t, b.placed, qt.DeepEquals, []job.TaskID{lost.Task})
	b.owner.HandleStrayEnd(b.now, agentA, end(0, 1, job.Done))
	qt.Assert(t, b.acks, qt.HasLen, 1)
	qt.Assert(t, b.acks[0], qt.Equals, ack{agentA, lost, true})
}

// TestLeaseThatEnds: an entry stops acting when its lease has ended, before any other entry may take its jobs over.
func TestLeaseExpires(t *testing.T) {
	for _, test := range []struct {
		name    string
		without rule.Set
		let     int
	}{{"in force", nil, 1}, {"left out", rule.Without(rule.OwnerLease), 0}} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarnessWithJob(t, test.without)
			b.advance(2*time.Second, true)
			qt.Assert(t, b.released, qt.HasLen, 0)
			b.advance(lease-100*time.Millisecond, false)
			qt.Assert(t, b.released, qt.HasLen, test.let)
		})
	}
}

// TestEndOfUnknownJob: an entry that is told of an end whose job it does not own asks the store.
func TestEndOfUnknownJob(t *testing.T) {
	for _, test := range []struct {
		name  string
		setUp func(b *harness)
		noted int
		void  bool
	}{
		{"open elsewhere", func(b *harness) { b.put(layout.OpenKey(jobID), record.OpenJob{Owner: "other"}) }, 0, false},
		{"complete, by this run", func(b *harness) { b.put(layout.EndedKey(jobID), record.EndedJob{State: verdict.Complete}) }, 1, false},
		{"complete, by another run", func(b *harness) {
			b.put(layout.EndedKey(jobID), record.EndedJob{State: verdict.Complete, Runs: record.Ends{{Index: 0, Run: 4}}})
		}, 1, true},
		{"cancelled", func(b *harness) { b.put(layout.EndedKey(jobID), record.EndedJob{State: verdict.Cancelled}) }, 1, true},
		{"forgotten", func(*harness) {}, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			test.setUp(b)
			b.owner.HandleStrayEnd(b.now, agentA, end(0, 1, job.Done))
			qt.Assert(t, b.lookups, qt.DeepEquals, []job.ID{jobID})
			b.owner.HandleLookUp(jobID, b.Rows[layout.OpenKey(jobID)], b.Rows[layout.EndedKey(jobID)], nil)
			qt.Assert(t, b.acks, qt.HasLen, test.noted)
			if test.noted > 0 {
				qt.Assert(t, b.acks[0].void, qt.Equals, test.void)
			}
		})
	}
}

// TestCancel: a job is cancelled once that is stored; one that another entry has cancelled is let go.
func TestCancel(t *testing.T) {
	b := newHarnessWithJob(t, nil)
	qt.Assert(t, b.owner.Cancel(b.now, jobID, 5), qt.IsTrue)
	qt.Assert(t, b.answers, qt.HasLen, 1)
	b.completeWrites()
	qt.Assert(t, b.answers[5].State, qt.Equals, verdict.Cancelled)
	qt.Assert(t, b.released, qt.DeepEquals, []job.ID{jobID})
	qt.Assert(t, b.owner.Cancel(b.now, jobID, 6), qt.IsTrue)
	qt.Assert(t, b.answers[6].State, qt.Equals, verdict.Cancelled)
	qt.Assert(t, b.owner.Cancel(b.now, 50, 7), qt.IsFalse)
	b = newHarnessWithJob(t, nil)
	b.owner.HandleRemoteCancellations(b.now, []job.ID{jobID, 50})
	qt.Assert(t, b.released, qt.DeepEquals, []job.ID{jobID})
	state, _ := b.owner.State(jobID)
	qt.Assert(t, state, qt.Equals, verdict.Cancelled)
}

// TestHandOver: an entry that leaves ends its lease, so that nobody waits for it.
func TestReleaseLease(t *testing.T) {
	b := newHarnessWithJob(t, nil)
	b.owner.ReleaseLease(b.now)
	qt.Assert(t, b.released, qt.DeepEquals, []job.ID{jobID})
	b.completeWrites()
	for _, row := range b.page(record.Leases).Rows {
		l, err := record.Decode[record.Lease](row)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, l.Until() <= b.clock(), qt.IsTrue)
	}
}
