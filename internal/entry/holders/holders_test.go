package holders_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/entry/holders"
)

// TestRegistry: a job counts as held by each entry that has announced it, until that entry has released it or has not
// announced it for too long.
func TestRegistry(t *testing.T) {
	now := time.Unix(1000, 0)
	a := holders.New()
	a.Record(now, 1, 7, 8)
	a.Record(now, 2, 7)
	a.Record(now.Add(time.Second), 1, 7)
	entry, known := a.Find(now, 7)
	qt.Assert(t, known, qt.IsTrue)
	a.Forget(7, entry)
	other, known := a.Find(now, 7)
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, other, qt.Not(qt.Equals), entry)
	a.Forget(7, other)
	_, known = a.Find(now, 7)
	qt.Assert(t, known, qt.IsFalse)
	_, known = a.Find(now.Add(2*holders.AnnounceInterval), 8)
	qt.Assert(t, known, qt.IsTrue, qt.Commentf("one announcement may be lost"))
	_, known = a.Find(now.Add(4*holders.AnnounceInterval), 8)
	qt.Assert(t, known, qt.IsFalse)
}
