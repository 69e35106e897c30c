package ledger

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
	maxEntries = 100
	maxBytes   = 700_000
)

// retryPause is the pause after a call that was refused or could not be made: a twentieth of the time in which entries must
// be back after an outage. One that got no answer was waited for already.
const (
	retryPause      = 100 * time.Millisecond
	unansweredPause = 10 * time.Millisecond
)

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
	began, limit := boottime.Now(), n.ledger.limit()
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
		case !a.doubt && (a.Once || !a.Until.IsZero() && boottime.Now().After(a.Until)):
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
		if !a.doubt && !a.Until.IsZero() && boottime.Now().After(a.Until) {
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
