package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/record"
	"hillreel/internal/standin/memory"
)

// layout spreads kept jobs over two parts.
var layout = record.Layout{Parts: 2}

// simStore behaves as the platform says its store does.
type simStore struct {
	memory.Store
	w *world
	// silent: no call is answered or done. busy: all calls are refused.
	silent, busy bool
	// loses is how often an answer is lost; late how many of those writes are done seconds later.
	lossRate, lateRate float64
}

func newSimStore(w *world) *simStore { return &simStore{Store: memory.New(), w: w} }

// clock is the store's steady clock.
func (s *simStore) clock() time.Duration { return s.w.Since() + time.Minute }

// commit does a transaction if its conditions hold.
func (s *simStore) commit(t rows.Txn) bool {
	if !s.Commit(t) {
		return false
	}
	for _, r := range t.Put {
		if r.Key.Table == record.Cancels {
			s.w.announceCancel(r.Key)
		}
	}
	return true
}

// list returns the rows of a table, by name.
func (s *simStore) list(table rows.Table) rows.Page {
	p := rows.Page{Version: s.Version, Now: s.clock()}
	for k, r := range s.Rows {
		if k.Table == table {
			p.Rows = append(p.Rows, r)
		}
	}
	slices.SortFunc(p.Rows, func(a, b rows.Row) int { return cmp.Compare(a.Key.Name, b.Key.Name) })
	return p
}

// storeTimeout is when a call is given up, storeRetry the pause after one that failed.
const (
	storeTimeout = 300 * time.Millisecond
	storeRetry   = 100 * time.Millisecond
)

// storeIO carries one life of an entry's calls to the store, as package ledger does.
type storeIO struct {
	e   *entryProc
	inc ident.Incarnation
}

// call makes one call: do is done at the store, then is told whether there was an answer, and whether it was refused.
func (x storeIO) call(do func(), then func(answered, refused bool)) {
	w, s := x.e.w, x.e.w.store
	answered := false
	reply := func(ok, refused bool) {
		if !answered {
			answered = true
			x.e.doIn(x.inc, func() {
				switch {
				case ok && !refused:
					x.e.storeSilentSince = time.Time{}
				case x.e.storeSilentSince.IsZero():
					x.e.storeSilentSince = x.e.now()
				}
				then(ok, refused)
			})
		}
	}
	w.After(storeTimeout, func() { reply(false, false) })
	lost := w.chance(s.lossRate)
	delay := w.between(time.Millisecond, 5*time.Millisecond)
	if lost && w.chance(s.lateRate) {
		delay = w.between(500*time.Millisecond, 6*time.Second)
	}
	w.After(delay, func() {
		switch {
		case s.silent || x.e.storeCut:
		case s.busy:
			reply(true, true)
		default:
			do()
			if !lost {
				w.After(w.between(time.Millisecond, 3*time.Millisecond), func() { reply(true, false) })
			}
		}
	})
}

// Away tells whether the store has not answered for a while.
func (x storeIO) Unavailable() bool {
	return !x.e.storeSilentSince.IsZero() && x.e.now().Sub(x.e.storeSilentSince) > time.Second
}

// Write carries out a write, again and again until it is certain what came of it.
func (x storeIO) Write(op jobstore.Op) { x.try(op, false) }

func (x storeIO) try(op jobstore.Op, doubt bool) {
	w, s := x.e.w, x.e.w.store
	if !x.e.alive || x.e.inc != x.inc {
		return
	}
	done := false
	var version rows.Version
	x.call(func() {
		done = s.commit(op.Txn)
		version = s.Version
	}, func(answered, refused bool) {
		doubt = doubt || !answered
		switch {
		case answered && !refused && done:
			x.e.keptJobs.HandleWriteResult(x.e.now(), jobstore.Result{ID: op.ID, Outcome: jobstore.Done, Version: version})
		case answered && !refused:
			x.readConflict(op)
		case !doubt && (op.NoRetry || !op.GiveUpAt.IsZero() && x.e.now().After(op.GiveUpAt)):
			x.e.keptJobs.HandleWriteResult(x.e.now(), jobstore.Result{ID: op.ID, Outcome: jobstore.Refused})
		case op.NoRetry:
			x.e.keptJobs.HandleWriteResult(x.e.now(), jobstore.Result{ID: op.ID, Outcome: jobstore.Uncertain})
		default:
			w.After(storeRetry, func() { x.e.doIn(x.inc, func() { x.try(op, doubt) }) })
		}
	})
}

// look reads what is there when a condition does not hold.
func (x storeIO) readConflict(op jobstore.Op) {
	w, s := x.e.w, x.e.w.store
	var found []rows.Row
	x.call(func() {
		found = nil
		for _, k := range op.ReadOnConflict {
			found = append(found, s.Rows[k])
		}
	}, func(answered, refused bool) {
		if !answered || refused {
			w.After(storeRetry, func() { x.e.doIn(x.inc, func() { x.readConflict(op) }) })
			return
		}
		x.e.keptJobs.HandleWriteResult(x.e.now(), jobstore.Result{ID: op.ID, Outcome: jobstore.Conflict, Found: found})
	})
}

var errUnavailable = errors.New("store: away")

// ReadLeases reads all leases.
func (x storeIO) ReadLeases() {
	w, sent := x.e.w, x.e.now()
	var page rows.Page
	x.call(func() { page = w.store.list(record.Leases) }, func(answered, refused bool) {
		x.e.keptJobs.HandleLeases(x.e.now(), sent, page, errorUnless(answered && !refused))
	})
}

// unless is no error if ok.
func errorUnless(ok bool) error {
	if ok {
		return nil
	}
	return errUnavailable
}

// Scan reads all open jobs, and then the leases.
func (x storeIO) Scan() {
	w := x.e.w
	var open, leases rows.Page
	x.call(func() { open = w.store.list(record.OpenRows("").Table) }, func(answered, refused bool) {
		if !answered || refused {
			x.e.keptJobs.HandleScan(x.e.now(), nil, leases, errUnavailable)
			return
		}
		x.call(func() { leases = w.store.list(record.Leases) }, func(answered, refused bool) {
			x.e.keptJobs.HandleScan(x.e.now(), open.Rows, leases, errorUnless(answered && !refused))
		})
	})
}

// Fetch reads what jobs were submitted with.
func (x storeIO) Fetch(ids []job.ID) {
	w := x.e.w
	var found []rows.Row
	x.call(func() {
		found = nil
		for _, id := range ids {
			found = append(found, w.store.Rows[layout.JobKey(id)])
		}
	}, func(answered, refused bool) {
		x.e.keptJobs.HandleFetch(x.e.now(), ids, found, errorUnless(answered && !refused))
	})
}

// Look reads the rows of an open and of an ended job.
func (x storeIO) LookUp(id job.ID) {
	var open, ended rows.Row
	x.call(func() { open, ended = x.e.w.store.Rows[layout.OpenKey(id)], x.e.w.store.Rows[layout.EndedKey(id)] }, func(answered, refused bool) {
		x.e.keptJobs.HandleLookUp(id, open, ended, errorUnless(answered && !refused))
	})
}

// announceCancel tells all entries of a cancellation, as the feed of its table does.
func (w *world) announceCancel(k rows.Key) {
	id, err := record.ParseJobID(k)
	if err != nil {
		w.violate("a row that can't be read: %v", err)
	}
	for _, e := range w.entries {
		inc := e.inc
		w.After(w.between(time.Millisecond, 50*time.Millisecond), func() {
			e.doIn(inc, func() { e.keptJobs.HandleRemoteCancellations(e.now(), []job.ID{id}) })
		})
	}
}
