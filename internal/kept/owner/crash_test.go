package owner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/kept/record"
)

// mayCrash returns the crash that a run of the job's first task causes at an upstream if it crashes it.
func mayCrash(up ident.UpstreamID) fleet.Crash {
	return fleet.Crash{Task: job.TaskID{Job: jobID}, VM: "vm-a", Life: ident.UpstreamLife{ID: up}, MaxAge: 100 * time.Millisecond, WithAgent: true}
}

// TestStartsAloneAreStored guards against crashes that are forgotten because the agent and all entries end with the upstream. The entry
// that takes the job over gets the starts whose ends are not known, until the run has ended or its crash is known.
func TestStartsAloneAreStored(t *testing.T) {
	seen := mayCrash("u-1")
	seen.Loss, seen.Age = 9, 10*time.Millisecond
	for _, c := range []struct {
		name   string
		starts [][]fleet.Crash
		then   func(h *harness)
		want   []fleet.Crash
	}{
		{"once", [][]fleet.Crash{{mayCrash("u-1")}}, nil, []fleet.Crash{mayCrash("u-1")}},
		{"twice, the first end still unknown", [][]fleet.Crash{{mayCrash("u-1")}, {mayCrash("u-1"), mayCrash("u-2")}}, nil, []fleet.Crash{mayCrash("u-1"), mayCrash("u-2")}},
		{"twice", [][]fleet.Crash{{mayCrash("u-1")}, {mayCrash("u-2")}}, nil, []fleet.Crash{mayCrash("u-2")}},
		{"the run has failed", [][]fleet.Crash{{mayCrash("u-1")}}, func(h *harness) { h.owner.RunEnded(h.now, agentA, end(0, 1, job.Failed)) }, nil},
		{"the crash is known", [][]fleet.Crash{{mayCrash("u-1")}}, func(h *harness) { h.owner.Crashed(h.now, seen) }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarnessWithJob(t, nil)
			for _, all := range c.starts {
				h.owner.KeepUnconfirmed(h.now, job.TaskID{Job: jobID}, all, nil)
			}
			h.completeWrites()
			if c.then != nil {
				c.then(h)
				h.owner.RunLost(h.now, fleet.RunRef{Task: job.TaskID{Job: jobID, Index: 1}, Run: 1})
				h.completeWrites()
			}
			open, err := record.Decode[record.OpenJob](h.Rows[layout.OpenKey(jobID)])
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, open.UnconfirmedOf(jobID), qt.DeepEquals, c.want)
		})
	}
}

// TestTakenOverWithUnconfirmedCrashes: the dispatch table gets the unconfirmed crashes and the generation of a job that is taken over.
func TestTakenOverWithUnconfirmedCrashes(t *testing.T) {
	h := newHarnessWithJob(t, nil)
	beside := []fleet.Bystander{{VM: "vm-b", Life: ident.UpstreamLife{ID: "u-9", Born: 7}}}
	h.owner.KeepUnconfirmed(h.now, job.TaskID{Job: jobID}, []fleet.Crash{mayCrash("u-1")}, beside)
	h.completeWrites()
	h.owner.Superseded(h.now, jobID)
	h.completeWrites()
	h.advance(settle+time.Second, true)
	last := h.submitted[len(h.submitted)-1]
	qt.Assert(t, h.submitted, qt.HasLen, 2)
	qt.Assert(t, last.Kept.Unconfirmed, qt.DeepEquals, []fleet.Crash{mayCrash("u-1")})
	qt.Assert(t, last.Kept.Beside, qt.DeepEquals, beside)
	qt.Assert(t, last.Kept.Generation, qt.Equals, uint32(2))
}

// TestUnconfirmedCrashesOfALifeThatAnswered: a start at a life that has answered since is no crash, also after a takeover.
func TestUnconfirmedCrashesOfALifeThatAnswered(t *testing.T) {
	h := newHarnessWithJob(t, nil)
	h.owner.KeepUnconfirmed(h.now, job.TaskID{Job: jobID}, []fleet.Crash{mayCrash("u-1")}, nil)
	h.completeWrites()
	h.owner.Refuted(h.now, fleet.Refutation{Life: ident.UpstreamLife{ID: "u-1"}, UpTo: 1 << 40})
	h.owner.RunLost(h.now, fleet.RunRef{Task: job.TaskID{Job: jobID, Index: 1}, Run: 1})
	h.completeWrites()
	open, err := record.Decode[record.OpenJob](h.Rows[layout.OpenKey(jobID)])
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, open.UnconfirmedOf(jobID), qt.HasLen, 0)
}

// TestUnconfirmedCrashesAreBounded: the unconfirmed crashes of a job with many tasks leave its row within the largest row.
func TestUnconfirmedCrashesAreBounded(t *testing.T) {
	h := newHarnessWithJob(t, nil)
	for i := range uint32(1000) {
		c := mayCrash("0123456789abcdef")
		c.Task.Index = i
		h.owner.KeepUnconfirmed(h.now, c.Task, []fleet.Crash{c}, nil)
		h.completeWrites()
	}
	n := len(h.Rows[layout.OpenKey(jobID)].Value)
	qt.Assert(t, n <= 48<<10, qt.IsTrue, qt.Commentf("%d bytes", n))
}
