// Package jobstore reads and writes the rows of kept jobs in the platform's store. Writes to one part are grouped while the
// previous write is in progress, and are repeated until it is certain whether they were done.
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

// Store is the part of the platform's store that this package uses.
type Store interface {
	Commit(ctx context.Context, t rows.Txn) (rows.Version, error)
	Read(ctx context.Context, k rows.Key) (rows.Row, error)
	Range(ctx context.Context, r rows.Range) (rows.Page, error)
}

// OpID identifies one write.
type OpID uint64

// Op is one write, a transaction within one part of the store.
type Op struct {
	ID   OpID
	Part string
	Txn  rows.Txn
	// ReadOnConflict lists the rows that are read if a condition does not hold.
	ReadOnConflict []rows.Key
	// GiveUpAt is when the write is given up if it is certain that nothing of it was done; zero means never.
	GiveUpAt time.Time
	// NoRetry is true for a write that is tried only once, whatever its outcome.
	NoRetry bool
}

// Outcome is the outcome of a write.
type Outcome string

// The outcomes.
const (
	Done Outcome = "done"
	// Conflict: a condition does not hold. If the outcome of an earlier attempt is unknown, that attempt may have been done.
	Conflict Outcome = "conflict"
	// Refused: the write was not done, and never will be.
	Refused Outcome = "refused"
	// Uncertain: the write may have been done, or may be done later. Only writes with NoRetry have this outcome.
	Uncertain Outcome = "doubtful"
)

// Result is the result of a write.
type Result struct {
	ID      OpID
	Outcome Outcome
	// Version is the version of the rows that were put.
	Version rows.Version
	// Found holds the rows of ReadOnConflict after a Conflict, in the same order. A row that does not exist has version zero.
	Found []rows.Row
}

// The timeout of a write is timeoutFactor times the usual duration of a call, but at least minTimeout and at most maxTimeout. A
// write usually takes 10 ms. The timeout is short because a lost answer delays all writes to its part. A timeout that is too
// short does no harm: it repeats a write whose conditions prevent it from being done twice.
const (
	minTimeout    = 50 * time.Millisecond
	maxTimeout    = time.Second
	timeoutFactor = 5
)

// Writer carries out writes.
type Writer struct {
	store    Store
	onResult func(Result)
	log      *logrus.Entry

	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	parts map[string]*partWriter
	// callTimeout determines the timeout of a write from the durations of earlier calls.
	callTimeout timeout.Adaptive
	// unansweredSince is the start of the first write since which all writes were refused or not answered. It is zero if
	// the last write was answered.
	unansweredSince time.Time
}

// unavailableAfter is how long writes may fail before the store counts as unavailable and new jobs are refused without a
// write. It equals maxTimeout, the longest timeout of one call.
const unavailableAfter = time.Second

// Unavailable reports whether all writes were refused or not answered for longer than unavailableAfter.
func (w *Writer) Unavailable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.unansweredSince.IsZero() && boottime.Since(w.unansweredSince) > unavailableAfter
}

// timeout returns the timeout of the next write.
func (w *Writer) timeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callTimeout.Limit()
}

// ObserveRead records how long a read has taken. If reads are slow, writes are slow as well, and the timeout rises.
func (w *Writer) ObserveRead(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callTimeout.RaiseTo(d)
}

// recordCall records a write that started at started with the timeout callTimeout. ok is true if it was answered and not refused.
func (w *Writer) recordCall(started time.Time, callTimeout time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ok {
		w.callTimeout.Observe(boottime.Since(started))
		w.unansweredSince = time.Time{}
		return
	}
	if boottime.Since(started) >= callTimeout {
		w.callTimeout.ObserveTimeout(callTimeout)
	}
	if w.unansweredSince.IsZero() {
		w.unansweredSince = started
	}
}

// New returns a Writer. onResult is called once for each write, on another goroutine.
func New(s Store, onResult func(Result), log *logrus.Entry) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Writer{
		store: s, onResult: onResult, log: log, ctx: ctx, cancel: cancel, parts: make(map[string]*partWriter),
		callTimeout: timeout.New(timeoutFactor, minTimeout, maxTimeout),
	}
}

// Stop cancels all writes in progress. onResult is not called for them.
func (w *Writer) Stop() { w.cancel() }

// Write queues a write. It never blocks.
func (w *Writer) Write(op Op) {
	w.mu.Lock()
	part := w.parts[op.Part]
	if part == nil {
		part = &partWriter{writer: w, wake: make(chan struct{}, 1)}
		w.parts[op.Part] = part
		go part.run()
	}
	part.queue = append(part.queue, &pendingOp{Op: op})
	w.mu.Unlock()
	part.signal()
}
