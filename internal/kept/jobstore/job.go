package jobstore

import (
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/kept/record"
)

// JobOp returns a write of a job's rows. After a conflict, Result.Stored returns the rows that the store has instead.
func JobOp(l record.Layout, id job.ID, t rows.Txn) Op {
	return Op{Part: l.Part(id), ReadOnConflict: []rows.Key{l.OpenKey(id), l.EndedKey(id)}, Txn: t}
}

// StoredJob holds the rows that the store had of a job when a condition of a JobOp did not hold. A field is nil if there is
// no such row or if it can't be decoded.
type StoredJob struct {
	Open  *record.OpenJob
	Ended *record.EndedJob
	// Version is the version of the open row; zero means that there is none.
	Version rows.Version
}

// Stored decodes the rows that were found after the conflict of a JobOp.
func (r Result) Stored(log *logrus.Entry) StoredJob {
	open, ended := r.Found[0], r.Found[1] // in the order of JobOp
	return StoredJob{Open: decode[record.OpenJob](open, log), Ended: decode[record.EndedJob](ended, log), Version: open.Version}
}

// decode decodes a row's value. It returns nil if the row does not exist or can't be decoded; the latter is logged.
func decode[T any](row rows.Row, log *logrus.Entry) *T {
	if row.Version == 0 {
		return nil
	}
	v, err := record.Decode[T](row)
	if err != nil {
		record.LogUnreadable(log, err)
		return nil
	}
	return &v
}

// IsOpenAs reports whether the open row is the one that a write put. Then an attempt that got no answer was done.
func (p StoredJob) IsOpenAs(written record.OpenJob) bool {
	return p.Open != nil && p.Open.Owner == written.Owner && p.Open.Sequence == written.Sequence
}
