package jobstore

import (
	"context"
	"time"

	"hillreel/internal/core/rows"
	"hillreel/internal/kept/record"
)

// SweepInterval is the pause between two sweeps of an entry. Each sweep deletes expired jobs from one part of the store.
const SweepInterval = 10 * time.Second

// SweepWindow tells whether rows may be left that expire while no entry has kept jobs. The zero SweepWindow says that there are none.
type SweepWindow struct{ until time.Time }

// Add extends the window for rows that expire at a time, until each of the store's parts has been swept after it.
func (w *SweepWindow) Add(expires time.Time, parts int) {
	w.until = expires.Add(time.Duration(parts+1) * SweepInterval)
}

// Open reports whether there may be such rows.
func (w *SweepWindow) Open(now time.Time) bool { return now.Before(w.until) }

// sweepBatch is how many jobs are deleted in one transaction: each has four rows and a condition, and a transaction at most 100 entries.
const sweepBatch = 20

// maxSweepBatches bounds the transactions of one sweep: half of those that one part of the store accepts in two seconds.
const maxSweepBatches = 200

// Sweep deletes the rows of the jobs of a part that have expired, and returns the number of jobs. A transaction that is carried out late,
// after another one has deleted the same rows, has no effect: a job may have come since under an ID that has expired.
func (r *Reader) Sweep(ctx context.Context, part string) (count int, err error) {
	page, err := r.Leases(ctx) // for the store's clock
	if err != nil {
		return 0, err
	}
	due := record.ExpiredRows(part, page.Now)
	due.Limit = sweepBatch
	for range maxSweepBatches {
		expired, err := r.store.Range(ctx, due)
		if err != nil || len(expired.Rows) == 0 {
			return count, err
		}
		var t rows.Txn
		for _, row := range expired.Rows {
			t.If = append(t.If, rows.Condition{Key: row.Key, Version: row.Version})
			t.Remove = append(t.Remove, r.layout.ExpiredJobKeys(row.Key)...)
		}
		if _, err := r.store.Commit(ctx, t); err != nil {
			return count, err
		}
		count += len(expired.Rows)
	}
	return count, nil
}
