// Package ledger reads and writes the rows of kept jobs in the platform's store. Writes of one part are grouped while
// the one before them is under way, and repeated until it is certain whether they were done.
package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/boottime"
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
	return !l.silentSince.IsZero() && boottime.Since(l.silentSince) > awayAfter
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
		l.patience.Learn(boottime.Since(began))
		l.silentSince = time.Time{}
		return
	}
	if boottime.Since(began) >= limit {
		l.patience.Missed(limit)
	}
	if l.silentSince.IsZero() {
		l.silentSince = began
	}
}

// New returns a Ledger; done is called for each write, on another goroutine.
func New(s Store, done func(Result), log *logrus.Entry) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Ledger{
		store: s, done: done, log: log, ctx: ctx, cancel: cancel, lanes: make(map[string]*lane),
		patience: patience.New(patienceFactor, leastPatience, mostPatience),
	}
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
