package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/dispatch"
)

// newClaimHarness returns a harness with agents 1 to n that have no free room. The entry claims room from two entries on, and there are
// two.
func newClaimHarness(t *testing.T, n int) *harness {
	b := &harness{t: t, now: time.Unix(1000, 0), answers: make(map[dispatch.CallerID]dispatch.Answer), claims: make(map[ident.Incarnation]fleet.Claim)}
	b.table = dispatch.New(dispatch.Options{Timing: timing, Zone: "z", MaxQueue: 10, MaxTasks: 20, ClaimFrom: 2}, b, b, b, 1)
	b.table.SetEntries(2)
	b.table.Tick(b.now)
	for i := 1; i <= n; i++ {
		b.link(ident.Incarnation(i))
		b.room(ident.Incarnation(i), fleet.Ready, 0, 0)
	}
	return b
}

// standing lists the agents with claims that have not been withdrawn.
func (b *harness) standing() int {
	n := 0
	for _, c := range b.claims {
		if c.Tasks > 0 {
			n++
		}
	}
	return n
}

// TestClaimsAreSent checks when an entry claims room for a job that has just come, and at how many of three agents.
func TestClaimsAreSent(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(b *harness)
		want   int
	}{
		{"no room", func(*harness) {}, 3},
		{"room", func(b *harness) { b.room(2, fleet.Ready, 1000, 0) }, 0},
		{"too few entries", func(b *harness) { b.table.SetEntries(1) }, 0},
		{"an agent doesn't accept work", func(b *harness) { b.room(2, fleet.Leaving, 0, 0) }, 2},
		{"an agent is probed", func(b *harness) { b.room(2, fleet.Suspect, 0, 0) }, 2},
		{"an upstream is too small", func(b *harness) {
			b.table.HandleUpstream(b.now, 2, fleet.Upstream{ID: "u", Service: "publish", Total: job.Resources{CPU: 500}})
		}, 2},
		{"another service", func(b *harness) {
			b.table.HandleUpstream(b.now, 2, fleet.Upstream{ID: "u", Service: "other", Total: job.Resources{CPU: 2000}})
		}, 2},
		{"an agent isn't linked", func(b *harness) { b.table.HandleUnlinked(b.now, 2) }, 2},
		{"the configuration forbids it", func(b *harness) {
			b.table.SetAllowed(func(ident.UpstreamName, ident.Zone, ident.Service) bool { return false })
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newClaimHarness(t, 3)
			test.before(b)
			b.submit(7, 1, 1, time.Second, time.Minute)
			qt.Assert(t, b.claims, qt.HasLen, test.want)
			qt.Assert(t, b.standing(), qt.Equals, test.want)
		})
	}
}

// TestClaimsAreNotSent checks that an entry whose settings switch claims off sends none, whatever waits.
func TestClaimsAreNotSent(t *testing.T) {
	b := newHarness(t, 1)
	b.table.SetEntries(100)
	b.room(1, fleet.Ready, 0, 0)
	b.submit(7, 1, 1, time.Second, time.Minute)
	b.pass(100 * time.Millisecond)
	qt.Assert(t, b.claims, qt.HasLen, 0)
}

// TestSuspectsDoNotClaim checks that a task that has to be started alone claims no room.
func TestSuspectsDoNotClaim(t *testing.T) {
	b := newClaimHarness(t, 3)
	for i := range 2 {
		b.table.HandleCrashes(b.now, []fleet.Crash{{
			Task: job.TaskID{Job: 7}, VM: ident.UpstreamName([]string{"x", "y"}[i]), Life: ident.UpstreamLife{ID: ident.UpstreamID([]string{"x", "y"}[i])},
		}})
	}
	b.submit(7, 1, 1, time.Second, time.Minute)
	qt.Assert(t, b.claims, qt.HasLen, 0)
	b.submit(8, 2, 1, time.Second, time.Minute)
	qt.Assert(t, b.standing(), qt.Equals, 3)
}

// TestClaimsAreWithdrawn checks that no claim stands once nothing waits.
func TestClaimsAreWithdrawn(t *testing.T) {
	for _, test := range []struct {
		name    string
		happens func(b *harness)
	}{
		{"the job was placed", func(b *harness) { b.room(2, fleet.Ready, 1000, 0) }},
		{"it was placed in reserved room", func(b *harness) {
			b.table.HandleRoom(b.now, 2, fleet.Room{Free: job.Resources{CPU: 1000}, Reserved: job.Resources{CPU: 1000}, State: fleet.Ready})
			qt.Assert(b.t, b.orders, qt.HasLen, 1)
			qt.Assert(b.t, b.table.ClaimCounts(), qt.Equals, dispatch.ClaimCounts{Sent: 6, Withdrawn: 3, Reserved: 1, Used: 1})
		}},
		{"its caller has left", func(b *harness) { b.table.Abandon(b.now, 7, 1); b.pass(20 * time.Millisecond) }},
		{"it was refused", func(b *harness) { b.pass(time.Second); qt.Assert(b.t, b.answers, qt.HasLen, 1) }},
		{"entries have left", func(b *harness) { b.table.SetEntries(1); b.pass(20 * time.Millisecond) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newClaimHarness(t, 3)
			b.submit(7, 1, 1, time.Second, time.Minute)
			qt.Assert(t, b.standing(), qt.Equals, 3)
			test.happens(b)
			qt.Assert(t, b.claims, qt.HasLen, 3)
			qt.Assert(t, b.standing(), qt.Equals, 0)
		})
	}
}

// TestReservedRoomGoesToFirstJob checks that room that was reserved for one job goes to a more urgent one that has come since.
func TestReservedRoomGoesToFirstJob(t *testing.T) {
	b := newClaimHarness(t, 1)
	b.submit(7, 1, 1, time.Second, time.Minute)
	b.submit(8, 2, 1, 10*time.Millisecond, time.Minute)
	b.table.HandleRoom(b.now, 1, fleet.Room{Free: job.Resources{CPU: 1000}, Reserved: job.Resources{CPU: 1000}, State: fleet.Ready})
	qt.Assert(t, b.orders, qt.HasLen, 1)
	qt.Assert(t, b.orders[0].Job, qt.Equals, job.ID(8))
}

// TestClaimsOfNewSession checks that an agent that has linked again, and so has forgotten the claim, gets it again.
func TestClaimsOfNewSession(t *testing.T) {
	b := newClaimHarness(t, 1)
	b.submit(7, 1, 1, time.Second, time.Minute)
	qt.Assert(t, b.standing(), qt.Equals, 1)
	clear(b.claims)
	b.link(1)
	b.room(1, fleet.Ready, 0, 0)
	b.pass(20 * time.Millisecond)
	qt.Assert(t, b.standing(), qt.Equals, 1)
}

// TestClaimsOfTwoServices checks that the claims for both of two services are brought up to date.
func TestClaimsOfTwoServices(t *testing.T) {
	b := newClaimHarness(t, 2)
	b.table.HandleUpstream(b.now, 2, fleet.Upstream{ID: "u", Service: "other", Total: job.Resources{CPU: 2000}})
	b.submit(7, 1, 1, time.Minute, time.Hour)
	other := queue
	other.Name, other.Service = "o", "other"
	b.table.Submit(b.now, dispatch.Request{
		Job: 8, Route: other, Caller: 2, Deadline: b.now.Add(time.Hour),
		Spec: &job.Spec{BestEffort: true, Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: time.Minute}}},
	})
	qt.Assert(t, b.standing(), qt.Equals, 2)
	clear(b.claims)
	b.pass(200 * time.Millisecond)
	qt.Assert(t, b.standing(), qt.Equals, 2)
}

// TestOldNewsOfLittleRoom checks when a job goes to room that was reported some time ago, and when room is claimed instead.
func TestOldNewsOfLittleRoom(t *testing.T) {
	for _, test := range []struct {
		name     string
		entries  int
		age      time.Duration
		cpu      int64
		reserved int64
		want     int
	}{
		{"new", 2, 15 * time.Millisecond, 1000, 0, 1},
		{"old", 2, 16 * time.Millisecond, 1000, 0, 0},
		{"old, but reserved", 2, 16 * time.Millisecond, 1000, 1000, 1},
		{"old, but nothing else runs there", 2, 16 * time.Millisecond, 2000, 0, 1},
		{"old, but entries don't claim", 1, 16 * time.Millisecond, 1000, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newClaimHarness(t, 1)
			b.table.SetEntries(test.entries)
			b.table.HandleRoom(b.now, 1, fleet.Room{Free: job.Resources{CPU: test.cpu}, Reserved: job.Resources{CPU: test.reserved}, State: fleet.Ready})
			b.now = b.now.Add(test.age)
			b.submit(7, 1, 1, time.Second, time.Minute)
			qt.Assert(t, b.orders, qt.HasLen, test.want)
			qt.Assert(t, b.standing(), qt.Equals, 1-test.want)
		})
	}
}

// TestOldNewsAreUsedAtLast checks that a job takes room of which it has old news before it is refused: an agent of an older version
// answers no claim.
func TestOldNewsAreUsedAtLast(t *testing.T) {
	b := newClaimHarness(t, 1)
	b.room(1, fleet.Ready, 1000, 0)
	b.now = b.now.Add(16 * time.Millisecond)
	b.submit(7, 1, 1, time.Second, time.Minute)
	b.pass(100 * time.Millisecond)
	qt.Assert(t, b.orders, qt.HasLen, 0)
	b.pass(time.Second)
	qt.Assert(t, b.orders, qt.HasLen, 1)
	qt.Assert(t, b.answers, qt.HasLen, 0)
}
