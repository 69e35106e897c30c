package jobstore

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/rows"
)

// The platform takes at most 100 entries and 1 MB in a transaction; a row's value is sent in base64, a third longer.
const (
	maxTxnEntries = 100
	maxTxnBytes   = 700_000
)

// retryPause is the pause after a call that was refused or could not be made: a twentieth of the time in which entries must
// be back after an outage. One that got no answer was waited for already.
const (
	retryPause      = 100 * time.Millisecond
	unansweredPause = 10 * time.Millisecond
)

// lane carries out the writes of one part, one transaction at a time.
type partWriter struct {
	writer *Writer
	// queue is guarded by the ledger's mu.
	queue []*pendingOp
	wake  chan struct{}
}

// attempt is a write that has not ended.
type pendingOp struct {
	Op
	// doubt is true once a try got no answer.
	uncertain bool
}

// nudge lets the lane look at its queue.
func (n *partWriter) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run carries out writes until the ledger stops.
func (n *partWriter) run() {
	for {
		select {
		case <-n.writer.ctx.Done():
			return
		case <-n.wake:
		}
		for group := n.nextGroup(); len(group) > 0; group = n.nextGroup() {
			n.commit(group)
		}
	}
}

// take returns the writes that go into the next transaction. While some are in doubt, no others go with them: of those it
// stays certain that nothing was done.
func (n *partWriter) nextGroup() []*pendingOp {
	n.writer.mu.Lock()
	defer n.writer.mu.Unlock()
	entries, bytes, count := 0, 0, 0
	for _, a := range n.queue {
		if count > 0 && n.queue[0].uncertain && !a.uncertain {
			break
		}
		entries += len(a.Txn.If) + len(a.Txn.Put) + len(a.Txn.Remove)
		for _, p := range a.Txn.Put {
			bytes += len(p.Value)
		}
		if count > 0 && (entries > maxTxnEntries || bytes > maxTxnBytes || a.NoRetry) {
			break
		}
		count++
		if a.NoRetry {
			break
		}
	}
	group := n.queue[:count:count]
	n.queue = n.queue[count:]
	return group
}

// commit tries a group of writes as one transaction.
func (n *partWriter) commit(group []*pendingOp) {
	var t rows.Txn
	for _, a := range group {
		t.If, t.Put, t.Remove = append(t.If, a.Txn.If...), append(t.Put, a.Txn.Put...), append(t.Remove, a.Txn.Remove...)
	}
	began, limit := boottime.Now(), n.writer.timeout()
	ctx, cancel := context.WithTimeout(n.writer.ctx, limit)
	defer cancel()
	version, err := n.writer.store.Commit(ctx, t)
	n.writer.recordCall(began, limit, err == nil || errors.Is(err, rows.ErrConflict))
	switch {
	case n.writer.ctx.Err() != nil:
	case err == nil:
		for _, a := range group {
			n.writer.onResult(Result{ID: a.ID, Outcome: Done, Version: version})
		}
	case errors.Is(err, rows.ErrConflict):
		n.handleConflict(group)
	default:
		n.handleFailure(group, err)
	}
}

// failed handles writes of which nothing is known, or which the store refused.
func (n *partWriter) handleFailure(group []*pendingOp, err error) {
	refused := errors.Is(err, rows.ErrRefused)
	n.writer.log.WithFields(logrus.Fields{"writes": len(group), "refused": refused, "error": err.Error()}).Info("job_rows_not_written")
	var again []*pendingOp
	for _, a := range group {
		a.uncertain = a.uncertain || !refused
		switch {
		case !a.uncertain && (a.NoRetry || !a.GiveUpAt.IsZero() && boottime.Now().After(a.GiveUpAt)):
			n.writer.onResult(Result{ID: a.ID, Outcome: Refused})
		case a.NoRetry:
			n.writer.onResult(Result{ID: a.ID, Outcome: Uncertain})
		default:
			again = append(again, a)
		}
	}
	n.expireQueued()
	if refused {
		n.sleep(retryPause)
	} else {
		n.sleep(unansweredPause)
	}
	n.requeue(again)
}

// requeue lets writes be tried again, before all others.
func (n *partWriter) requeue(again []*pendingOp) {
	n.writer.mu.Lock()
	n.queue = append(again, n.queue...)
	n.writer.mu.Unlock()
	n.signal()
}

// expire gives up the writes that wait and need not be begun any more.
func (n *partWriter) expireQueued() {
	n.writer.mu.Lock()
	var rest, over []*pendingOp
	for _, a := range n.queue {
		if !a.uncertain && !a.GiveUpAt.IsZero() && boottime.Now().After(a.GiveUpAt) {
			over = append(over, a)
		} else {
			rest = append(rest, a)
		}
	}
	n.queue = rest
	n.writer.mu.Unlock()
	for _, a := range over {
		n.writer.onResult(Result{ID: a.ID, Outcome: Refused})
	}
}

// conflict handles a group of writes the condition of one of which does not hold. Each is looked into by itself, all at
// once: those whose condition holds are tried again.
func (n *partWriter) handleConflict(group []*pendingOp) {
	holds := make([]bool, len(group))
	var all sync.WaitGroup
	for i, a := range group {
		all.Go(func() { holds[i] = len(group) > 1 && n.conditionsHold(a) })
	}
	all.Wait()
	var again []*pendingOp
	for i, a := range group {
		if holds[i] {
			again = append(again, a)
			continue
		}
		all.Go(func() { n.reportConflict(a) })
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
func (n *partWriter) conditionsHold(a *pendingOp) bool {
	for _, c := range a.Txn.If {
		if n.readRow(c.Key).Version != c.Version {
			return false
		}
	}
	return true
}

// tellConflict reads what is there instead of what a write expected.
func (n *partWriter) reportConflict(a *pendingOp) {
	r := Result{ID: a.ID, Outcome: Conflict}
	for _, k := range a.ReadOnConflict {
		r.Found = append(r.Found, n.readRow(k))
	}
	if n.writer.ctx.Err() == nil {
		n.writer.onResult(r)
	}
}

// read reads a row, until the store answers or the ledger stops.
func (n *partWriter) readRow(k rows.Key) rows.Row {
	row, err := n.writer.store.Read(n.writer.ctx, k)
	for err != nil && n.writer.ctx.Err() == nil {
		n.writer.log.WithField("error", err.Error()).Info("job_rows_unreadable")
		n.sleep(retryPause)
		row, err = n.writer.store.Read(n.writer.ctx, k)
	}
	return row
}

// pause waits between two attempts.
func (n *partWriter) sleep(d time.Duration) {
	select {
	case <-n.writer.ctx.Done():
	case <-time.After(d):
	}
}
