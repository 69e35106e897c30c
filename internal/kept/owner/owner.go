// Package owner manages the kept jobs that one entry owns. A kept job is durable: it survives the loss of every process.
// The package is a state machine without I/O and without its own clock; one goroutine uses it.
//
// A job is accepted once its rows are in the store. The owning entry may act for its jobs only while it holds its lease.
// After the lease has expired, another entry takes each job over by a conditional write, asks all agents for ends of runs
// that are not stored yet, and then continues the job. The end of a run is stored before the upstream may discard it. The
// end of a job is stored before callers are told of it.
package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/acks"
	"hillreel/internal/kept/claims"
	"hillreel/internal/kept/inquiry"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/lease"
	"hillreel/internal/kept/recent"
	"hillreel/internal/kept/record"
)

// Store starts reads and writes. Their results arrive later at the Owner through HandleWriteResult, HandleLeases,
// HandleScan, HandleFetch and HandleLookUp.
type Store interface {
	// Unavailable reports whether the store has not answered for some time. The outcome of a write that is started then
	// stays unknown for a long time.
	Unavailable() bool
	Write(op jobstore.Op)
	ReadLeases()
	Scan()
	Fetch(ids []job.ID)
	LookUp(id job.ID)
}

// Table schedules the tasks of jobs; it is the entry's dispatch table.
type Table interface {
	Submit(now time.Time, r dispatch.Request)
	Release(now time.Time, id job.ID, why verdict.Reason)
	PlaceAgain(now time.Time, task job.TaskID)
	// Waiting returns, by queue, the number of jobs that have not started.
	Waiting() map[route.Name]int
}

// Agents sends messages to agents.
type Agents interface {
	inquiry.Agents
	acks.Agents
}

// Options configures an Owner.
type Options struct {
	// Node is the entry's VM, Link its link address. Incarnation identifies this process of the entry.
	Node        string
	Link        ident.Address
	Incarnation ident.Incarnation
	Layout      record.Layout
	// LeaseDuration is how long the entry's lease lasts. RenewInterval is the pause between renewals.
	LeaseDuration, RenewInterval time.Duration
	// MaxRow bounds the value of a row, in bytes.
	MaxRow int
	// MaxTasks bounds the tasks of a job; zero is no bound.
	MaxTasks int
	// Retention is how long the state of an ended job can be queried.
	Retention time.Duration
	// SettleTime is how long runs of an entry may go on after the entry has stopped acting.
	SettleTime time.Duration
	// Without disables safety rules, for experiments only.
	Without rule.Set
	// Count increments the metric of an event.
	Count func(event string)
	Log   *logrus.Entry
}

// Owner holds the kept jobs that one entry owns or is taking over.
type Owner struct {
	opts    Options
	store   Store
	table   Table
	callers dispatch.Callers

	jobs      map[job.ID]*keptJob
	endedJobs *recent.Jobs
	// unsettled counts, by job, the writes of first rows that have no result yet and whose job this entry has let go. Such a job may be
	// stored later.
	unsettled map[job.ID]int
	// acks tells agents which ends are stored and which are void.
	acks *acks.Sender
	// pendingWrites holds the callbacks of the writes in progress, by id.
	pendingWrites map[jobstore.OpID]func(now time.Time, r jobstore.Result)
	lastWrite     jobstore.OpID

	lease *lease.Lease
	// claims tracks the expired leases of other entries whose jobs this entry takes over.
	claims *claims.Claims
	// inquiry asks agents for the ends of jobs that were taken over.
	inquiry *inquiry.Inquiry
}

// phase is the stage of a kept job on this entry.
type phase string

const (
	// awaitingLease: the job waits until the entry holds a lease.
	awaitingLease phase = "asked"
	// accepting: the job's rows are being written.
	accepting phase = "accepting"
	// takingOver: the job is being taken over from another entry, or from an earlier generation of this one.
	takingOver phase = "adopting"
	// running: the job is in the dispatch table.
	running phase = "running"
)

// keptJob is one job that this entry owns, or is about to own.
type keptJob struct {
	id     job.ID
	record record.Job
	// encodedRecord is the encoded record. It is nil once the write of the job's rows has started.
	encodedRecord []byte
	// requestID is the caller's own id of the request. It is only logged, not stored.
	requestID string
	phase     phase
	// callers wait for the job to be accepted. A job that still waits for a lease at acceptDeadline is refused.
	// cancellers wait for the job to end. watchers wait for the job to end until their own deadlines.
	callers        waiters
	acceptDeadline time.Time
	cancellers     waiters
	watchers       waiters

	// open is the job's open row as it will be written next. version is the version of the row in the store.
	open    record.OpenJob
	version rows.Version
	// writing is true while a write of the job is in progress.
	writing bool
	// unstoredEnds are the ends that the next write stores; endsInWrite are those of the write in progress. unstoredSince
	// is when the oldest of unstoredEnds arrived.
	unstoredEnds, endsInWrite []acks.End
	unstoredSince             time.Time
	// lostTasks are the tasks whose last run was given up. They are placed again once the next write has stored that the
	// run is void. lostTasksInWrite are those of the write in progress.
	lostTasks, lostTasksInWrite []job.TaskID
	// mustWrite is true if the open row has changed and the change must not wait for the next end of a run.
	mustWrite bool
	// newGeneration is true if the next write starts a new generation of the job under this same entry.
	newGeneration bool
	// finalState is empty until the job has ended.
	finalState verdict.State
}

// New returns an Owner without jobs.
func New(opts Options, s Store, t Table, a Agents, c dispatch.Callers, now time.Time) *Owner {
	o := &Owner{
		opts: opts, store: s, table: t, callers: c, jobs: make(map[job.ID]*keptJob), endedJobs: recent.New(), unsettled: make(map[job.ID]int),
		pendingWrites: make(map[jobstore.OpID]func(time.Time, jobstore.Result)),
		acks:          acks.New(a, s, opts.Log), inquiry: inquiry.New(a, opts.SettleTime, opts.Without),
	}
	o.lease = lease.New(lease.Options{
		Node: opts.Node, Link: opts.Link, Incarnation: opts.Incarnation, Duration: opts.LeaseDuration, RenewInterval: opts.RenewInterval,
		Without: opts.Without, Log: opts.Log,
	}, leaseCallbacks{o}, now)
	o.claims = claims.New(claims.Options{
		Node: opts.Node, LeaseDuration: opts.LeaseDuration, SettleTime: opts.SettleTime, LogEvent: o.logEvent, Log: opts.Log,
	}, o.lease, leaseCallbacks{o})
	return o
}

// Len returns the number of jobs that the Owner holds. Ended jobs are not counted.
func (o *Owner) Len() int { return len(o.jobs) }

// startWrite starts a write; then is called with its result.
func (o *Owner) startWrite(op jobstore.Op, then func(now time.Time, r jobstore.Result)) {
	o.lastWrite++
	op.ID = o.lastWrite
	o.pendingWrites[op.ID] = then
	o.store.Write(op)
}

// HandleWriteResult handles the result of a write.
func (o *Owner) HandleWriteResult(now time.Time, r jobstore.Result) {
	then := o.pendingWrites[r.ID]
	delete(o.pendingWrites, r.ID)
	if then != nil {
		then(now, r)
	}
}

// encode encodes the value of a row.
func (o *Owner) encode(v any) []byte { return record.EncodeLogged(o.opts.Log, v) }

// logEvent logs and counts an event.
func (o *Owner) logEvent(level logrus.Level, name string, f logrus.Fields) {
	o.opts.Count(name)
	o.opts.Log.WithFields(f).Log(level, name)
}

// sortedJobs lists the jobs by id, so that the order of actions is deterministic.
func (o *Owner) sortedJobs() []*keptJob {
	return slices.SortedFunc(maps.Values(o.jobs), func(x, y *keptJob) int { return cmp.Compare(x.id, y.id) })
}

// Tick does all work that depends on time: it renews the lease, expires callers and stores overdue progress.
func (o *Owner) Tick(now time.Time) {
	o.lease.Tick(now, len(o.jobs) > 0 || o.claims.HasClaims())
	for _, k := range o.sortedJobs() {
		switch k.phase {
		case awaitingLease, accepting:
			o.expireCallers(now, k)
		case running:
			o.storeProgress(now, k)
		}
		o.answerDueWatchers(now, k)
	}
	o.inquiry.Tick(now)
	o.claims.RemoveFinished()
}

// NotBegun returns how many jobs of a queue have not started at other entries, according to the last read of their
// leases. The dispatch table counts this entry's own jobs.
func (o *Owner) NotBegun(r route.Name) int { return o.claims.NotBegun(r) }
