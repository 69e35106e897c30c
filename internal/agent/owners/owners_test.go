package owners_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/owners"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// TestRefuses: only an entry that a job was taken over from is refused, until it takes the job back or that is long past.
func TestRefuses(t *testing.T) {
	const id job.ID = 7
	now := time.Unix(1000, 0)
	taken := fleet.Takeover{Job: id, Holder: 1, NewHolder: 2}
	for _, test := range []struct {
		name    string
		happens func(a *owners.Registry)
		after   time.Duration
		entry   ident.Incarnation
		want    bool
	}{
		{"its former holder", func(*owners.Registry) {}, time.Second, 1, true},
		{"the one that has taken it over", func(*owners.Registry) {}, time.Second, 2, false},
		{"a third one", func(*owners.Registry) {}, time.Second, 3, false},
		{"its former holder, long after", func(*owners.Registry) {}, owners.Retention, 1, false},
		{"its former holder, which takes it back", func(a *owners.Registry) { a.RecordTakeover(fleet.Takeover{Job: id, Holder: 2, NewHolder: 1}) }, time.Second, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := owners.New()
			a.Refuse(now, taken)
			test.happens(a)
			qt.Assert(t, a.IsRefused(now.Add(test.after), id, test.entry), qt.Equals, test.want)
			qt.Assert(t, a.IsRefused(now.Add(test.after), id+1, test.entry), qt.IsFalse)
		})
	}
}

// TestOthers: what an entry holds is told until it is given up or was not told of again.
func TestOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	a := owners.New()
	a.RecordHeld(now, 1, []job.ID{9, 7, 8})
	a.RecordHeld(now, 2, []job.ID{6})
	a.RecordTakeover(fleet.Takeover{Job: 8, Holder: 1, NewHolder: 2})
	qt.Assert(t, a.HeldByOthers(now, 3), qt.DeepEquals, []owners.Holding{{Entry: 1, Jobs: []job.ID{7, 9}}, {Entry: 2, Jobs: []job.ID{6}}})
	qt.Assert(t, a.HeldByOthers(now, 1), qt.DeepEquals, []owners.Holding{{Entry: 2, Jobs: []job.ID{6}}})
	a.Expire(now.Add(owners.Retention))
	qt.Assert(t, a.HeldByOthers(now, 3), qt.HasLen, 0)
}
