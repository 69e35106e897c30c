package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// These worlds guard against crashes whose age is known far too low. Tasks crash their upstreams late in their runs, and
// shortly before that the upstream's agent is cut off from all entries, so that what they have heard of the run is old. Such
// a task was started alone for too short a time, and its crashes did not agree with each other.

// silencesFrom is the first seed of these worlds. Each kind has silenceSeeds of them.
const (
	silencesFrom = 40_000_000_000
	silenceSeeds = 100_000_000
)

// silenceKind is how an agent falls silent around a crash under a task.
type silenceKind struct {
	name string
	// rate is the probability that the agent is cut off around a crash: from up to ahead before it until up to after it.
	rate         float64
	ahead, after time.Duration
	// powerRate is the probability that the agent, once cut off, loses power at the crash.
	powerRate float64
}

var silenceKinds = []silenceKind{
	{name: "none"},
	{name: "cut_often", rate: 0.5, ahead: time.Second, after: 300 * time.Millisecond},
	{name: "cut_always", rate: 1, ahead: time.Second, after: 300 * time.Millisecond},
	{name: "cut_often_then_power", rate: 0.5, ahead: time.Second, after: 800 * time.Millisecond, powerRate: 0.5},
}

// powerDowntime is how long an agent that loses power is down.
const powerDowntime = 500 * time.Millisecond

// firstSeed returns the seed before the first schedule of a kind.
func (k silenceKind) firstSeed() uint64 {
	for i := range silenceKinds {
		if silenceKinds[i].name == k.name {
			return silencesFrom + uint64(i)*silenceSeeds
		}
	}
	panic("no such kind: " + k.name)
}

// isSilence reports whether a seed is one of these worlds.
func isSilence(seed uint64) bool {
	return seed >= silencesFrom && seed < silencesFrom+uint64(len(silenceKinds))*silenceSeeds
}

// silences cuts agents off around crashes. It has a random source of its own, as operators has.
type silences struct {
	w    *world
	kind silenceKind
	rng  *rand.Rand
}

func newSilences(w *world) *silences {
	s := &silences{w: w, rng: rand.New(rand.NewPCG(w.seed, 11))}
	if isSilence(w.seed) {
		s.kind = silenceKinds[(w.seed-silencesFrom)/silenceSeeds]
	}
	return s
}

// upTo draws a duration.
func (s *silences) upTo(most time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(most) + 1))
}

// beforeCrash cuts an agent off around a crash of its upstream that comes after the given time.
func (s *silences) beforeCrash(a *agentProc, crash time.Duration) {
	if s.rng.Float64() >= s.kind.rate {
		return
	}
	from := max(crash-s.upTo(s.kind.ahead), 0)
	until := crash + s.upTo(s.kind.after)
	s.w.After(from, func() { s.cutOff(a, until-from) })
	if s.rng.Float64() < s.kind.powerRate {
		s.w.After(crash+s.upTo(until-crash), func() { s.w.endAgent(a, true, powerDowntime) })
	}
}

// cutOff cuts an agent off from all entries.
func (s *silences) cutOff(a *agentProc, d time.Duration) {
	a.markDisturbed(d)
	s.w.logf("%s is cut off from all entries for %v", a.name, d)
	for _, p := range s.w.pairs {
		if p.a == a {
			p.cutToAgent, p.cutToEntry = true, true
			s.w.After(d, p.heal)
		}
	}
}

// TestCrashesInSilence guards against tasks that are started too often, and sound jobs that are reported as failed, where
// agents fall silent before tasks crash their upstreams.
func TestCrashesInSilence(t *testing.T) {
	n := vmCrashSchedules
	if *schedules != defaultSchedules {
		n = *schedules
	}
	for _, k := range silenceKinds {
		t.Run(k.name, func(t *testing.T) { requireNoViolation(t, k.firstSeed()+*seed, n) })
	}
}

// TestCountSilences counts, for each kind, the schedules that fail. It runs if -count-from is given, from that schedule of
// each kind on.
func TestCountSilences(t *testing.T) {
	if *countFrom == 0 {
		t.Skip("nothing to count: -count-from names the first schedule")
	}
	for _, k := range silenceKinds {
		t.Run(k.name, func(t *testing.T) {
			failed := countFailed(t, k.firstSeed()+*countFrom, *schedules)
			qt.Check(t, failed, qt.Equals, int64(0), qt.Commentf("of %d", *schedules))
		})
	}
}
