package jobstore_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/record"
	"hillreel/internal/standin/memory"
)

// changingStore is a store in which a job is stored after a number of reads.
type changingStore struct {
	memory.Store
	left  int
	store func(s *memory.Store)
}

func (c *changingStore) Commit(_ context.Context, t rows.Txn) (rows.Version, error) {
	if !c.Store.Commit(t) {
		return 0, rows.ErrConflict
	}
	return c.Version, nil
}

func (c *changingStore) Read(_ context.Context, k rows.Key) (rows.Row, error) {
	if c.left == 0 {
		c.store(&c.Store)
	}
	c.left--
	return c.Rows[k], nil
}

func (c *changingStore) Range(context.Context, rows.Range) (rows.Page, error) {
	return rows.Page{Now: time.Minute}, nil
}

// TestCancelOfJobStoredMeanwhile guards against a cancellation that is answered with the state of an open job: the caller takes that for an
// acknowledgement, and the job goes on. It happened if the job was stored between two reads of its open row.
func TestCancelOfJobStoredMeanwhile(t *testing.T) {
	const id = job.ID(7)
	layout := record.Layout{Parts: 2}
	open := record.EncodeLogged(logs.Discard(), record.OpenJob{Owner: "own-0", Generation: 1, Sequence: 1})
	for reads := range 4 {
		s := &changingStore{Store: memory.New(), left: reads, store: func(m *memory.Store) { m.Put(layout.OpenKey(id), open) }}
		c, err := jobstore.NewReader(s, layout, time.Hour).Cancel(context.Background(), id)
		qt.Assert(t, err, qt.IsNil)
		want := verdict.Unknown
		if reads == 0 {
			want = verdict.Cancelled
		}
		qt.Check(t, c.State, qt.Equals, want, qt.Commentf("stored after %d reads", reads))
	}
}
