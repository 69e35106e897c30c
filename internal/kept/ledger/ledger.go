// Package ledger reads and writes the rows of kept jobs in the platform's store. Writes of one part are grouped while
// the one before them is under way, and repeated until it is certain whether they were done.
package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/patience"
	"hillreel/internal/core/rows"
)

// Store is what a Ledger needs of the platform's store.
type Store interface {
	Commit(ctx context.Context, t rows.Txn) (rows.Version, error)
	Read(ctx context.Context, k rows.Key) (rows.Row, error)
	Range(ctx context.Context, r rows.Range) (rows.Page, error)
}

// OpID names one write.
type OpID uint64

// Op is one write: a transaction within one part.
type Op struct {
	ID   OpID
	Part string
	Txn  rows.Txn
	// Look lists rows that are read when a condition does not hold.
	Look []rows.Key
	// Until is when a write of which nothing was done yet is given up; zero is never.
	Until time.Time
	// Once: the write is tried once, whatever comes of it.
	Once bool
}

// Outcome says what became of a write.
type Outcome string

// The outcomes.
const (
	Done Outcome = "done"
	// Conflict: a condition does not hold. When an attempt before was in doubt, that one may have been done.
	Conflict Outcome = "conflict"
	// Refused: nothing was done, and nothing will be.
	Refused Outcome = "refused"
	// Doubtful: it may have been done, or may be done later. Only writes that are tried once end so.
	Doubtful Outcome = "doubtful"
)

// Result is the end of a write.
type Result struct {
	ID      OpID
	Outcome Outcome
	// Version is that of the rows that were put.
	Version rows.Version
	// Found are the rows of Look after a Conflict; one that is not there has version zero.
	Found []rows.Row
}

// The platform takes at most 100 entries and 1 MB in a transaction; a row's value is sent in base64, a third longer.
const (
	maxEntries = 100
	maxBytes   = 700_000
)

// retryPause is the pause after a call that was refused or could not be made: a twentieth of the time in which entries must
// be back after an outage. One that got no answer was waited for already.
const (
	retryPause      = 100 * time.Millisecond
	unansweredPause = 10 * time.Millisecond
)

// How long an answer is waited for: a write usually takes 10 ms. A lost answer holds up all writes of its part, and to
// take a slow one for a lost one only repeats a write that has its conditions.
const (
	leastPatience  = 50 * time.Millisecond
	mostPatience   = time.Second
	patienceFactor = 5
)

// Ledger carries out writes.
type Ledger struct {
	store Store
	done  func(Result)
	log   *logrus.Entry

	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	lanes map[string]*lane
	// patience is how long an answer to a write is waited for.
	patience patience.Patience
	// silentSince is from when on no write was answered but by refusals, though some were tried; zero is not.
	silentSince time.Time
}

// awayAfter is how long the store may be silent before new writes are not even begun: a call's own limit is a second.
const awayAfter = time.Second

// Away tells whether the store has answered no write for a while, or refused all.
func (l *Ledger) Away() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.silentSince.IsZero() && time.Since(l.silentSince) > awayAfter
}

// limit is how long the next answer is waited for.
func (l *Ledger) limit() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.patience.Limit()
}

// ReadTook takes in how long the store has taken to answer a reading: when it is slow, it is so for writes as well.
func (l *Ledger) ReadTook(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.patience.Raise(d)
}

// answered notes whether a write that was begun at some moment was answered within a limit, and not refused.
func (l *Ledger) answered(began time.Time, limit time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.patience.Learn(time.Since(began))
		l.silentSince = time.Time{}
		return
	}
	if time.Since(began) >= limit {
		l.patience.Missed(limit)
	}
	if l.silentSince.IsZero() {
		l.silentSince = began
	}
}

// New returns a Ledger; done is called for each write, on another goroutine.
func New(s Store, done func(Result), log *logrus.Entry) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Ledger{store: s, done: done, log: log, ctx: ctx, cancel: cancel, lanes: make(map[string]*lane), patience: patience.New(patienceFactor, leastPatience, mostPatience)}
}

// Stop gives up what is under way; nobody hears of it any more.
func (l *Ledger) Stop() { l.cancel() }

// Write begins a write and never blocks.
func (l *Ledger) Write(op Op) {
	l.mu.Lock()
	n := l.lanes[op.Part]
	if n == nil {
		n = &lane{ledger: l, wake: make(chan struct{}, 1)}
		l.lanes[op.Part] = n
		go n.run()
	}
	n.queue = append(n.queue, &attempt{Op: op})
	l.mu.Unlock()
	n.nudge()
}

// lane carries out the writes of one part, one transaction at a time.
type lane struct {
	ledger *Ledger
	// queue is guarded by the ledger's mu.
	queue []*attempt
	wake  chan struct{}
}

// attempt is a write that has not ended.
type attempt struct {
	Op
	// doubt is true once a try got no answer.
	doubt bool
}

// nudge lets the lane look at its queue.
func (n *lane) nudge() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run carries out writes until the ledger stops.
func (n *lane) run() {
	for {
		select {
		case <-n.ledger.ctx.Done():
			return
		case <-n.wake:
		}
		for group := n.take(); len(group) > 0; group = n.take() {
			n.commit(group)
		}
	}
}

// take returns the writes that go into the next transaction. While some are in doubt, no others go with them: of those it
// stays certain that nothing was done.
func (n *lane) take() []*attempt {
	n.ledger.mu.Lock()
	defer n.ledger.mu.Unlock()
	entries, bytes, count := 0, 0, 0
	for _, a := range n.queue {
		if count > 0 && n.queue[0].doubt && !a.doubt {
			break
		}
		entries += len(a.Txn.If) + len(a.Txn.Put) + len(a.Txn.Remove)
		for _, p := range a.Txn.Put {
			bytes += len(p.Value)
		}
		if count > 0 && (entries > maxEntries || bytes > maxBytes || a.Once) {
			break
		}
		count++
		if a.Once {
			break
		}
	}
	group := n.queue[:count:count]
	n.queue = n.queue[count:]
	return group
}

// commit tries a group of writes as one transaction.
func (n *lane) commit(group []*attempt) {
	var t rows.Txn
	for _, a := range group {
		t.If, t.Put, t.Remove = append(t.If, a.Txn.If...), append(t.Put, a.Txn.Put...), append(t.Remove, a.Txn.Remove...)
	}
	began, limit := time.Now(), n.ledger.limit()
	ctx, cancel := context.WithTimeout(n.ledger.ctx, limit)
	defer cancel()
	version, err := n.ledger.store.Commit(ctx, t)
	n.ledger.answered(began, limit, err == nil || errors.Is(err, rows.ErrConflict))
	switch {
	case n.ledger.ctx.Err() != nil:
	case err == nil:
		for _, a := range group {
			n.ledger.done(Result{ID: a.ID, Outcome: Done, Version: version})
		}
	case errors.Is(err, rows.ErrConflict):
		n.conflict(group)
	default:
		n.failed(group, err)
	}
}

// failed handles writes of which nothing is known, or which the store refused.
func (n *lane) failed(group []*attempt, err error) {
	refused := errors.Is(err, rows.ErrRefused)
	n.ledger.log.WithFields(logrus.Fields{"writes": len(group), "refused": refused, "error": err.Error()}).Info("job_rows_not_written")
	var again []*attempt
	for _, a := range group {
		a.doubt = a.doubt || !refused
		switch {
		case !a.doubt && (a.Once || !a.Until.IsZero() && time.Now().After(a.Until)):
			n.ledger.done(Result{ID: a.ID, Outcome: Refused})
		case a.Once:
			n.ledger.done(Result{ID: a.ID, Outcome: Doubtful})
		default:
			again = append(again, a)
		}
	}
	n.expire()
	if refused {
		n.pause(retryPause)
	} else {
		n.pause(unansweredPause)
	}
	n.requeue(again)
}

// requeue lets writes be tried again, before all others.
func (n *lane) requeue(again []*attempt) {
	n.ledger.mu.Lock()
	n.queue = append(again, n.queue...)
	n.ledger.mu.Unlock()
	n.nudge()
}

// expire gives up the writes that wait and need not be begun any more.
func (n *lane) expire() {
	n.ledger.mu.Lock()
	var rest, over []*attempt
	for _, a := range n.queue {
		if !a.doubt && !a.Until.IsZero() && time.Now().After(a.Until) {
			over = append(over, a)
		} else {
			rest = append(rest, a)
		}
	}
	n.queue = rest
	n.ledger.mu.Unlock()
	for _, a := range over {
		n.ledger.done(Result{ID: a.ID, Outcome: Refused})
	}
}

// conflict handles a group of writes the condition of one of which does not hold. Each is looked into by itself, all at
// once: those whose condition holds are tried again.
func (n *lane) conflict(group []*attempt) {
	holds := make([]bool, len(group))
	var all sync.WaitGroup
	for i, a := range group {
		all.Go(func() { holds[i] = len(group) > 1 && n.holds(a) })
	}
	all.Wait()
	var again []*attempt
	for i, a := range group {
		if holds[i] {
			again = append(again, a)
			continue
		}
		all.Go(func() { n.tellConflict(a) })
	}
	all.Wait()
	if len(again) == len(group) {
		// What was in the way has gone; but the next try could go as this one did.
		for i := range group {
			n.commit(group[i : i+1])
		}
		return
	}
	n.requeue(again)
}

// holds tells whether a write's conditions hold.
func (n *lane) holds(a *attempt) bool {
	for _, c := range a.Txn.If {
		if n.read(c.Key).Version != c.Version {
			return false
		}
	}
	return true
}

// tellConflict reads what is there instead of what a write expected.
func (n *lane) tellConflict(a *attempt) {
	r := Result{ID: a.ID, Outcome: Conflict}
	for _, k := range a.Look {
		r.Found = append(r.Found, n.read(k))
	}
	if n.ledger.ctx.Err() == nil {
		n.ledger.done(r)
	}
}

// read reads a row, until the store answers or the ledger stops.
func (n *lane) read(k rows.Key) rows.Row {
	row, err := n.ledger.store.Read(n.ledger.ctx, k)
	for err != nil && n.ledger.ctx.Err() == nil {
		n.ledger.log.WithField("error", err.Error()).Info("job_rows_unreadable")
		n.pause(retryPause)
		row, err = n.ledger.store.Read(n.ledger.ctx, k)
	}
	return row
}

// pause waits between two attempts.
func (n *lane) pause(d time.Duration) {
	select {
	case <-n.ledger.ctx.Done():
	case <-time.After(d):
	}
}
