package jobstore_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/record"
	"hillreel/internal/standin/memory"
)

// clockStore is a store whose clock is set by the test. Its first writes get no answer; they are carried out if late is false.
type clockStore struct {
	memory.Store
	now        time.Duration
	unanswered int
	late       bool
	held       []rows.Txn
	// largest is the most entries of a transaction.
	largest int
}

func (s *clockStore) Commit(_ context.Context, t rows.Txn) (rows.Version, error) {
	s.largest = max(s.largest, len(t.If)+len(t.Put)+len(t.Remove))
	if s.unanswered > 0 {
		s.unanswered--
		if s.late {
			s.held = append(s.held, t)
		} else {
			s.Store.Commit(t)
		}
		return 0, context.DeadlineExceeded
	}
	if !s.Store.Commit(t) {
		return 0, rows.ErrConflict
	}
	return s.Version, nil
}

func (s *clockStore) Read(_ context.Context, k rows.Key) (rows.Row, error) { return s.Rows[k], nil }

func (s *clockStore) Range(_ context.Context, r rows.Range) (rows.Page, error) {
	page := rows.Page{Now: s.now}
	for k, row := range s.Rows {
		if k.Table == r.Table && k.Part == r.Part && k.Name >= r.From && (r.To == "" || k.Name < r.To) && (r.Limit == 0 || len(page.Rows) < r.Limit) {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// TestTombstones guards against tombstones that nobody removes, that are removed too early, or that are shown as jobs.
func TestTombstones(t *testing.T) {
	const id = job.ID(7)
	layout := record.Layout{Parts: 2}
	for _, test := range []struct {
		name  string
		store *clockStore
	}{
		{"answered", &clockStore{}},
		{"the answer is lost", &clockStore{unanswered: 1}},
		{"carried out late", &clockStore{unanswered: 1, late: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := test.store
			s.Store, s.now = memory.New(), time.Hour
			r := jobstore.NewReader(s, layout, time.Minute)
			ctx := context.Background()
			for range 2 {
				c, err := r.CancelUnstored(ctx, id)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, c, qt.Equals, jobstore.Cancellation{State: verdict.Unknown, Final: true})
			}
			for _, late := range s.held {
				qt.Check(t, s.Store.Commit(late), qt.IsFalse)
			}
			state, err := r.State(ctx, id)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, state, qt.Equals, verdict.Unknown)
			for _, step := range []struct {
				now  time.Duration
				want int
			}{{time.Hour + 59*time.Second, 3}, {time.Hour + 61*time.Second, 0}} {
				s.now = step.now
				for _, part := range layout.AllParts() {
					_, err := r.Sweep(ctx, part)
					qt.Assert(t, err, qt.IsNil)
				}
				qt.Check(t, s.Rows, qt.HasLen, step.want)
			}
		})
	}
}

// TestTombstoneSpares guards against a tombstone that hides or ends a job that was stored before it.
func TestTombstoneSpares(t *testing.T) {
	const id = job.ID(7)
	layout := record.Layout{Parts: 2}
	for _, test := range []struct {
		name string
		key  rows.Key
		row  any
		want verdict.State
	}{
		{"an open job, which is cancelled", layout.OpenKey(id), record.OpenJob{Owner: "gone"}, verdict.Cancelled},
		{"a complete job", layout.EndedKey(id), record.EndedJob{State: verdict.Complete}, verdict.Complete},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &clockStore{Store: memory.New()}
			value, err := record.Encode(test.row)
			qt.Assert(t, err, qt.IsNil)
			s.Put(layout.JobKey(id), []byte("{}"))
			s.Put(test.key, value)
			c, err := jobstore.NewReader(s, layout, time.Minute).CancelUnstored(context.Background(), id)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, c.State, qt.Equals, test.want)
			qt.Check(t, c.Final, qt.IsFalse)
		})
	}
}

// TestLateSweep guards against a sweep that the store carries out late and that deletes the rows of a job which has come since under the same
// ID, once another sweep had deleted the earlier job.
func TestLateSweep(t *testing.T) {
	const id = job.ID(7)
	layout := record.Layout{Parts: 1}
	ctx := context.Background()
	s := &clockStore{Store: memory.New(), now: time.Hour, late: true}
	r := jobstore.NewReader(s, layout, time.Minute)
	_, err := r.CancelUnstored(ctx, id)
	qt.Assert(t, err, qt.IsNil)
	s.now, s.unanswered = 2*time.Hour, 1
	for _, want := range []int{0, 1} {
		count, _ := r.Sweep(ctx, layout.Part(id))
		qt.Assert(t, count, qt.Equals, want)
	}
	qt.Assert(t, s.Rows, qt.HasLen, 0)
	s.Put(layout.JobKey(id), []byte("{}"))
	qt.Assert(t, s.held, qt.HasLen, 1)
	s.Store.Commit(s.held[0])
	qt.Check(t, s.Rows, qt.HasLen, 1)
}

// TestSweepIsBounded guards against transactions of more than 100 entries, which the platform does not accept.
func TestSweepIsBounded(t *testing.T) {
	layout := record.Layout{Parts: 1}
	ctx := context.Background()
	s := &clockStore{Store: memory.New(), now: time.Hour}
	r := jobstore.NewReader(s, layout, time.Minute)
	for id := range job.ID(100) {
		_, err := r.CancelUnstored(ctx, id)
		qt.Assert(t, err, qt.IsNil)
	}
	s.now = 2 * time.Hour
	count, err := r.Sweep(ctx, layout.Part(0))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, count, qt.Equals, 100)
	qt.Check(t, s.Rows, qt.HasLen, 0)
	qt.Check(t, s.largest <= 100, qt.IsTrue, qt.Commentf("%d entries", s.largest))
}

// TestSweepWindow guards against tombstones that stay because no entry has kept jobs: each part is swept once more after they expire.
func TestSweepWindow(t *testing.T) {
	var w jobstore.SweepWindow
	expires := time.Unix(1000, 0)
	qt.Check(t, w.Open(expires), qt.IsFalse)
	w.Add(expires, 4)
	qt.Check(t, w.Open(expires.Add(4*jobstore.SweepInterval)), qt.IsTrue)
	qt.Check(t, w.Open(expires.Add(6*jobstore.SweepInterval)), qt.IsFalse)
}
