package world_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/world"
)

// maxUnfairness is how often any part of the callers may be refused, relative to all, while callers ask for more than there is room for.
const maxUnfairness = 1.5

// TestShortageIsEven guards against callers of one availability zone, or of one kind of job, who are refused more often than others while
// callers ask for 1.1 times the room of a deployment whose entries and upstreams are unequal. One zone has weak entries only.
func TestShortageIsEven(t *testing.T) {
	t.Parallel()
	r, p := playUnequal(t)
	for i := range p.Zones {
		checkRefused(t, "callers of "+p.Zones[i].Name, r.Zones[i], r.All)
	}
	for i := range p.Jobs {
		checkRefused(t, p.Jobs[i].Name, r.Kinds[i], r.All)
	}
}

// playUnequal plays the plan with entries of unequal strength.
func playUnequal(t *testing.T) (*world.Result, *plan.Plan) {
	p, err := plan.Read("../../../deploy/plans/unequal_entries.ini")
	qt.Assert(t, err, qt.IsNil)
	r := play(t, p)
	qt.Assert(t, r.All.Refused > 0, qt.IsTrue, qt.Commentf("without a shortage the test can't fail"))
	return r, p
}

// checkRefused checks that a part of the jobs is refused at most maxUnfairness times as often as all.
func checkRefused(t *testing.T, name string, part, all *world.Tally) {
	t.Helper()
	ratio := part.RefusedShare() / all.RefusedShare()
	t.Logf("%s: refused %.4f, %.2f times as often as all", name, part.RefusedShare(), ratio)
	qt.Check(t, ratio <= maxUnfairness, qt.IsTrue, qt.Commentf("%s: %.2f", name, ratio))
}

// TestShortageIsEvenAcrossEntries guards against entries that get less room than others because their link or their thread is slower: no
// kind of entry may be refused more often than that, neither relative to all jobs nor relative to the other kind.
func TestShortageIsEvenAcrossEntries(t *testing.T) {
	t.Parallel()
	r, p := playUnequal(t)
	for i := range p.Entries {
		checkRefused(t, "asked of "+p.Entries[i].Name+" entries", r.EntryKinds[i], r.All)
		for k := range p.Entries {
			if k == i {
				continue
			}
			checkRefused(t, p.Entries[i].Name+" entries, relative to "+p.Entries[k].Name, r.EntryKinds[i], r.EntryKinds[k])
		}
	}
}
