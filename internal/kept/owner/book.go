// Package book keeps the jobs that must outlive all processes, for the entry that owns them. It is a state machine
// without I/O and without a clock of its own; one goroutine uses it.
//
// A job is accepted once the store has its rows. Its owner acts for it while its own lease lives; when the lease has
// ended, another entry takes the job over by a conditional write, asks all agents for ends that nobody has stored, and
// goes on from there. Ends are stored before upstreams may forget them, and before callers hear of them.
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

// Store carries out writes and readings; each is answered later by Written, LeasesRead, Scanned, Fetched or Looked.
type Store interface {
	// Away tells whether the store has not answered for a while; what is written then is in doubt for long.
	Unavailable() bool
	Write(op jobstore.Op)
	ReadLeases()
	Scan()
	Fetch(ids []job.ID)
	LookUp(id job.ID)
}

// Table runs jobs.
type Table interface {
	Submit(now time.Time, r dispatch.Request)
	Release(now time.Time, id job.ID, why verdict.Reason)
	PlaceAgain(now time.Time, task job.TaskID)
	// Waiting counts the jobs that have not begun, by queue.
	Waiting() map[route.Name]int
}

// Agents sends to agents.
type Agents interface {
	inquiry.Agents
	acks.Agents
}

// Options are the settings of a Book.
type Options struct {
	// Node is the entry's VM, Incarnation this life of the entry.
	Node        string
	Incarnation ident.Incarnation
	Layout      record.Layout
	// Lease is how long the entry's lease lasts, Renew the pause between renewals.
	LeaseDuration, RenewInterval time.Duration
	// MaxRow bounds the value of a row, in bytes.
	MaxRow int
	// Keep is how long the state of a job that has ended can be asked for.
	Retention time.Duration
	// Settle is how long after an entry has stopped acting nothing of it runs any more.
	SettleTime time.Duration
	// Without leaves out safety rules, for experiments only.
	Without rule.Set
	// Count counts an event, for metrics.
	Count func(event string)
	Log   *logrus.Entry
}

// Book holds the kept jobs of one entry.
type Owner struct {
	opts    Options
	store   Store
	table   Table
	callers dispatch.Callers

	jobs      map[job.ID]*keptJob
	endedJobs *recent.Jobs
	// notes tells agents which ends are stored.
	acks *acks.Sender
	// ops are the writes under way, by id.
	pendingWrites map[jobstore.OpID]func(now time.Time, r jobstore.Result)
	lastWrite     jobstore.OpID

	lease *lease.Lease
	// claims are of other entries' leases that have ended.
	claims *claims.Claims
	// inquiry asks agents for ends of jobs that were taken over.
	inquiry *inquiry.Inquiry
}

// phase is where a kept job stands.
type phase string

const (
	// asked: it waits for the entry's lease.
	awaitingLease phase = "asked"
	// accepting: its rows are being written.
	accepting phase = "accepting"
	// adopting: it is being taken over from another entry.
	takingOver phase = "adopting"
	// running: it is in the table.
	running phase = "running"
)

// keptJob is one job that this entry owns, or is about to.
type keptJob struct {
	id     job.ID
	record record.Job
	// row is record as it is written, until that has begun.
	encodedRecord []byte
	// sender is its caller's own id of the request, for the log; it is not stored.
	sender string
	phase  phase
	// callers wait for its acceptance until giveUp, cancels for its end; watchers want to know its state, at the latest at
	// their deadlines.
	callers        waiters
	acceptDeadline time.Time
	cancellers     waiters
	watchers       waiters

	// open is the row as it is to be written next, version that of the row in the store.
	open    record.OpenJob
	version rows.Version
	// writing is true while a write of the job is under way.
	writing bool
	// unstored are ends that the next write stores, storing those of the write under way. dirtySince is when the oldest
	// of unstored came.
	unstoredEnds, endsInWrite []acks.End
	unstoredSince             time.Time
	// lost are tasks whose last run was given up, and which are placed again once the next write has said so; losing are
	// those of the write under way.
	lostTasks, lostTasksInWrite []job.TaskID
	// renew is true for a job that begins a new generation under this same entry with the next write.
	newGeneration bool
	// final is empty until the job has ended.
	finalState verdict.State
}

// New returns an empty Book.
func New(o Options, s Store, t Table, a Agents, c dispatch.Callers, now time.Time) *Owner {
	b := &Owner{
		opts: o, store: s, table: t, callers: c, jobs: make(map[job.ID]*keptJob), endedJobs: recent.New(),
		pendingWrites: make(map[jobstore.OpID]func(time.Time, jobstore.Result)),
		acks:          acks.New(a, s, o.Log), inquiry: inquiry.New(a, o.SettleTime, o.Without),
	}
	b.lease = lease.New(lease.Options{
		Node: o.Node, Incarnation: o.Incarnation, Duration: o.LeaseDuration, RenewInterval: o.RenewInterval, Without: o.Without, Log: o.Log,
	}, leaseCallbacks{b}, now)
	b.claims = claims.New(claims.Options{
		Node: o.Node, LeaseDuration: o.LeaseDuration, SettleTime: o.SettleTime, LogEvent: b.logEvent, Log: o.Log,
	}, b.lease, leaseCallbacks{b})
	return b
}

// Jobs returns how many jobs are held.
func (b *Owner) Len() int { return len(b.jobs) }

// write begins a write; then is called with what came of it.
func (b *Owner) startWrite(op jobstore.Op, then func(now time.Time, r jobstore.Result)) {
	b.lastWrite++
	op.ID = b.lastWrite
	b.pendingWrites[op.ID] = then
	b.store.Write(op)
}

// Written handles the end of a write.
func (b *Owner) HandleWriteResult(now time.Time, r jobstore.Result) {
	then := b.pendingWrites[r.ID]
	delete(b.pendingWrites, r.ID)
	if then != nil {
		then(now, r)
	}
}

// value encodes a row's value.
func (b *Owner) encode(v any) []byte { return record.EncodeLogged(b.opts.Log, v) }

// event logs and counts an event.
func (b *Owner) logEvent(level logrus.Level, name string, f logrus.Fields) {
	b.opts.Count(name)
	b.opts.Log.WithFields(f).Log(level, name)
}

// sorted lists the jobs in the order of their ids, so that runs repeat.
func (b *Owner) sortedJobs() []*keptJob {
	return slices.SortedFunc(maps.Values(b.jobs), func(x, y *keptJob) int { return cmp.Compare(x.id, y.id) })
}

// Tick does what time alone brings about.
func (b *Owner) Tick(now time.Time) {
	b.lease.Tick(now, len(b.jobs) > 0 || b.claims.HasClaims())
	for _, k := range b.sortedJobs() {
		switch k.phase {
		case awaitingLease, accepting:
			b.expireCallers(now, k)
		case running:
			b.storeProgress(now, k)
		}
		b.answerDueWatchers(now, k)
	}
	b.inquiry.Tick(now)
	b.claims.RemoveFinished()
}

// NotBegun counts a queue's jobs that have not begun at other entries, as they said last. This entry's own are counted
// by its table.
func (b *Owner) NotBegun(r route.Name) int { return b.claims.NotBegun(r) }
