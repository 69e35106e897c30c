// Package record defines the rows in which the platform's store keeps jobs that must outlive all processes, and the
// leases of the entries that act for them.
//
// A job has one row that is written once, one that its owner rewrites while it is open, and one once it has ended.
// They have the same part, so that one transaction changes them together.
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
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
)

// The tables. Rows of the first five have the job's part and, but for expiries, its id as their name.
const (
	jobsTable   rows.Table = "hillreel_jobs"
	openTable   rows.Table = "hillreel_jobs_open"
	endedTable  rows.Table = "hillreel_jobs_ended"
	expiryTable rows.Table = "hillreel_jobs_expiry"
	// Cancels is followed: a row says that another entry than the owner has cancelled the job.
	Cancels rows.Table = "hillreel_jobs_cancelled"
	// Leases has a row for each entry that owns open jobs; its part is empty.
	Leases rows.Table = "hillreel_job_leases"
)

// LeaseID names one lease of one entry.
type LeaseID string

// Layout says how jobs are spread over the parts of the store.
type Layout struct {
	// Parts is at least 1, and the same for all processes of a deployment for ever.
	Parts int
}

// part returns the name of the part with a number.
func partName(n int) string { return "job-" + strconv.Itoa(n) }

// Part returns the part that holds a job.
func (l Layout) Part(id job.ID) string {
	h := fnv.New32a()
	fmt.Fprint(h, id) //nolint:errcheck // a hash takes everything
	return partName(int(h.Sum32() % uint32(l.Parts)))
}

// All lists the parts.
func (l Layout) AllParts() []string {
	out := make([]string, l.Parts)
	for i := range out {
		out[i] = partName(i)
	}
	return out
}

// JobKey is where a job's request lies.
func (l Layout) JobKey(id job.ID) rows.Key { return l.key(jobsTable, id) }

// OpenKey is where a job's progress lies until it has ended.
func (l Layout) OpenKey(id job.ID) rows.Key { return l.key(openTable, id) }

// EndedKey is where the state of a job that has ended lies.
func (l Layout) EndedKey(id job.ID) rows.Key { return l.key(endedTable, id) }

// CancelKey is where a cancellation by another entry than the owner lies.
func (l Layout) CancelKey(id job.ID) rows.Key { return l.key(Cancels, id) }

func (l Layout) key(t rows.Table, id job.ID) rows.Key {
	return rows.Key{Table: t, Part: l.Part(id), Name: id.String()}
}

// LeaseKey is where a lease lies.
func LeaseKey(id LeaseID) rows.Key { return rows.Key{Table: Leases, Name: string(id)} }

// OpenRows is the range of the open jobs of a part.
func OpenRows(part string) rows.Range { return rows.Range{Table: openTable, Part: part} }

// expiryDigits is the width of a time in an expiry's name: milliseconds of the store's clock, for 300 years.
const expiryDigits = 13

// ExpiryKey is where it lies that a job may be forgotten from a moment of the store's clock on.
func (l Layout) ExpiryKey(id job.ID, at time.Duration) rows.Key {
	k := l.key(expiryTable, id)
	k.Name = fmt.Sprintf("%0*d-%s", expiryDigits, at.Milliseconds(), id)
	return k
}

// ExpiredRows is the range of expiries of a part before a moment.
func ExpiredRows(part string, now time.Duration) rows.Range {
	return rows.Range{Table: expiryTable, Part: part, To: fmt.Sprintf("%0*d", expiryDigits, now.Milliseconds())}
}

// Forget lists what goes with an expiry's row; that alone when its name can't be read.
func (l Layout) ExpiredJobKeys(k rows.Key) []rows.Key {
	_, text, _ := strings.Cut(k.Name, "-")
	id, err := job.ParseID(text)
	if err != nil {
		return []rows.Key{k}
	}
	return []rows.Key{k, l.JobKey(id), l.EndedKey(id), l.CancelKey(id)}
}

// JobOf reads the id in the name of a row of a job.
func ParseJobID(k rows.Key) (job.ID, error) {
	id, err := job.ParseID(k.Name)
	return id, errors.Wrapf(err, "record: row %s/%s", k.Table, k.Name)
}

// Job is a job as its caller submitted it, with its queue as it was then.
type Job struct {
	Spec  job.Spec    `json:"spec"`
	Route route.Route `json:"route"`
}

// End is the end of a run that counts: it ended well, or failed through the task's own fault or its upstream's.
type End struct {
	Step, Index uint32
	Run         job.Run
	// Failed is true unless it ended well.
	Failed bool
}

// TaskRun names a run of a task.
type TaskRun struct {
	Step  uint32  `json:"step"`
	Index uint32  `json:"index"`
	Run   job.Run `json:"run"`
}

// Checkpoint is what a task's newest run has saved.
type Checkpoint struct {
	Step  uint32 `json:"step"`
	Index uint32 `json:"index"`
	Text  string `json:"text"`
}

// Open is a job that has not ended.
type OpenJob struct {
	Owner LeaseID `json:"owner"`
	// Generation counts the owners, Sequence the writes, both from 1.
	Generation uint32 `json:"generation"`
	Sequence   uint64 `json:"sequence"`
	// Void are, by task, the last runs that were given up while their agents were out of hearing: ends of theirs that are
	// not among Ends count for nothing, and of no earlier generation's either.
	VoidRuns    []TaskRun    `json:"void,omitempty"`
	Ends        Ends         `json:"ends,omitempty"`
	Checkpoints []Checkpoint `json:"checkpoints,omitempty"`
	// Crashes are of upstreams that were lost under tasks of the job.
	Crashes []crash.Row `json:"crashes,omitempty"`
}

// Ended is how a job has ended.
type EndedJob struct {
	State verdict.State `json:"state"`
	// By is the owner that says so, or empty when the job was cancelled by another entry.
	By LeaseID `json:"by,omitempty"`
	// Runs are the runs by which tasks of a complete job have ended well, where that was not the first.
	Runs Ends `json:"runs,omitempty"`
}

// Counted tells whether a run is one by which a task of the job has ended well, as far as the row says.
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
	// UntilMs is when the lease ends, by the store's clock.
	UntilMs int64 `json:"until_ms"`
	// Adopter has claimed the jobs of the lease, which has ended before.
	Adopter LeaseID `json:"adopter,omitempty"`
	// Waiting counts the entry's jobs that have not begun, by queue.
	Waiting map[route.Name]int `json:"waiting,omitempty"`
}

// Until is when the lease ends, by the store's clock.
func (l *Lease) Until() time.Duration { return time.Duration(l.UntilMs) * time.Millisecond }

// Value encodes one of the types above.
func Encode(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	return raw, errors.Wrap(err, "record: encode")
}

// Read decodes a row's value.
func Decode[T any](r rows.Row) (T, error) {
	var v T
	err := json.Unmarshal(r.Value, &v)
	return v, errors.Wrapf(err, "record: row %s/%s", r.Key.Table, r.Key.Name)
}
