package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
)

// TestEntryKinds guards against kinds of entries that have no effect: a thin link or a slow thread makes the jobs of the entries that
// have it late, and only theirs.
func TestEntryKinds(t *testing.T) {
	for _, test := range []struct {
		name string
		weak plan.Entry
		// slower says that the weak entries answer later than the others.
		slower bool
	}{
		{"equal", plan.Entry{}, false},
		{"thin link", plan.Entry{LinkMbits: 1}, true},
		{"slow thread", plan.Entry{Handling: time.Millisecond}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := example(t)
			p.Length, p.Jobs = 6*time.Second, p.Jobs[:1]
			// Short tasks of equal times, so that the answers differ by what their entries add.
			p.Jobs[0].Time, p.Jobs[0].Spread, p.Jobs[0].Uneven = 20*time.Millisecond, 0, 0
			weak := test.weak
			weak.Name, weak.Weight = "weak", 1
			p.Entries = []plan.Entry{{Name: "strong", Weight: 1}, weak}
			r := play(t, p)
			strongSent, weakSent := r.EntryKinds[0].Sent, r.EntryKinds[1].Sent
			qt.Check(t, strongSent+weakSent, qt.Equals, r.All.Sent)
			qt.Check(t, strongSent > 0 && weakSent > 0, qt.IsTrue)
			strongMedian, weakMedian := r.EntryKinds[0].ResponseTimes.Percentile(50), r.EntryKinds[1].ResponseTimes.Percentile(50)
			t.Logf("median answer: strong %.1f ms, weak %.1f ms; in time %.3f, %.3f", strongMedian, weakMedian, r.EntryKinds[0].ServedShare(), r.EntryKinds[1].ServedShare())
			// An answer needs two messages to the entry, and two from it, that wait for its link.
			const least = 2.0 // ms
			qt.Check(t, weakMedian >= strongMedian+least, qt.Equals, test.slower)
		})
	}
}
