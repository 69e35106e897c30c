// Package ledger is an agent's memory of what it started. It is the only authority on whether a task
// started here: it accepts each task at most once, refuses older generations, and keeps results and
// recorded decisions until the id's retention has passed.
//
// A Ledger is a plain state machine: one goroutine calls it, it does no I/O and reads no clock but the one
// it was given. docs/DESIGN.md, "Starting a task at most once", gives the rules.
package ledger

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/retention"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
)

// Sender sends a message to an entry, or drops it when there is no link to that incarnation.
type Sender interface {
	Send(to ident.Incarnation, m *wire.Msg)
}

// Runner begins a task on the upstream and returns at once; the outcome comes back through Ledger.Ended.
type Runner interface {
	Run(t Task)
}

// Task is what a Runner needs to know.
type Task struct {
	Key     ident.Key
	Index   ident.TaskIndex
	Service ident.Service
	Kind    string
	Payload []byte
}

// Outcome is how a run ended.
type Outcome struct {
	// Verdict is NotRun only if no byte reached the upstream.
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// OK: the upstream answered with success.
	OK      bool
	Status  uint32
	Answer  []byte
	RunTime time.Duration
}

// Options configure a Ledger. All fields but Omit are needed.
type Options struct {
	Incarnation ident.Incarnation
	// Slots is how many tasks run at once.
	Slots int
	// QueueLimit is how many accepted tasks may wait for a slot.
	QueueLimit int
	// Retention is how long an id is remembered, from its minting.
	Retention time.Duration
	// AnswerGrace is how long an acknowledged answer is kept for an adopter.
	AnswerGrace time.Duration
	// AnswerBytes bounds all answers kept; the oldest are dropped first.
	AnswerBytes int
	// Now must never go backwards.
	Now  func() time.Time
	Omit rule.Set
}

type taskState string

const (
	queued  taskState = "queued"
	running taskState = "running"
	ended   taskState = "ended"
)

type task struct {
	state taskState
	// start is released once the task has ended.
	start *wire.Start
	gen   ident.Generation
	// result is set exactly when state is ended.
	result *wire.Result
	// before is the result of an earlier attempt of a repeatable task; it counts again if this attempt
	// is taken back.
	before   *wire.Result
	acked    bool
	attempt  uint32
	enqueued time.Time
	// queuedFor is how long it waited for a slot.
	queuedFor time.Duration
}

type job struct {
	key      ident.Key
	mintedMs int64
	// gen only grows.
	gen ident.Generation
	// holder is the entry that last sent a message of gen; results go there.
	holder ident.Incarnation
	count  uint32
	digest []byte
	tasks  map[uint32]*task
	// decision is set at most once.
	decision *wire.Decision
	// past holds all holders so far; filled only when rule NewestResults is left out.
	past map[ident.Incarnation]bool
}

type taskRef struct {
	key   ident.Key
	index uint32
}

// Ledger is the agent's control state.
type Ledger struct {
	opt    Options
	sender Sender
	runner Runner
	jobs   map[ident.Key]*job
	// links holds the newest link number of each entry; messages of older links are dropped.
	links map[ident.Incarnation]uint64
	queue []taskRef
	// running is the number of tasks in state running, at most opt.Slots.
	running int
	// queued is the number of tasks in state queued; queue may also hold refs that were withdrawn.
	queued int
	// ids knows which ids are valid, and when to forget a job.
	ids *retention.Index
	// rosters holds, by digest, the rosters that name this agent.
	rosters  map[string]keptRoster
	answers  answerQueue
	leaving  bool
	allow    func(ident.Service) bool
	sentLoad Load
	counts   Counts
}

// unknownLoad differs from every load.
var unknownLoad = Load{-1, -1}

// Load is what an agent reports to the entries.
type Load struct{ Queued, Running int }

// Counts are totals since the start, for expvar.
type Counts struct {
	Accepted, Started, Refused, Withdrawn, Fenced, Sealed, Recorded, Expired, StaleLink int64
}

// New returns an empty Ledger.
func New(opt Options, sender Sender, runner Runner) *Ledger {
	l := &Ledger{
		opt: opt, sender: sender, runner: runner,
		jobs:  make(map[ident.Key]*job),
		links: make(map[ident.Incarnation]uint64),
		ids:   retention.New(opt.Retention, opt.Now),

		rosters: make(map[string]keptRoster),
		allow:   func(ident.Service) bool { return true },
	}
	return l
}

// Counts returns totals since the start.
func (l *Ledger) Counts() Counts { return l.counts }

// Load returns the present load.
func (l *Ledger) Load() Load { return Load{Queued: l.queued, Running: l.running} }

// Generation returns the newest generation seen of a job, or the zero one.
func (l *Ledger) Generation(key ident.Key) ident.Generation {
	if j := l.jobs[key]; j != nil {
		return j.gen
	}
	return ident.Generation{}
}

// Jobs returns how many jobs are remembered.
func (l *Ledger) Jobs() int { return len(l.jobs) }

// LinkUp makes link the newest of an entry: whatever still arrives on an older one is dropped. Without
// this a start delayed on a lost link could be accepted after the entry was told "not started here".
func (l *Ledger) LinkUp(entry ident.Incarnation, link uint64) {
	l.links[entry] = max(link, l.links[entry])
	l.sender.Send(entry, l.loadMsg())
	// What this entry was told now may differ from what the others were told last.
	l.sentLoad = unknownLoad
}

// LinkDown forgets a link's number unless a newer link replaced it.
func (l *Ledger) LinkDown(entry ident.Incarnation, link uint64) {
	if l.links[entry] == link {
		delete(l.links, entry)
	}
}

// Handle takes one message from an entry.
func (l *Ledger) Handle(from ident.Incarnation, link uint64, m *wire.Msg) {
	if l.links[from] != link && l.opt.Omit.Holds(rule.NewestLink) {
		l.counts.StaleLink++
		return
	}
	switch k := m.GetKind().(type) {
	case *wire.Msg_Start:
		l.handleStart(from, k.Start)
	case *wire.Msg_Withdraw:
		l.handleWithdraw(from, k.Withdraw)
	case *wire.Msg_Seal:
		l.handleSeal(from, k.Seal)
	case *wire.Msg_Record:
		l.handleRecord(from, k.Record)
	case *wire.Msg_Ack:
		l.handleAck(k.Ack)
	case *wire.Msg_Roster:
		l.handleRoster(from, k.Roster)
	case *wire.Msg_RosterAsk:
		l.handleRosterAsk(from, k.RosterAsk)
	}
}

// Ended takes the outcome of a task that Runner began.
func (l *Ledger) Ended(key ident.Key, index ident.TaskIndex, o Outcome) {
	j := l.jobs[key]
	if j == nil || j.tasks[uint32(index)] == nil {
		return
	}
	t := j.tasks[uint32(index)]
	invariant.Check(t.state == running, invariant.StartedOnce, func() logrus.Fields {
		return logrus.Fields{"job": key, "task": index, "state": t.state}
	})
	l.running--
	r := &wire.Result{
		Key: key.Wire(), Index: uint32(index), Verdict: string(o.Verdict), Reason: string(o.Reason),
		Ok: o.OK, Status: o.Status, Answer: o.Answer, Attempt: t.attempt,
		RunMs: uint32(o.RunTime.Milliseconds()), QueueMs: uint32(t.queuedFor.Milliseconds()),
	}
	if o.Verdict == verdict.NotRun {
		j.undo(uint32(index))
	} else {
		t.state, t.result, t.start = ended, r, nil
		l.keepAnswer(taskRef{key, uint32(index)}, len(o.Answer))
	}
	l.report(j, r)
	l.pump()
}

// Leave makes the agent refuse new work and hand back what is queued. What has begun goes on.
func (l *Ledger) Leave() {
	l.leaving = true
	l.handBack()
}

// SetAllow sets which services configuration lets the agent serve. What is queued of others is handed back.
func (l *Ledger) SetAllow(allow func(ident.Service) bool) {
	l.allow = allow
	l.handBack()
}

// handBack refuses the queued tasks that may not start here any more.
func (l *Ledger) handBack() {
	kept := l.queue[:0]
	for _, ref := range l.queue {
		j := l.jobs[ref.key]
		if j == nil || j.tasks[ref.index] == nil || j.tasks[ref.index].state != queued {
			continue
		}
		t := j.tasks[ref.index]
		why := l.forbidden(ident.Service(t.start.GetService()))
		if why == "" {
			kept = append(kept, ref)
			continue
		}
		l.drop(j, ref.index)
		l.report(j, notRun(j.key, ref.index, t.attempt, why))
	}
	l.queue = kept
}

// forbidden says why no task of a service may start here now, or "".
func (l *Ledger) forbidden(s ident.Service) verdict.Reason {
	switch {
	case l.leaving:
		return verdict.AgentLeaving
	case !l.allow(s):
		return verdict.Cordoned
	}
	return ""
}

// Idle tells whether nothing is queued or running.
func (l *Ledger) Idle() bool { return l.queued == 0 && l.running == 0 }

// Unacked counts ended tasks whose results no entry has acknowledged.
func (l *Ledger) Unacked() int {
	n := 0
	for _, j := range l.jobs {
		for _, t := range j.tasks {
			if t.state == ended && !t.acked {
				n++
			}
		}
	}
	return n
}

// Tick forgets what has expired and reports load that has changed.
func (l *Ledger) Tick() {
	l.ids.Tick(l.forgetJob)
	l.dropOldAnswers()
	l.dropOldRosters()
	if load := l.Load(); load != l.sentLoad {
		l.sentLoad = load
		for entry := range l.links {
			l.sender.Send(entry, l.loadMsg())
		}
	}
}

func (l *Ledger) loadMsg() *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Load{Load: &wire.Load{
		Queued: uint32(l.queued), Running: uint32(l.running),
	}}}
}

// pump starts queued tasks while slots are free. A task is marked as running before the upstream sees a byte.
func (l *Ledger) pump() {
	for l.running < l.opt.Slots && len(l.queue) > 0 {
		ref := l.queue[0]
		l.queue = l.queue[1:]
		j := l.jobs[ref.key]
		if j == nil || j.tasks[ref.index] == nil || j.tasks[ref.index].state != queued {
			continue
		}
		t := j.tasks[ref.index]
		t.state = running
		t.queuedFor = l.opt.Now().Sub(t.enqueued)
		l.queued--
		l.running++
		l.counts.Started++
		l.runner.Run(Task{
			Key: j.key, Index: ident.TaskIndex(ref.index), Service: ident.Service(t.start.GetService()),
			Kind: t.start.GetTaskKind(), Payload: t.start.GetPayload(),
		})
	}
}

// drop removes a queued task: it was never started.
func (l *Ledger) drop(j *job, index uint32) {
	j.undo(index)
	l.queued--
	l.counts.Withdrawn++
}

// undo takes back an attempt that sent nothing to the upstream.
func (j *job) undo(index uint32) {
	t := j.tasks[index]
	if t.before == nil {
		delete(j.tasks, index)
		return
	}
	j.tasks[index] = &task{state: ended, result: t.before, attempt: t.before.GetAttempt()}
}

// report sends a result to the newest generation's holder.
func (l *Ledger) report(j *job, r *wire.Result) {
	m := &wire.Msg{Kind: &wire.Msg_Result{Result: r}}
	l.sender.Send(j.holder, m)
	for entry := range j.past {
		if entry != j.holder {
			l.sender.Send(entry, m)
		}
	}
}

func notRun(key ident.Key, index, attempt uint32, why verdict.Reason) *wire.Result {
	return &wire.Result{
		Key: key.Wire(), Index: index, Attempt: attempt, Verdict: string(verdict.NotRun), Reason: string(why),
	}
}
