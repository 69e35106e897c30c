// Package record defines the rows in which the platform's store holds kept jobs, which are durable, and the leases of the
// entries that own them.
//
// A job has one row that is written once, one row that its owner rewrites while the job is open, and one row once the job has
// ended. All are in the same part, so that one transaction can change them together.
package record

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
)

// The tables. Rows of the first five are in the job's part. Their name is the job's id, except in expiryTable.
const (
	jobsTable   rows.Table = "hillreel_jobs"
	openTable   rows.Table = "hillreel_jobs_open"
	endedTable  rows.Table = "hillreel_jobs_ended"
	expiryTable rows.Table = "hillreel_jobs_expiry"
	// Cancels has a row for each job that was cancelled by an entry that does not own it. Owners follow this table.
	Cancels rows.Table = "hillreel_jobs_cancelled"
	// Leases has a row for each entry that owns open jobs. The rows have an empty part.
	Leases rows.Table = "hillreel_job_leases"
)

// LeaseID identifies one lease of one entry.
type LeaseID string

// Layout determines how jobs are distributed over the parts of the store.
type Layout struct {
	// Parts is the number of parts, at least 1. It must be the same in all processes of a deployment and must never change,
	// because it determines where the rows of a job are.
	Parts int
}

// partName returns the name of part n.
func partName(n int) string { return "job-" + strconv.Itoa(n) }

// Part returns the part that holds a job.
func (l Layout) Part(id job.ID) string {
	h := fnv.New32a()
	fmt.Fprint(h, id) //nolint:errcheck // a hash takes everything
	return partName(int(h.Sum32() % uint32(l.Parts)))
}

// AllParts lists the names of all parts.
func (l Layout) AllParts() []string {
	out := make([]string, l.Parts)
	for i := range out {
		out[i] = partName(i)
	}
	return out
}

// JobKey returns the key of the row that holds the job as submitted.
func (l Layout) JobKey(id job.ID) rows.Key { return l.key(jobsTable, id) }

// OpenKey returns the key of the row that holds a job's progress until the job has ended.
func (l Layout) OpenKey(id job.ID) rows.Key { return l.key(openTable, id) }

// EndedKey returns the key of the row that holds the state of an ended job.
func (l Layout) EndedKey(id job.ID) rows.Key { return l.key(endedTable, id) }

// CancelKey returns the key of the row that holds a cancellation by an entry that does not own the job.
func (l Layout) CancelKey(id job.ID) rows.Key { return l.key(Cancels, id) }

func (l Layout) key(t rows.Table, id job.ID) rows.Key {
	return rows.Key{Table: t, Part: l.Part(id), Name: id.String()}
}

// LeaseKey returns the key of a lease's row.
func LeaseKey(id LeaseID) rows.Key { return rows.Key{Table: Leases, Name: string(id)} }

// OpenRows returns the range of the open jobs of a part.
func OpenRows(part string) rows.Range { return rows.Range{Table: openTable, Part: part} }

// expiryDigits is the width of the time in an expiry's name, in milliseconds of the store's clock. It is enough for 300 years.
const expiryDigits = 13

// ExpiryKey returns the key of the row which says that a job's rows may be deleted once the store's clock has reached at.
func (l Layout) ExpiryKey(id job.ID, at time.Duration) rows.Key {
	k := l.key(expiryTable, id)
	k.Name = fmt.Sprintf("%0*d-%s", expiryDigits, at.Milliseconds(), id)
	return k
}

// ExpiredRows returns the range of the expiries of a part before now, by the store's clock.
func ExpiredRows(part string, now time.Duration) rows.Range {
	return rows.Range{Table: expiryTable, Part: part, To: fmt.Sprintf("%0*d", expiryDigits, now.Milliseconds())}
}

// ExpiredJobKeys lists the keys to delete for an expiry's row: its own, and those of the job's other rows. If the job's id
// can't be parsed from the name, it lists only the expiry's own key.
func (l Layout) ExpiredJobKeys(k rows.Key) []rows.Key {
	_, text, _ := strings.Cut(k.Name, "-")
	id, err := job.ParseID(text)
	if err != nil {
		return []rows.Key{k}
	}
	return []rows.Key{k, l.JobKey(id), l.EndedKey(id), l.CancelKey(id)}
}

// ParseJobID parses the job's id in the name of a row.
func ParseJobID(k rows.Key) (job.ID, error) {
	id, err := job.ParseID(k.Name)
	return id, errors.Wrapf(err, "record: row %s/%s", k.Table, k.Name)
}

// Job is a job as its caller submitted it, with the settings of its route at that time.
type Job struct {
	Spec  job.Spec    `json:"spec"`
	Route route.Route `json:"route"`
}

// End is a counted end of a run: the run ended well, or failed by the fault of the task or its upstream.
type End struct {
	Step, Index uint32
	Run         job.Run
	// Failed is true unless the run ended well.
	Failed bool
}

// TaskRun identifies a run of a task.
type TaskRun struct {
	Step  uint32  `json:"step"`
	Index uint32  `json:"index"`
	Run   job.Run `json:"run"`
}

// Checkpoint is the checkpoint that a task's newest run has saved.
type Checkpoint struct {
	Step  uint32 `json:"step"`
	Index uint32 `json:"index"`
	Text  string `json:"text"`
}

// Upstream identifies the life of the upstream on a VM.
type Upstream struct {
	VM   ident.UpstreamName `json:"vm"`
	ID   ident.UpstreamID   `json:"id"`
	Born ident.Born         `json:"born_ms,omitempty"`
}

// OpenJob is the state of a job that has not ended.
type OpenJob struct {
	Owner LeaseID `json:"owner"`
	// Generation counts the ownerships of the job, and Sequence the writes of this row. Both start at 1.
	Generation uint32 `json:"generation"`
	Sequence   uint64 `json:"sequence"`
	// VoidRuns holds, by task, the last run that was given up because its agent could not be reached. Ends of this run and
	// earlier ones count only if they are in Ends; the same holds for ends of earlier generations.
	VoidRuns    []TaskRun    `json:"void,omitempty"`
	Ends        Ends         `json:"ends,omitempty"`
	Checkpoints []Checkpoint `json:"checkpoints,omitempty"`
	// Crashes are the losses of upstreams that were running tasks of the job.
	Crashes []crash.Row `json:"crashes,omitempty"`
	// Unconfirmed are the runs of suspected tasks, and of tasks of late generations, whose ends are not known. Each is a crash if another
	// upstream runs on its VM after its entry and its agent have ended.
	Unconfirmed []crash.Row `json:"unconfirmed,omitempty"`
	// Beside are upstreams on other VMs that were up when the last of the unconfirmed runs was ordered. If none of them is up when the job
	// is taken over, an outage may have taken the runs' upstreams too.
	Beside []Upstream `json:"beside,omitempty"`
}

// EndedJob is the state of a job that has ended.
type EndedJob struct {
	// State is verdict.Unknown in a tombstone: the job was cancelled before it was stored, and must not be stored any more.
	State verdict.State `json:"state"`
	// By is the lease of the owner that ended the job. It is empty if another entry cancelled the job.
	By LeaseID `json:"by,omitempty"`
	// Owner is set if another entry cancelled the job: the lease of the owner, which may not know of that yet.
	Owner LeaseID `json:"owner,omitempty"`
	// Runs holds the runs by which tasks of a complete job have ended well, except for tasks whose first run did.
	Runs Ends `json:"runs,omitempty"`
}

// IsTombstone reports whether the job was cancelled before it was stored.
func (e *EndedJob) IsTombstone() bool { return e.State == verdict.Unknown }

// Counted reports whether, according to the row, a task of the job has ended well by this run.
func (e *EndedJob) Counted(step, index uint32, run job.Run) bool {
	if e.State != verdict.Complete {
		return false
	}
	for _, r := range e.Runs {
		if r.Step == step && r.Index == index {
			return r.Run == run
		}
	}
	return run == 1
}

// Lease is an entry's right to act for the jobs that it owns.
type Lease struct {
	// Node is the entry's VM.
	Node string `json:"node"`
	// Link is the entry's link address. Leases that an earlier release has written lack it.
	Link ident.Address `json:"link,omitempty"`
	// UntilMs is when the lease expires, in milliseconds of the store's clock.
	UntilMs int64 `json:"until_ms"`
	// Adopter is the lease of the entry that has claimed the jobs of this lease after it expired.
	Adopter LeaseID `json:"adopter,omitempty"`
	// Waiting is, by queue, the number of the entry's jobs that have not started.
	Waiting map[route.Name]int `json:"waiting,omitempty"`
}

// maxLease is longer than any lease lasts.
const maxLease = time.Hour

// Until returns when the lease expires, by the store's clock.
func (l *Lease) Until() time.Duration { return time.Duration(l.UntilMs) * time.Millisecond }

// IsValid reports whether the lease can have been written by an entry, given the store's clock.
func (l *Lease) IsValid(now time.Duration) bool {
	return l.UntilMs >= 0 && l.UntilMs <= (now+maxLease).Milliseconds()
}

// Encode encodes a row's value, which is one of the types above.
func Encode(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	return raw, errors.Wrap(err, "record: encode")
}

// Decode decodes a row's value. Its error names the row.
func Decode[T any](r rows.Row) (T, error) {
	var v T
	err := json.Unmarshal(r.Value, &v)
	return v, errors.Wrapf(err, "record: row %s/%s", r.Key.Table, r.Key.Name)
}
