package reservation_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/reservation"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

const (
	ms   = time.Millisecond
	hold = 10 * ms
)

// total is the room of the upstream in the tests.
var total = cpu(8000)

func cpu(n int64) job.Resources { return job.Resources{CPU: n} }

// of returns a claim for tasks that need a number of thousandths of a core each, the first of which should be placed in a time.
func of(tasks uint32, each int64, dueIn time.Duration) fleet.Claim {
	return fleet.Claim{Tasks: tasks, Each: cpu(each), DueIn: dueIn, ValidFor: 200 * ms}
}

func begun(c fleet.Claim) fleet.Claim { c.Begun = true; return c }
func late(c fleet.Claim) fleet.Claim  { c.Late = true; return c }

// TestUpdate checks for whom room is reserved, and what is left to an entry without a claim. Entry n has the claim n, in the order of
// their arrival, one ms apart.
func TestUpdate(t *testing.T) {
	for _, test := range []struct {
		name   string
		claims []fleet.Claim
		free   int64
		want   []ident.Incarnation
		others int64
	}{
		{"no room", []fleet.Claim{of(1, 1000, 0)}, 0, nil, 0},
		{"one claim", []fleet.Claim{of(1, 1000, 0)}, 1000, []ident.Incarnation{1}, 0},
		{"what nobody claims is left", []fleet.Claim{of(1, 1000, 0)}, 3000, []ident.Incarnation{1}, 2000},
		{"the one due first", []fleet.Claim{of(1, 1000, 20*ms), of(1, 1000, 10*ms)}, 1000, []ident.Incarnation{2}, 0},
		{"begun first", []fleet.Claim{of(1, 1000, 0), begun(of(1, 1000, 50*ms))}, 1000, []ident.Incarnation{2}, 0},
		{"late last", []fleet.Claim{late(of(1, 1000, 0)), of(1, 1000, 50*ms)}, 1000, []ident.Incarnation{2}, 0},
		{"late, but begun", []fleet.Claim{late(begun(of(1, 1000, 0))), of(1, 1000, 0)}, 1000, []ident.Incarnation{1}, 0},
		{"equal: the one that waits longest", []fleet.Claim{of(1, 1000, 10*ms), of(1, 1000, 9*ms)}, 1000, []ident.Incarnation{1}, 0},
		{"in turn", []fleet.Claim{of(9, 1000, 10*ms), of(9, 1000, 20*ms)}, 2000, []ident.Incarnation{1, 2}, 0},
		{"the second task of the first before the third", []fleet.Claim{of(3, 1000, 0), of(1, 1000, 9*ms)}, 3000, []ident.Incarnation{1, 2}, 0},
		{"no more than a few tasks of one", []fleet.Claim{of(9, 1000, 0)}, 6000, []ident.Incarnation{1}, 2000},
		{"smaller ones pass", []fleet.Claim{of(1, 3000, 10*ms), of(1, 1000, 20*ms)}, 1000, []ident.Incarnation{2}, 0},
		{"they pass a task that isn't large also when it is overdue", []fleet.Claim{of(1, 2000, -ms), of(1, 1000, 20*ms)}, 1000, []ident.Incarnation{2}, 0},
		{"room gathers for a large one that is overdue", []fleet.Claim{of(1, 3000, -ms), of(1, 1000, 20*ms)}, 2000, nil, 0},
		{"not before better ones", []fleet.Claim{of(1, 3000, -ms), of(1, 1000, -20*ms)}, 2000, []ident.Incarnation{2}, 0},
		{"never for what the upstream can't hold", []fleet.Claim{of(1, 9000, -ms), of(1, 1000, 20*ms)}, 1000, []ident.Incarnation{2}, 0},
		{"none: no task", []fleet.Claim{of(0, 1000, 0)}, 1000, nil, 1000},
		{"none: no size", []fleet.Claim{of(1, 0, 0)}, 1000, nil, 1000},
		{"none: less than nothing", []fleet.Claim{of(1, -1000, 0)}, 1000, nil, 1000},
		{"none: not valid", []fleet.Claim{{Tasks: 1, Each: cpu(1000)}}, 1000, nil, 1000},
	} {
		t.Run(test.name, func(t *testing.T) {
			b, now := reservation.New(), time.Unix(1000, 0)
			for i, c := range test.claims {
				b.Record(now, ident.Incarnation(i+1), c)
				now = now.Add(ms)
			}
			granted, _ := b.Update(now, cpu(test.free), total)
			qt.Assert(t, granted, qt.DeepEquals, test.want)
			qt.Assert(t, b.Available(9, cpu(test.free)), qt.Equals, cpu(test.others))
			granted, released := b.Update(now, cpu(test.free), total)
			qt.Assert(t, granted, qt.HasLen, 0)
			qt.Assert(t, released, qt.IsFalse)
		})
	}
}

// TestReleased checks what ends a reservation of the first of two entries, and that the room then goes to the second one.
func TestReleased(t *testing.T) {
	for _, test := range []struct {
		name    string
		happens func(b *reservation.Book, now time.Time)
		after   time.Duration
		free    int64
		want    []ident.Incarnation
		// released is whether others have to be told.
		released bool
	}{
		{"nothing", func(*reservation.Book, time.Time) {}, hold - 1, 1000, nil, false},
		{"it lapses", func(*reservation.Book, time.Time) {}, hold, 1000, []ident.Incarnation{2}, true},
		{"the entry withdraws", func(b *reservation.Book, now time.Time) { b.Record(now, 1, fleet.Claim{}) }, ms, 1000, []ident.Incarnation{2}, true},
		{"it is dropped", func(b *reservation.Book, _ time.Time) { b.Drop(1) }, ms, 1000, []ident.Incarnation{2}, true},
		{"the entry claims for larger tasks", func(b *reservation.Book, now time.Time) { b.Record(now, 1, of(1, 1500, 0)) }, ms, 1000, []ident.Incarnation{2}, true},
		{"the entry claims again", func(b *reservation.Book, now time.Time) { b.Record(now, 1, of(1, 1000, time.Second)) }, ms, 1000, nil, false},
		{"the room is lost", func(*reservation.Book, time.Time) {}, ms, 500, nil, true},
		{"it is used", func(b *reservation.Book, _ time.Time) { b.Use(1) }, ms, 0, nil, false},
		{"it is used, and the next room is for the other", func(b *reservation.Book, _ time.Time) { b.Use(1) }, ms, 1000, []ident.Incarnation{2}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b, now := reservation.New(), time.Unix(1000, 0)
			b.Record(now, 1, of(1, 1000, 0))
			b.Record(now, 2, of(1, 1000, 20*ms))
			granted, _ := b.Update(now, cpu(1000), total)
			qt.Assert(t, granted, qt.DeepEquals, []ident.Incarnation{1})
			qt.Assert(t, b.ReservedFor(1), qt.Equals, cpu(1000))
			test.happens(b, now)
			granted, released := b.Update(now.Add(test.after), cpu(test.free), total)
			qt.Assert(t, granted, qt.DeepEquals, test.want)
			qt.Assert(t, released, qt.Equals, test.released)
		})
	}
}

// TestLapsedClaimIsDropped checks that an entry that doesn't use its room gets none again before its next claim.
func TestLapsedClaimIsDropped(t *testing.T) {
	b, now := reservation.New(), time.Unix(1000, 0)
	b.Record(now, 1, of(5, 1000, 0))
	b.Update(now, cpu(1000), total)
	now = now.Add(hold)
	granted, _ := b.Update(now, cpu(1000), total)
	qt.Assert(t, granted, qt.HasLen, 0)
	b.Record(now, 1, of(5, 1000, 0))
	granted, _ = b.Update(now, cpu(1000), total)
	qt.Assert(t, granted, qt.DeepEquals, []ident.Incarnation{1})
	qt.Assert(t, b.Counts(), qt.Equals, reservation.Counts{Received: 2, Reserved: 2, Lapsed: 1})
}

// TestGatheringEnds checks that room that gathers for a claim is free for others once the claim has expired, however long it was to stand.
func TestGatheringEnds(t *testing.T) {
	b, now := reservation.New(), time.Unix(1000, 0)
	c := of(1, 5000, -ms)
	c.ValidFor = time.Hour
	b.Record(now, 1, c)
	b.Update(now, cpu(4000), total)
	qt.Assert(t, b.Available(2, cpu(4000)), qt.Equals, cpu(0))
	qt.Assert(t, b.Available(1, cpu(4000)), qt.Equals, cpu(4000))
	_, released := b.Update(now.Add(time.Second), cpu(4000), total)
	qt.Assert(t, released, qt.IsTrue)
	qt.Assert(t, b.Available(2, cpu(4000)), qt.Equals, cpu(4000))
}

// TestReplacedClaimKeepsReleases guards against a claim that is replaced and makes the Book forget that room was given up before.
func TestReplacedClaimKeepsReleases(t *testing.T) {
	b, now := reservation.New(), time.Unix(1000, 0)
	b.Record(now, 1, fleet.Claim{Tasks: 1, Each: cpu(1000), ValidFor: time.Second})
	b.Update(now, cpu(1000), total)
	b.Drop(1)
	b.Record(now, 2, fleet.Claim{Tasks: 1, Each: cpu(9000), ValidFor: time.Second})
	_, released := b.Update(now, cpu(1000), total)
	qt.Assert(t, released, qt.IsTrue)
}
