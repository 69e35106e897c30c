// Package ledger reads and writes the rows of kept jobs in the platform's store. Writes of one part are grouped while
// the one before them is under way, and repeated until it is certain whether they were done.
package jobstore

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/timeout"
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
	ReadOnConflict []rows.Key
	// Until is when a write of which nothing was done yet is given up; zero is never.
	GiveUpAt time.Time
	// Once: the write is tried once, whatever comes of it.
	NoRetry bool
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
	Uncertain Outcome = "doubtful"
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
	minTimeout    = 50 * time.Millisecond
	maxTimeout    = time.Second
	timeoutFactor = 5
)

// Ledger carries out writes.
type Writer struct {
	store    Store
	onResult func(Result)
	log      *logrus.Entry

	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	parts map[string]*partWriter
	// patience is how long an answer to a write is waited for.
	patience timeout.Adaptive
	// silentSince is from when on no write was answered but by refusals, though some were tried; zero is not.
	unansweredSince time.Time
}

// awayAfter is how long the store may be silent before new writes are not even begun: a call's own limit is a second.
const unavailableAfter = time.Second

// Away tells whether the store has answered no write for a while, or refused all.
func (l *Writer) Unavailable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.unansweredSince.IsZero() && boottime.Since(l.unansweredSince) > unavailableAfter
}

// limit is how long the next answer is waited for.
func (l *Writer) timeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.patience.Limit()
}

// ReadTook takes in how long the store has taken to answer a reading: when it is slow, it is so for writes as well.
func (l *Writer) ObserveRead(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.patience.RaiseTo(d)
}

// answered notes whether a write that was begun at some moment was answered within a limit, and not refused.
func (l *Writer) recordCall(began time.Time, limit time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.patience.Observe(boottime.Since(began))
		l.unansweredSince = time.Time{}
		return
	}
	if boottime.Since(began) >= limit {
		l.patience.ObserveTimeout(limit)
	}
	if l.unansweredSince.IsZero() {
		l.unansweredSince = began
	}
}

// New returns a Ledger; done is called for each write, on another goroutine.
func New(s Store, done func(Result), log *logrus.Entry) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Writer{
		store: s, onResult: done, log: log, ctx: ctx, cancel: cancel, parts: make(map[string]*partWriter),
		patience: timeout.New(timeoutFactor, minTimeout, maxTimeout),
	}
}

// Stop gives up what is under way; nobody hears of it any more.
func (l *Writer) Stop() { l.cancel() }

// Write begins a write and never blocks.
func (l *Writer) Write(op Op) {
	l.mu.Lock()
	n := l.parts[op.Part]
	if n == nil {
		n = &partWriter{writer: l, wake: make(chan struct{}, 1)}
		l.parts[op.Part] = n
		go n.run()
	}
	n.queue = append(n.queue, &pendingOp{Op: op})
	l.mu.Unlock()
	n.signal()
}
