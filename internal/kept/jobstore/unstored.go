package jobstore

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/record"
)

// CancelUnstored cancels a job that the store does not have. It writes a tombstone, so that no earlier write of the job's first rows, which
// may still be carried out, takes effect any more: each requires that the job has no rows. If the job has been stored meanwhile,
// CancelUnstored cancels it as Cancel does. The tombstone expires like the rows of an ended job.
func (r *Reader) CancelUnstored(ctx context.Context, id job.ID) (Cancellation, error) {
	for range maxCancelTries {
		page, err := r.Leases(ctx) // for the store's clock
		if err != nil {
			return Cancellation{}, err
		}
		t, err := TombstoneTxn(r.layout, id, page.Now+r.retention)
		if err != nil {
			return Cancellation{}, err
		}
		_, err = r.store.Commit(ctx, t)
		if err == nil {
			return Cancellation{State: verdict.Unknown, Final: true}, nil
		}
		if errors.Is(err, rows.ErrRefused) && !sleep(ctx, retryPause) {
			return Cancellation{}, errors.Wrap(ctx.Err(), "jobstore: cancel")
		}
		// Whatever the error was, the rows show whether the tombstone was written, or the job was stored before it.
		c, err := r.Cancel(ctx, id)
		if err != nil || c.Final || c.State != verdict.Unknown {
			return c, err
		}
	}
	return Cancellation{}, errors.Errorf("jobstore: cancel job %s: gave up after %d attempts", id, maxCancelTries)
}

// TombstoneTxn returns the transaction that stores that a job without rows is cancelled. The tombstone may be deleted once the store's
// clock has reached expires.
func TombstoneTxn(l record.Layout, id job.ID, expires time.Duration) (rows.Txn, error) {
	value, err := record.Encode(record.EndedJob{State: verdict.Unknown})
	if err != nil {
		return rows.Txn{}, err
	}
	empty := []byte("{}")
	return rows.Txn{
		If: []rows.Condition{{Key: l.JobKey(id)}, {Key: l.OpenKey(id)}, {Key: l.EndedKey(id)}},
		Put: []rows.Row{
			{Key: l.JobKey(id), Value: empty}, {Key: l.EndedKey(id), Value: value}, {Key: l.ExpiryKey(id, expires), Value: empty},
		},
	}, nil
}

// sleep waits for d and returns true, or returns false when ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
