package jobstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/rows"
)

// The platform accepts at most 100 entries and 1 MB in a transaction. maxTxnBytes is lower because a row's value is sent in
// base64, which is a third longer.
const (
	maxTxnEntries = 100
	maxTxnBytes   = 700_000
)

// retryPause is the pause after a call that was refused or could not be made: a twentieth of the time in which entries must
// recover after an outage. unansweredPause is shorter because a call without an answer has already waited for its timeout.
const (
	retryPause      = 100 * time.Millisecond
	unansweredPause = 10 * time.Millisecond
)

// partWriter carries out the writes to one part, one transaction at a time.
type partWriter struct {
	writer *Writer
	// queue is guarded by writer.mu.
	queue []*pendingOp
	wake  chan struct{}
}

// pendingOp is a write that has no result yet.
type pendingOp struct {
	Op
	// uncertain is true once an attempt got no answer.
	uncertain bool
}

// putsAny reports whether the write puts any of some rows.
func (o *pendingOp) putsAny(keys map[rows.Key]bool) bool {
	return slices.ContainsFunc(o.Txn.Put, func(r rows.Row) bool { return keys[r.Key] })
}

// signal wakes the partWriter to check its queue.
func (p *partWriter) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run carries out writes until the Writer stops.
func (p *partWriter) run() {
	for {
		select {
		case <-p.writer.ctx.Done():
			return
		case <-p.wake:
		}
		for group := p.nextGroup(); len(group) > 0; group = p.nextGroup() {
			p.commit(group)
		}
	}
}

// nextGroup removes and returns the writes of the next transaction. Uncertain writes are not grouped with others, so that it
// stays certain that nothing was done of the others. Nor are writes of the same row, since each has a condition of its own.
func (p *partWriter) nextGroup() []*pendingOp {
	p.writer.mu.Lock()
	defer p.writer.mu.Unlock()
	entries, bytes, count := 0, 0, 0
	put := make(map[rows.Key]bool)
	for _, op := range p.queue {
		if count > 0 && p.queue[0].uncertain && !op.uncertain || op.putsAny(put) {
			break
		}
		entries += len(op.Txn.If) + len(op.Txn.Put) + len(op.Txn.Remove)
		for _, row := range op.Txn.Put {
			bytes += len(row.Value)
			put[row.Key] = true
		}
		if count > 0 && (entries > maxTxnEntries || bytes > maxTxnBytes || op.NoRetry) {
			break
		}
		count++
		if op.NoRetry {
			break
		}
	}
	group := p.queue[:count:count]
	p.queue = p.queue[count:]
	return group
}

// commit attempts a group of writes as one transaction.
func (p *partWriter) commit(group []*pendingOp) {
	var t rows.Txn
	for _, op := range group {
		t.If, t.Put, t.Remove = append(t.If, op.Txn.If...), append(t.Put, op.Txn.Put...), append(t.Remove, op.Txn.Remove...)
	}
	started, timeout := boottime.Now(), p.writer.timeout()
	ctx, cancel := context.WithTimeout(p.writer.ctx, timeout)
	defer cancel()
	version, err := p.writer.store.Commit(ctx, t)
	p.writer.recordCall(started, timeout, err == nil || errors.Is(err, rows.ErrConflict))
	switch {
	case p.writer.ctx.Err() != nil:
	case err == nil:
		for _, op := range group {
			p.writer.onResult(Result{ID: op.ID, Outcome: Done, Version: version})
		}
	case errors.Is(err, rows.ErrConflict):
		p.handleConflict(group)
	default:
		p.handleFailure(group, err)
	}
}

// handleFailure handles a group of writes that the store refused, or whose outcome is unknown.
func (p *partWriter) handleFailure(group []*pendingOp, err error) {
	refused := errors.Is(err, rows.ErrRefused)
	p.writer.log.WithFields(logrus.Fields{"writes": len(group), "refused": refused, "error": err.Error()}).Info("job_rows_not_written")
	var retries []*pendingOp
	for _, op := range group {
		op.uncertain = op.uncertain || !refused
		switch {
		case !op.uncertain && (op.NoRetry || !op.GiveUpAt.IsZero() && boottime.Now().After(op.GiveUpAt)):
			p.writer.onResult(Result{ID: op.ID, Outcome: Refused})
		case op.NoRetry:
			p.writer.onResult(Result{ID: op.ID, Outcome: Uncertain})
		default:
			retries = append(retries, op)
		}
	}
	p.expireQueued()
	if refused {
		p.sleep(retryPause)
	} else {
		p.sleep(unansweredPause)
	}
	p.requeue(retries)
}

// requeue puts writes back at the front of the queue.
func (p *partWriter) requeue(retries []*pendingOp) {
	p.writer.mu.Lock()
	p.queue = append(retries, p.queue...)
	p.writer.mu.Unlock()
	p.signal()
}

// expireQueued refuses the queued writes whose GiveUpAt has passed and of which nothing was done.
func (p *partWriter) expireQueued() {
	p.writer.mu.Lock()
	var rest, expired []*pendingOp
	for _, op := range p.queue {
		if !op.uncertain && !op.GiveUpAt.IsZero() && boottime.Now().After(op.GiveUpAt) {
			expired = append(expired, op)
		} else {
			rest = append(rest, op)
		}
	}
	p.queue = rest
	p.writer.mu.Unlock()
	for _, op := range expired {
		p.writer.onResult(Result{ID: op.ID, Outcome: Refused})
	}
}

// handleConflict handles a group of writes of which at least one has a condition that does not hold. The conditions of each
// write are checked separately and in parallel. The writes whose conditions hold are attempted again.
func (p *partWriter) handleConflict(group []*pendingOp) {
	holds := make([]bool, len(group))
	var wg sync.WaitGroup
	for i, op := range group {
		wg.Go(func() { holds[i] = len(group) > 1 && p.conditionsHold(op) })
	}
	wg.Wait()
	var retries []*pendingOp
	for i, op := range group {
		if holds[i] {
			retries = append(retries, op)
			continue
		}
		wg.Go(func() { p.reportConflict(op) })
	}
	wg.Wait()
	if len(retries) == len(group) {
		// The cause of the conflict is gone, but the next attempt of the whole group could conflict again.
		for i := range group {
			p.commit(group[i : i+1])
		}
		return
	}
	p.requeue(retries)
}

// conditionsHold reports whether a write's conditions hold.
func (p *partWriter) conditionsHold(op *pendingOp) bool {
	for _, c := range op.Txn.If {
		if p.readRow(c.Key).Version != c.Version {
			return false
		}
	}
	return true
}

// reportConflict reads the rows of ReadOnConflict and reports them with the conflict.
func (p *partWriter) reportConflict(op *pendingOp) {
	r := Result{ID: op.ID, Outcome: Conflict}
	for _, k := range op.ReadOnConflict {
		r.Found = append(r.Found, p.readRow(k))
	}
	if p.writer.ctx.Err() == nil {
		p.writer.onResult(r)
	}
}

// readRow reads a row. It retries until the store answers or the Writer stops.
func (p *partWriter) readRow(k rows.Key) rows.Row {
	row, err := p.writer.store.Read(p.writer.ctx, k)
	for err != nil && p.writer.ctx.Err() == nil {
		p.writer.log.WithField("error", err.Error()).Info("job_rows_unreadable")
		p.sleep(retryPause)
		row, err = p.writer.store.Read(p.writer.ctx, k)
	}
	return row
}

// sleep waits for d, or until the Writer stops.
func (p *partWriter) sleep(d time.Duration) {
	select {
	case <-p.writer.ctx.Done():
	case <-time.After(d):
	}
}
