package lives_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/lives"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

func beat(id ident.UpstreamID, born ident.Born, sequence uint64, draining bool) lives.Heartbeat {
	return lives.Heartbeat{Upstream: fleet.Upstream{ID: id}, Born: born, Sequence: sequence, Draining: draining}
}

// TestClaims: of the heartbeats of a life that is not the present one the newest counts, and that it leaves counts in any order.
func TestClaims(t *testing.T) {
	for _, test := range []struct {
		name     string
		beats    []lives.Heartbeat
		sequence uint64
		draining bool
	}{
		{"one", []lives.Heartbeat{beat("u", 1, 4, false)}, 4, false},
		{"in order", []lives.Heartbeat{beat("u", 1, 4, false), beat("u", 1, 5, true)}, 5, true},
		{"overtaken", []lives.Heartbeat{beat("u", 1, 5, false), beat("u", 1, 4, false)}, 5, false},
		{"overtaken by one that leaves", []lives.Heartbeat{beat("u", 1, 5, true), beat("u", 1, 4, false)}, 5, true},
		{"the word that it leaves is overtaken", []lives.Heartbeat{beat("u", 1, 5, false), beat("u", 1, 4, true)}, 5, true},
		{"another life's between", []lives.Heartbeat{beat("u", 1, 5, false), beat("u", 2, 9, true)}, 5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := lives.New()
			for _, b := range test.beats {
				a.Claim(time.Unix(1000, 0), b)
			}
			c := a.FindClaim(ident.UpstreamLife{ID: "u", Born: 1})
			qt.Assert(t, c.Heartbeat.Sequence, qt.Equals, test.sequence)
			qt.Assert(t, c.Heartbeat.Draining, qt.Equals, test.draining)
		})
	}
}

// TestQuestions: a question is put once at a time, and again after a pause, with a token above one that was refused.
func TestClaimQueries(t *testing.T) {
	a, now := lives.New(), time.Unix(1000, 0)
	c := a.Claim(now, beat("u", 1, 1, false))
	first, due := c.BeginQuery(now)
	qt.Assert(t, due, qt.IsTrue)
	_, due = c.BeginQuery(now)
	qt.Assert(t, due, qt.IsFalse)
	c.EndQuery()
	c.RaiseToken(now, first)
	qt.Assert(t, a.DueClaims(now, func(time.Duration) time.Duration { return time.Millisecond }), qt.HasLen, 0)
	now = now.Add(time.Millisecond)
	qt.Assert(t, a.DueClaims(now, func(time.Duration) time.Duration { return time.Millisecond }), qt.HasLen, 1)
	second, due := c.BeginQuery(now)
	qt.Assert(t, due, qt.IsTrue)
	qt.Assert(t, second > first, qt.IsTrue)
}

// TestEndedLives: a life that has ended is not claimed any more, unless it is the present one after all.
func TestEndedLives(t *testing.T) {
	a := lives.New()
	life := ident.UpstreamLife{ID: "u", Born: 1}
	a.Claim(time.Unix(1000, 0), beat("u", 1, 1, false))
	a.RecordEnded(life)
	qt.Assert(t, a.HasEnded(life), qt.IsTrue)
	qt.Assert(t, a.FindClaim(life), qt.IsNil)
	qt.Assert(t, a.HasEnded(ident.UpstreamLife{ID: "u", Born: 2}), qt.IsFalse)
	a.RecordPresent(life)
	qt.Assert(t, a.HasEnded(life), qt.IsFalse)
}

// TestFlappingUpstream: an upstream that has a new life each second for a day is kept account of in bounds, and what is forgotten can be
// heard of again.
func TestFlappingUpstream(t *testing.T) {
	a, now := lives.New(), time.Unix(1000, 0)
	life := func(i int) ident.UpstreamLife { return ident.UpstreamLife{ID: "u-1", Born: ident.Born(i)} }
	beat := func(i int) lives.Heartbeat {
		return lives.Heartbeat{Upstream: fleet.Upstream{ID: "u-1"}, Born: ident.Born(i), Sequence: 1}
	}
	const day = 24 * 3600
	for i := 1; i <= day; i++ {
		now = now.Add(time.Second)
		a.Claim(now, beat(i))
		a.RecordPresent(life(i))
		a.RecordEnded(life(i))
	}
	qt.Assert(t, a.HasEnded(life(day)), qt.IsTrue)
	qt.Assert(t, a.HasEnded(life(day-200)), qt.IsTrue)
	qt.Assert(t, a.HasEnded(life(1)), qt.IsFalse)
	for i := range 100 {
		now = now.Add(time.Second)
		a.Claim(now, beat(day+1+i)) // the upstream gives no answer
	}
	qt.Assert(t, len(a.DueClaims(now.Add(time.Minute), func(time.Duration) time.Duration { return 0 })) <= 8, qt.IsTrue)
	qt.Assert(t, a.FindClaim(life(day+100)), qt.IsNotNil)
	qt.Assert(t, a.FindClaim(life(day+1)), qt.IsNil)
}
