package holders_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/entry/holders"
)

// TestHolders: a job counts as held by each entry that has told of it, until that has given it up or has not told of it for long.
func TestHolders(t *testing.T) {
	now := time.Unix(1000, 0)
	a := holders.New()
	a.Told(now, 1, 7, 8)
	a.Told(now, 2, 7)
	a.Told(now.Add(time.Second), 1, 7)
	entry, known := a.Of(now, 7)
	qt.Assert(t, known, qt.IsTrue)
	a.Forget(7, entry)
	other, known := a.Of(now, 7)
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, other, qt.Not(qt.Equals), entry)
	a.Forget(7, other)
	_, known = a.Of(now, 7)
	qt.Assert(t, known, qt.IsFalse)
	_, known = a.Of(now.Add(2*holders.TellEvery), 8)
	qt.Assert(t, known, qt.IsTrue, qt.Commentf("one message may be lost"))
	_, known = a.Of(now.Add(4*holders.TellEvery), 8)
	qt.Assert(t, known, qt.IsFalse)
}
