package jobstore

import (
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/kept/record"
)

// JobOp is a write of a job's rows, after whose conflict Result.Present tells what is there.
func JobOp(l record.Layout, id job.ID, t rows.Txn) Op {
	return Op{Part: l.Part(id), ReadOnConflict: []rows.Key{l.OpenKey(id), l.EndedKey(id)}, Txn: t}
}

// Present is what the store has of a job when a condition of a JobOp did not hold; nil is no row, or an unreadable one.
type StoredJob struct {
	Open  *record.OpenJob
	Ended *record.EndedJob
	// Version is that of the open row; zero is none.
	Version rows.Version
}

// Present decodes the rows that were there instead of what a JobOp expected.
func (r Result) Stored(log *logrus.Entry) StoredJob {
	open, ended := r.Found[0], r.Found[1] // as JobOp has listed them
	return StoredJob{Open: decode[record.OpenJob](open, log), Ended: decode[record.EndedJob](ended, log), Version: open.Version}
}

// decode decodes a row's value; nil is no row, or one that can't be decoded.
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

// Has tells whether the open row is the one that a write has put there: then an attempt without an answer was done.
func (p StoredJob) IsOpenAs(written record.OpenJob) bool {
	return p.Open != nil && p.Open.Owner == written.Owner && p.Open.Sequence == written.Sequence
}
