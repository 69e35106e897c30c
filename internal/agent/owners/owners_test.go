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

// TestIsRefused checks that only a job's former holder is refused, until it takes the job back or Retention has passed.
func TestIsRefused(t *testing.T) {
	const id job.ID = 7
	now := time.Unix(1000, 0)
	taken := fleet.Takeover{Job: id, Holder: 1, NewHolder: 2}
	for _, test := range []struct {
		name    string
		happens func(r *owners.Registry)
		after   time.Duration
		entry   ident.Incarnation
		want    bool
	}{
		{"its former holder", func(*owners.Registry) {}, time.Second, 1, true},
		{"the one that has taken it over", func(*owners.Registry) {}, time.Second, 2, false},
		{"a third one", func(*owners.Registry) {}, time.Second, 3, false},
		{"its former holder, long after", func(*owners.Registry) {}, owners.Retention, 1, false},
		{"its former holder, which takes it back", func(r *owners.Registry) { r.RecordTakeover(fleet.Takeover{Job: id, Holder: 2, NewHolder: 1}) }, time.Second, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := owners.New()
			r.Refuse(now, taken)
			test.happens(r)
			qt.Assert(t, r.IsRefused(now.Add(test.after), id, test.entry), qt.Equals, test.want)
			qt.Assert(t, r.IsRefused(now.Add(test.after), id+1, test.entry), qt.IsFalse)
		})
	}
}

// TestHeldByOthers checks that a held job is listed until it is given up, or until it has not been reported again within Retention.
func TestHeldByOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := owners.New()
	r.RecordHeld(now, 1, []job.ID{9, 7, 8})
	r.RecordHeld(now, 2, []job.ID{6})
	r.RecordTakeover(fleet.Takeover{Job: 8, Holder: 1, NewHolder: 2})
	qt.Assert(t, r.HeldByOthers(now, 3), qt.DeepEquals, []owners.Holding{{Entry: 1, Jobs: []job.ID{7, 9}}, {Entry: 2, Jobs: []job.ID{6}}})
	qt.Assert(t, r.HeldByOthers(now, 1), qt.DeepEquals, []owners.Holding{{Entry: 2, Jobs: []job.ID{6}}})
	r.Expire(now.Add(owners.Retention))
	qt.Assert(t, r.HeldByOthers(now, 3), qt.HasLen, 0)
}
