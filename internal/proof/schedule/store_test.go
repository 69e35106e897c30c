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

// simStore behaves as the platform specifies for its store.
type simStore struct {
	memory.Store
	w *world
	// silent: no call is answered or carried out. busy: all calls are refused.
	silent, busy bool
	// lossRate is the probability that an answer is lost; lateRate is the probability that a call whose answer is lost is
	// carried out up to 6 s late.
	lossRate, lateRate float64
}

func newSimStore(w *world) *simStore { return &simStore{Store: memory.New(), w: w} }

// clock returns the reading of the store's monotonic clock.
func (s *simStore) clock() time.Duration { return s.w.Elapsed() + time.Minute }

// commit commits a transaction if its conditions hold, and reports whether they did.
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

// list returns the rows of a table, sorted by name.
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

// storeTimeout is when a call times out, storeRetry the pause after a call that failed.
const (
	storeTimeout = 300 * time.Millisecond
	storeRetry   = 100 * time.Millisecond
)

// storeIO makes the calls of one incarnation of an entry to the store, as package jobstore does.
type storeIO struct {
	e   *entryProc
	inc ident.Incarnation
}

// call makes one call. It runs do at the store, and passes to then whether the store answered and whether it refused the
// call.
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

// Unavailable reports whether no call to the store has succeeded for more than a second.
func (x storeIO) Unavailable() bool {
	return !x.e.storeSilentSince.IsZero() && x.e.now().Sub(x.e.storeSilentSince) > time.Second
}

// Write carries out a write and retries it until its outcome is certain.
func (x storeIO) Write(op jobstore.Op) { x.try(op, false) }

func (x storeIO) try(op jobstore.Op, uncertain bool) {
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
		uncertain = uncertain || !answered
		switch {
		case answered && !refused && done:
			x.e.keptJobs.HandleWriteResult(x.e.now(), jobstore.Result{ID: op.ID, Outcome: jobstore.Done, Version: version})
		case answered && !refused:
			x.readConflict(op)
		case !uncertain && (op.NoRetry || !op.GiveUpAt.IsZero() && x.e.now().After(op.GiveUpAt)):
			x.e.keptJobs.HandleWriteResult(x.e.now(), jobstore.Result{ID: op.ID, Outcome: jobstore.Refused})
		case op.NoRetry:
			x.e.keptJobs.HandleWriteResult(x.e.now(), jobstore.Result{ID: op.ID, Outcome: jobstore.Uncertain})
		default:
			w.After(storeRetry, func() { x.e.doIn(x.inc, func() { x.try(op, uncertain) }) })
		}
	})
}

// readConflict reads the rows that a failed write condition concerns.
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

// errorUnless returns nil if ok, and errUnavailable otherwise.
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

// Fetch reads the specifications of jobs.
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

// LookUp reads the open and the ended row of a job.
func (x storeIO) LookUp(id job.ID) {
	var open, ended rows.Row
	x.call(func() { open, ended = x.e.w.store.Rows[layout.OpenKey(id)], x.e.w.store.Rows[layout.EndedKey(id)] }, func(answered, refused bool) {
		x.e.keptJobs.HandleLookUp(id, open, ended, errorUnless(answered && !refused))
	})
}

// announceCancel announces a cancellation to all entries, as the change feed of its table does.
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
