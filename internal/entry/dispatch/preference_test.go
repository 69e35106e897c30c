package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/entry/dispatch"
)

// accelerated is what the upstreams of these tests have, and the step that a task of theirs belongs to.
var (
	accelerated = job.Resources{CPU: 2000, GPU: 1}
	gpuStep     = job.Step{Count: 1, Each: job.Resources{CPU: 2000, GPU: 1}, Requires: "r-1", Estimate: time.Second}
)

// patient is a queue that gives each task many attempts.
var patient = route.Route{Name: "r", Service: "publish", Target: time.Minute, Stretch: 1.6, Attempts: 10}

// acceleratedRoom reports an empty upstream.
func (b *harness) acceleratedRoom(id ident.Incarnation, s fleet.State, seq uint64) {
	b.table.HandleRoom(b.now, id, fleet.Room{Free: accelerated, State: s, Seq: seq})
}

// submitPatient submits a job of one task of gpuStep.
func (b *harness) submitPatient(id job.ID) {
	b.table.Submit(b.now, dispatch.Request{
		Job: id, Route: patient, Caller: dispatch.CallerID(id), Deadline: b.now.Add(time.Hour),
		Spec: &job.Spec{Text: "x", BestEffort: true, Steps: []job.Step{gpuStep}},
	})
}

// newAccelerated returns a harness with n upstreams that suit gpuStep, each on a VM of its own.
func newAccelerated(t *testing.T, n int) *harness {
	b := newVMs(t, n)
	for id := ident.Incarnation(1); id <= ident.Incarnation(n); id++ {
		b.describe(id, accelerated, "r-1")
		b.acceleratedRoom(id, fleet.Ready, 0)
	}
	return b
}

// otherUpstreams are states of the second of two upstreams, of which the first suits gpuStep.
var otherUpstreams = []struct {
	name string
	set  func(b *harness)
	// suits is set if the second upstream could run the task once it is empty, full if it is not.
	suits, full bool
}{
	{"the other suits", func(b *harness) { b.acceleratedRoom(2, fleet.Ready, 0) }, true, false},
	{"the other is full", func(*harness) {}, true, true},
	{"the other lacks the label", func(b *harness) { b.replace(2, "publish", accelerated, "r-2") }, false, false},
	{"the other lacks the accelerator", func(b *harness) { b.replace(2, "publish", job.Resources{CPU: 2000}, "r-1") }, false, false},
	{"the other is too small", func(b *harness) { b.replace(2, "publish", job.Resources{CPU: 1999, GPU: 1}, "r-1") }, false, false},
	{"the other serves another service", func(b *harness) { b.replace(2, "other", accelerated, "r-1") }, false, false},
	{"the other is cordoned", func(b *harness) {
		b.acceleratedRoom(2, fleet.Ready, 0)
		b.table.SetAllowed(func(vm ident.UpstreamName, _ ident.Zone, _ ident.Service) bool { return vm != "0000000000000002" })
	}, false, false},
	{"the other is not ready", func(b *harness) { b.acceleratedRoom(2, fleet.Suspect, 0) }, false, false},
}

// replace replaces an agent's upstream by another one, which is empty.
func (b *harness) replace(id ident.Incarnation, service ident.Service, total job.Resources, label job.Label) {
	u := fleet.Upstream{ID: ident.UpstreamID(id.String()), Service: service, Total: total, Labels: []job.Label{label}}
	b.table.HandleUpstream(b.now, id, u)
	b.table.HandleRoom(b.now, id, fleet.Room{Free: total, State: fleet.Ready})
}

// TestPreferenceNeedsAnother guards against a task that is never started again because it prefers upstreams that could not run it. It must
// leave its last upstream aside only while another has the label, the accelerator and the size that it requires, and is not cordoned.
func TestPreferenceNeedsAnother(t *testing.T) {
	for _, why := range []struct {
		name string
		// end ends the first run at the first upstream, which is ready for another one afterwards.
		end func(b *harness, o order)
	}{
		{"failed", func(b *harness, o order) {
			b.end(o, 0, job.Failed, "")
			b.acceleratedRoom(1, fleet.Ready, o.Seq)
		}},
		{"stalled", func(b *harness, o order) {
			b.end(o, 0, job.Stalled, fleet.NoProgress)
			b.acceleratedRoom(1, fleet.Ready, o.Seq)
		}},
		{"probing", func(b *harness, o order) {
			b.end(o, 0, job.NotStarted, fleet.NoRoom)
			b.acceleratedRoom(1, fleet.Probing, o.Seq)
		}},
		{"crashed", func(b *harness, o order) {
			b.loseUpstream(o, time.Millisecond)
			b.acceleratedRoom(1, fleet.Ready, o.Seq)
		}},
	} {
		for _, other := range otherUpstreams {
			t.Run(why.name+"/"+other.name, func(t *testing.T) {
				b := newAccelerated(t, 2)
				b.room(2, fleet.Ready, 0, 0)
				b.submitPatient(1)
				qt.Assert(t, b.orders, qt.HasLen, 1)
				qt.Assert(t, b.orders[0].agent, qt.Equals, ident.Incarnation(1))
				other.set(b)
				why.end(b, b.orders[0])
				b.pass(time.Second)
				if !other.suits {
					qt.Assert(t, b.orders, qt.HasLen, 2)
					qt.Check(t, b.orders[1].agent, qt.Equals, ident.Incarnation(1))
					return
				}
				if other.full {
					qt.Assert(t, b.orders, qt.HasLen, 1)
					return
				}
				qt.Assert(t, b.orders, qt.HasLen, 2)
				qt.Check(t, b.orders[1].agent, qt.Equals, ident.Incarnation(2))
			})
		}
	}
}

// TestSetAsideEnds guards against a task that leaves room for as long as the upstreams that it prefers are full.
func TestSetAsideEnds(t *testing.T) {
	for _, test := range []struct {
		name   string
		waited time.Duration
		// room tells whether the upstream at which the task failed has room all the time.
		room, want bool
	}{
		{"for a short time", 1900 * time.Millisecond, true, false},
		{"for long", 2100 * time.Millisecond, true, true},
		{"there was no room to leave", 2100 * time.Millisecond, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newAccelerated(t, 2)
			b.room(2, fleet.Ready, 0, 0)
			b.submitPatient(1)
			b.end(b.orders[0], 0, job.Failed, "")
			if test.room {
				b.acceleratedRoom(1, fleet.Ready, b.orders[0].Seq)
			}
			b.pass(test.waited)
			if !test.room {
				b.acceleratedRoom(1, fleet.Ready, b.orders[0].Seq)
			}
			qt.Assert(t, len(b.orders) == 2, qt.Equals, test.want)
		})
	}
}

// TestSuspectOfAPair guards against a suspected task that is never started again because upstreams without the accelerator that it requires
// are ready on other VMs, while those with one have all been lost under it.
func TestSuspectOfAPair(t *testing.T) {
	b := newAccelerated(t, 2)
	for id := ident.Incarnation(3); id <= 8; id++ {
		b.table.HandleLinked(b.now, id, ident.UpstreamName(id.String()), "z")
		b.describe(id, job.Resources{CPU: 2000}, "r-1")
		b.room(id, fleet.Ready, 2000, 0)
	}
	b.submitPatient(1)
	for i, age := range []time.Duration{time.Millisecond, 2 * time.Millisecond} {
		qt.Assert(t, b.orders, qt.HasLen, i+1)
		o := b.orders[i]
		b.loseUpstream(o, age)
		b.pass(4 * time.Second)
		b.acceleratedRoom(o.agent, fleet.Ready, o.Seq)
	}
	b.pass(4 * time.Second)
	qt.Assert(t, b.orders, qt.HasLen, 3)
	qt.Check(t, b.orders[2].Tasks[0].AloneFor > 0, qt.IsTrue)
}

// TestClaimAtAvoidedUpstream guards against a task that waits for room and claims none, because it has failed at the only upstream that
// could run it.
func TestClaimAtAvoidedUpstream(t *testing.T) {
	for _, other := range otherUpstreams {
		t.Run(other.name, func(t *testing.T) {
			b := newClaimHarness(t, 2)
			for id := ident.Incarnation(1); id <= 2; id++ {
				b.table.HandleLinked(b.now, id, ident.UpstreamName(id.String()), "z")
				b.describe(id, accelerated, "r-1")
				b.room(id, fleet.Ready, 0, 0)
			}
			b.acceleratedRoom(1, fleet.Ready, 0)
			b.submitPatient(1)
			qt.Assert(t, b.orders, qt.HasLen, 1)
			other.set(b)
			b.end(b.orders[0], 0, job.Failed, "")
			b.room(1, fleet.Ready, 0, b.orders[0].Seq)
			b.pass(100 * time.Millisecond)
			qt.Check(t, b.claims[1].Tasks > 0, qt.Equals, !other.suits)
			qt.Check(t, b.claims[2].Tasks > 0, qt.Equals, other.full)
		})
	}
}

// TestRoomIsHeldAtAvoidedUpstream guards against small jobs that pass a wide one for ever, because it has failed at the only upstream that
// could run it.
func TestRoomIsHeldAtAvoidedUpstream(t *testing.T) {
	wide := job.Step{Count: 1, Each: accelerated, Estimate: time.Second}
	for _, test := range []struct {
		name string
		// other is what the other upstream has, which is full.
		other job.Resources
	}{
		{"the other suits", accelerated},
		{"the other lacks the accelerator", job.Resources{CPU: 2000}},
		{"the other is too small", job.Resources{CPU: 1999, GPU: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newAccelerated(t, 2)
			b.describe(2, test.other)
			b.room(2, fleet.Ready, 0, 0)
			b.submitKept(1, wide, queue)
			b.room(1, fleet.Ready, 600, b.orders[0].Seq)
			b.end(b.orders[0], 0, job.Failed, "")
			b.now = b.now.Add(424 * time.Millisecond) // the job should have been placed, and may still wait
			b.submitSize(2, 500)
			qt.Check(t, b.orders, qt.HasLen, 1)
		})
	}
}

// TestTasksBehindOneThatCannotBePlaced guards against tasks that wait beside room for them, because a task of their step that comes before
// them leaves it.
func TestTasksBehindOneThatCannotBePlaced(t *testing.T) {
	for _, test := range []struct {
		name string
		// failed is how many tasks have failed at the first upstream, which has room for all that wait. The second one is full.
		failed int
		want   int
	}{
		{"one leaves room", 1, 1},
		{"three leave room", 3, 1},
		{"as many leave room as are tried", 8, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, 2)
			total := job.Resources{CPU: 100_000}
			b.describe(1, total)
			b.describe(2, total)
			b.room(2, fleet.Ready, 0, 0)
			b.room(1, fleet.Ready, int64(test.failed+1)*1000, 0)
			b.submitKept(1, job.Step{Count: uint32(test.failed + 1), Each: job.Resources{CPU: 1000}, Estimate: time.Second}, patient)
			o := b.orders[0]
			qt.Assert(t, o.Tasks, qt.HasLen, test.failed+1)
			b.room(1, fleet.Ready, 0, o.Seq)
			for i := range test.failed {
				b.end(o, i, job.Failed, "")
			}
			b.end(o, test.failed, job.NotStarted, fleet.NoRoom)
			b.room(1, fleet.Ready, 100_000, o.Seq)
			placed := 0
			for _, o := range b.orders[1:] {
				placed += len(o.Tasks)
			}
			qt.Check(t, placed, qt.Equals, test.want)
		})
	}
}

// TestClaimsBehindAJobThatCannotBePlaced guards against jobs for which no room is claimed because no upstream has the label that the first
// job requires.
func TestClaimsBehindAJobThatCannotBePlaced(t *testing.T) {
	b := newClaimHarness(t, 3)
	b.submitKept(1, gpuStep, queue)
	b.pass(20 * time.Millisecond)
	qt.Assert(t, b.standing(), qt.Equals, 0)
	b.submitKept(2, job.Step{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second}, queue)
	b.pass(20 * time.Millisecond)
	qt.Assert(t, b.standing(), qt.Equals, 3)
	qt.Check(t, b.claims[1].Each, qt.Equals, job.Resources{CPU: 1000})
}
