package lives_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/lives"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

func heartbeat(id ident.UpstreamID, born ident.Born, sequence uint64, draining bool) lives.Heartbeat {
	return lives.Heartbeat{Upstream: fleet.Upstream{ID: id}, Born: born, Sequence: sequence, Draining: draining}
}

// TestClaims: the newest heartbeat of a claimed life counts, whatever the order of arrival. Once any heartbeat says that the life
// drains, the life counts as draining for good.
func TestClaims(t *testing.T) {
	for _, test := range []struct {
		name       string
		heartbeats []lives.Heartbeat
		sequence   uint64
		draining   bool
	}{
		{"one", []lives.Heartbeat{heartbeat("u", 1, 4, false)}, 4, false},
		{"in order", []lives.Heartbeat{heartbeat("u", 1, 4, false), heartbeat("u", 1, 5, true)}, 5, true},
		{"overtaken", []lives.Heartbeat{heartbeat("u", 1, 5, false), heartbeat("u", 1, 4, false)}, 5, false},
		{"overtaken by one that drains", []lives.Heartbeat{heartbeat("u", 1, 5, true), heartbeat("u", 1, 4, false)}, 5, true},
		{"one that drains is overtaken", []lives.Heartbeat{heartbeat("u", 1, 5, false), heartbeat("u", 1, 4, true)}, 5, true},
		{"another life's between", []lives.Heartbeat{heartbeat("u", 1, 5, false), heartbeat("u", 2, 9, true)}, 5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := lives.New()
			for _, b := range test.heartbeats {
				tracker.Claim(time.Unix(1000, 0), b)
			}
			c := tracker.FindClaim(ident.UpstreamLife{ID: "u", Born: 1})
			qt.Assert(t, c.Heartbeat.Sequence, qt.Equals, test.sequence)
			qt.Assert(t, c.Heartbeat.Draining, qt.Equals, test.draining)
		})
	}
}

// TestClaimQueries: one query of a claim is in flight at a time, and it is repeated after a pause, with a token above one that was
// refused.
func TestClaimQueries(t *testing.T) {
	tracker, now := lives.New(), time.Unix(1000, 0)
	c := tracker.Claim(now, heartbeat("u", 1, 1, false))
	first, due := c.BeginQuery(now)
	qt.Assert(t, due, qt.IsTrue)
	_, due = c.BeginQuery(now)
	qt.Assert(t, due, qt.IsFalse)
	c.EndQuery()
	c.RaiseToken(now, first)
	qt.Assert(t, tracker.DueClaims(now, func(time.Duration) time.Duration { return time.Millisecond }), qt.HasLen, 0)
	now = now.Add(time.Millisecond)
	qt.Assert(t, tracker.DueClaims(now, func(time.Duration) time.Duration { return time.Millisecond }), qt.HasLen, 1)
	second, due := c.BeginQuery(now)
	qt.Assert(t, due, qt.IsTrue)
	qt.Assert(t, second > first, qt.IsTrue)
}

// TestEndedLives: a life that has ended is not claimed any more, unless it turns out to be the present one.
func TestEndedLives(t *testing.T) {
	tracker := lives.New()
	life := ident.UpstreamLife{ID: "u", Born: 1}
	tracker.Claim(time.Unix(1000, 0), heartbeat("u", 1, 1, false))
	tracker.RecordEnded(life)
	qt.Assert(t, tracker.HasEnded(life), qt.IsTrue)
	qt.Assert(t, tracker.FindClaim(life), qt.IsNil)
	qt.Assert(t, tracker.HasEnded(ident.UpstreamLife{ID: "u", Born: 2}), qt.IsFalse)
	tracker.RecordPresent(life)
	qt.Assert(t, tracker.HasEnded(life), qt.IsFalse)
}

// TestFlappingUpstream: the memory for an upstream that has a new life each second for a day is bounded, and lives that were forgotten
// can be claimed again.
func TestFlappingUpstream(t *testing.T) {
	tracker, now := lives.New(), time.Unix(1000, 0)
	life := func(i int) ident.UpstreamLife { return ident.UpstreamLife{ID: "u-1", Born: ident.Born(i)} }
	heartbeat := func(i int) lives.Heartbeat {
		return lives.Heartbeat{Upstream: fleet.Upstream{ID: "u-1"}, Born: ident.Born(i), Sequence: 1}
	}
	const day = 24 * 3600
	for i := 1; i <= day; i++ {
		now = now.Add(time.Second)
		tracker.Claim(now, heartbeat(i))
		tracker.RecordPresent(life(i))
		tracker.RecordEnded(life(i))
	}
	qt.Assert(t, tracker.HasEnded(life(day)), qt.IsTrue)
	qt.Assert(t, tracker.HasEnded(life(day-200)), qt.IsTrue)
	qt.Assert(t, tracker.HasEnded(life(1)), qt.IsFalse)
	for i := range 100 {
		now = now.Add(time.Second)
		tracker.Claim(now, heartbeat(day+1+i)) // the upstream gives no answer
	}
	qt.Assert(t, len(tracker.DueClaims(now.Add(time.Minute), func(time.Duration) time.Duration { return 0 })) <= 8, qt.IsTrue)
	qt.Assert(t, tracker.FindClaim(life(day+100)), qt.IsNotNil)
	qt.Assert(t, tracker.FindClaim(life(day+1)), qt.IsNil)
}
