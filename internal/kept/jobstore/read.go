package jobstore

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/record"
)

// Reader reads the rows of kept jobs.
type Reader struct {
	store  Store
	layout record.Layout
	// retention is how long the state of an ended job can be queried.
	retention time.Duration
}

// NewReader returns a Reader. The rows of a job that it cancels are kept for retention.
func NewReader(s Store, l record.Layout, retention time.Duration) *Reader {
	return &Reader{s, l, retention}
}

// Leases reads all leases.
func (r *Reader) Leases(ctx context.Context) (rows.Page, error) {
	return r.store.Range(ctx, rows.Range{Table: record.Leases})
}

// Scan reads all open jobs, and then the leases. In this order, the lease of the owner of each job that was read is read as
// well if it still exists.
func (r *Reader) Scan(ctx context.Context) (open []rows.Row, leases rows.Page, err error) {
	for _, part := range r.layout.AllParts() {
		page, err := r.store.Range(ctx, record.OpenRows(part))
		if err != nil {
			return nil, leases, err
		}
		open = append(open, page.Rows...)
	}
	leases, err = r.Leases(ctx)
	return open, leases, err
}

// Fetch reads the submitted records of jobs, in the order of ids. A row that does not exist has version zero.
func (r *Reader) Fetch(ctx context.Context, ids []job.ID) ([]rows.Row, error) {
	var out []rows.Row
	for _, id := range ids {
		row, err := r.store.Read(ctx, r.layout.JobKey(id))
		if err != nil {
			return nil, err
		}
		out = append(out, row)
	}
	return out, nil
}

// LookUp reads the open and the ended row of a job. A row that does not exist has version zero.
func (r *Reader) LookUp(ctx context.Context, id job.ID) (open, ended rows.Row, err error) {
	// The open row is read first, because the transaction that writes the ended row removes the open row. In the other
	// order, both could seem to be missing.
	if open, err = r.store.Read(ctx, r.layout.OpenKey(id)); err != nil {
		return open, ended, err
	}
	ended, err = r.store.Read(ctx, r.layout.EndedKey(id))
	return open, ended, err
}

// State reads the state of a job. It is verdict.Unknown if there is no such job.
func (r *Reader) State(ctx context.Context, id job.ID) (verdict.State, error) {
	open, ended, err := r.LookUp(ctx, id)
	switch {
	case err != nil:
		return "", err
	case open.Version != 0:
		return openState(open)
	}
	return endedState(ended)
}

// endedState returns the state in which a job has ended. It is verdict.Unknown if there is no such row.
func endedState(row rows.Row) (verdict.State, error) {
	if row.Version == 0 {
		return verdict.Unknown, nil
	}
	ended, err := record.Decode[record.EndedJob](row)
	return ended.State, err
}

// openState returns the state of a job that has not ended.
func openState(row rows.Row) (verdict.State, error) {
	open, err := record.Decode[record.OpenJob](row)
	if err != nil {
		return "", err
	}
	if len(open.Ends) > 0 {
		return verdict.Running, nil
	}
	return verdict.Pending, nil
}

// maxCancelTries bounds the attempts of a cancellation, which fails whenever the job's owner has written meanwhile.
const maxCancelTries = 20

// Cancellation is the result of Reader.Cancel.
type Cancellation struct {
	// State is the state in which the job has ended. It is verdict.Unknown if there was no such job when the first of its rows
	// was read.
	State verdict.State
	// Final is true if the store has a tombstone of the job: it does not exist, and can't be stored any more.
	Final bool
	// Owner is the lease under which tasks of the job may start until the job's owner learns of the cancellation.
	Owner OwnerLease
}

// OwnerLease is a lease as the store had it at a time.
type OwnerLease struct {
	// ID is empty if nobody may act under the lease any more: it has expired, is claimed or gone.
	ID record.LeaseID
	// Link is the owner's link address, or empty if it is not known.
	Link ident.Address
	// Left is the time until the lease expires, if it is not renewed. Version changes with each renewal.
	Left    time.Duration
	Version rows.Version
}

// Cancel cancels a job that another entry owns. The owner learns of the cancellation because it follows the table of
// cancellations, unless it is cut off from the store.
func (r *Reader) Cancel(ctx context.Context, id job.ID) (Cancellation, error) {
	for range maxCancelTries {
		open, err := r.store.Read(ctx, r.layout.OpenKey(id))
		if err != nil {
			return Cancellation{}, err
		}
		if open.Version == 0 {
			return r.ended(ctx, id)
		}
		page, err := r.Leases(ctx) // also for the store's clock
		if err != nil {
			return Cancellation{}, err
		}
		t, owner, err := r.cancelTxn(id, open, page.Now)
		if err != nil {
			return Cancellation{}, err
		}
		if _, err := r.store.Commit(ctx, t); err == nil {
			return cancelled(page, owner)
		}
		// Whatever the error was, the next read of the rows shows whether the cancellation was done.
		if ctx.Err() != nil {
			return Cancellation{}, errors.Wrap(ctx.Err(), "jobstore: cancel")
		}
	}
	return Cancellation{}, errors.Errorf("jobstore: cancel job %s: gave up after %d attempts", id, maxCancelTries)
}

// ended returns the result for a job that is not open. The owner of a job that was cancelled before may not know of it yet.
func (r *Reader) ended(ctx context.Context, id job.ID) (Cancellation, error) {
	row, err := r.store.Read(ctx, r.layout.EndedKey(id))
	switch {
	case err != nil:
		return Cancellation{}, err
	case row.Version == 0:
		return Cancellation{State: verdict.Unknown}, nil
	}
	e, err := record.Decode[record.EndedJob](row)
	if err != nil || e.Owner == "" {
		return Cancellation{State: e.State, Final: e.IsTombstone()}, err
	}
	page, err := r.Leases(ctx)
	if err != nil {
		return Cancellation{}, err
	}
	return cancelled(page, e.Owner)
}

// cancelled returns the result for a job that is cancelled in the store, given the leases and the lease of its owner.
func cancelled(leases rows.Page, owner record.LeaseID) (Cancellation, error) {
	l, err := ownerLease(leases, owner)
	return Cancellation{State: verdict.Cancelled, Owner: l}, err
}

// Owner reads the lease of a job's owner.
func (r *Reader) Owner(ctx context.Context, id record.LeaseID) (OwnerLease, error) {
	page, err := r.Leases(ctx)
	if err != nil {
		return OwnerLease{}, err
	}
	return ownerLease(page, id)
}

// ownerLease returns one of the leases that were read.
func ownerLease(leases rows.Page, id record.LeaseID) (OwnerLease, error) {
	i := slices.IndexFunc(leases.Rows, func(r rows.Row) bool { return r.Key == record.LeaseKey(id) })
	if i < 0 {
		return OwnerLease{}, nil
	}
	row := leases.Rows[i]
	l, err := record.Decode[record.Lease](row)
	if err != nil || l.Adopter != "" || l.Until() <= leases.Now {
		return OwnerLease{}, err
	}
	return OwnerLease{ID: id, Link: l.Link, Left: l.Until() - leases.Now, Version: row.Version}, nil
}

// cancelTxn returns the transaction that cancels a job, and the lease of the job's owner.
func (r *Reader) cancelTxn(id job.ID, row rows.Row, now time.Duration) (rows.Txn, record.LeaseID, error) {
	open, err := record.Decode[record.OpenJob](row)
	if err != nil {
		return rows.Txn{}, "", err
	}
	t, err := EndTxn(r.layout, id, row.Version, record.EndedJob{State: verdict.Cancelled, Owner: open.Owner}, now+r.retention)
	if err != nil {
		return rows.Txn{}, "", err
	}
	t.Put = append(t.Put, rows.Row{Key: r.layout.CancelKey(id), Value: []byte("{}")})
	return t, open.Owner, nil
}

// EndTxn returns the transaction that ends an open job whose open row has version open. The job's rows may be deleted once
// the store's clock has reached expires.
func EndTxn(l record.Layout, id job.ID, open rows.Version, e record.EndedJob, expires time.Duration) (rows.Txn, error) {
	value, err := record.Encode(e)
	if err != nil {
		return rows.Txn{}, err
	}
	return rows.Txn{
		If:     []rows.Condition{{Key: l.OpenKey(id), Version: open}},
		Remove: []rows.Key{l.OpenKey(id)},
		Put:    []rows.Row{{Key: l.EndedKey(id), Value: value}, {Key: l.ExpiryKey(id, expires), Value: []byte("{}")}},
	}, nil
}
