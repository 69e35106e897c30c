package node

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/follow"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/metrics"
	"hillreel/internal/core/rows"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/book"
	"hillreel/internal/kept/ledger"
	"hillreel/internal/kept/record"
	"hillreel/internal/link/codec"
)

// The events by which readings of kept jobs' rows come back to the control goroutine.
type (
	leasesRead struct {
		sent time.Time
		page rows.Page
		err  error
	}
	scanned struct {
		open   []rows.Row
		leases rows.Page
		err    error
	}
	fetched struct {
		ids  []job.ID
		rows []rows.Row
		err  error
	}
	looked struct {
		id          job.ID
		open, ended rows.Row
		err         error
	}
	// cancelledElsewhere carries jobs that other entries have cancelled.
	cancelledElsewhere struct{ ids []job.ID }
)

// newBook returns the entry's book of kept jobs, and makes its ledger.
func (n *Node) newBook(store ledger.Store) *book.Book {
	k := n.set.Kept
	layout := n.layout()
	counters := metrics.NewCounters("kept")
	n.reader = ledger.NewReader(store, layout, k.Keep)
	n.ledger = ledger.New(store, func(r ledger.Result) { n.loop.Post(r) }, n.log)
	return book.New(book.Options{
		Node: n.set.Node.Name, Incarnation: n.inc, Layout: layout, Lease: k.Lease, Renew: k.Renew, Keep: k.Keep,
		MaxRow: int(k.MaxRow), Settle: n.set.Links.Timing().SettleAfter(), Log: n.log,
		Count: func(event string) { counters.Add(event, 1) },
	}, (*keptStore)(n), n.table, (*keptAgents)(n), (*answerer)(n), boottime.Now())
}

// CancelRows are the parts of the table of cancellations, which Cancelled takes changes of.
func (n *Node) CancelRows() []string { return n.layout().All() }

// layout is how kept jobs are spread over the parts of the store.
func (n *Node) layout() record.Layout { return record.Layout{Parts: n.set.Kept.Parts()} }

// Cancelled takes in changes of the table of cancellations; it is a follow.Change.
func (n *Node) Cancelled(c follow.Changes) {
	var ids []job.ID
	for _, r := range c.Rows {
		id, err := record.JobOf(r.Key)
		if err != nil {
			n.log.WithField("error", err.Error()).Error("job_row_unreadable")
			continue
		}
		if !r.Removed {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		n.loop.Post(cancelledElsewhere{ids})
	}
}

// handleKept handles an event that concerns kept jobs.
func (n *Node) handleKept(now time.Time, e any) {
	switch e := e.(type) {
	case ledger.Result:
		n.book.Written(now, e)
	case leasesRead:
		n.book.LeasesRead(now, e.sent, e.page, e.err)
	case scanned:
		n.book.Scanned(now, e.open, e.leases, e.err)
	case fetched:
		n.book.Fetched(now, e.ids, e.rows, e.err)
	case looked:
		n.book.Looked(e.id, e.open, e.ended, e.err)
	case cancelledElsewhere:
		n.book.CancelledElsewhere(now, e.ids)
	}
}

// keeps tells whether a job is one to be kept that can be.
func (n *Node) keeps(r *dispatch.Request) bool {
	return !r.Spec.BestEffort && r.Spec.Unsupported == "" && r.Spec.Tasks() <= n.set.Entry.MaxTasks
}

// keptStore reads and writes kept jobs' rows for the book.
type keptStore Node

// Away tells whether the store has not answered for a while.
func (s *keptStore) Away() bool { return s.ledger.Away() }

// Write begins a write.
func (s *keptStore) Write(op ledger.Op) { s.ledger.Write(op) }

// read makes a reading on a goroutine of its own, and posts what it brought.
func (s *keptStore) read(what string, do func(ctx context.Context) (event any, err error)) {
	go func() {
		event, err := do(s.ctx)
		if err != nil {
			s.log.WithFields(logrus.Fields{"what": what, "error": err.Error()}).Info("job_rows_unreadable")
		}
		s.loop.Post(event)
	}()
}

// ReadLeases reads the leases.
func (s *keptStore) ReadLeases() {
	sent := boottime.Now()
	s.read("leases", func(ctx context.Context) (any, error) {
		page, err := s.reader.Leases(ctx)
		if err == nil {
			s.ledger.ReadTook(boottime.Since(sent))
		}
		return leasesRead{sent, page, err}, err
	})
}

// Scan reads all open jobs.
func (s *keptStore) Scan() {
	s.read("open jobs", func(ctx context.Context) (any, error) {
		open, leases, err := s.reader.Scan(ctx)
		return scanned{open, leases, err}, err
	})
}

// Fetch reads what jobs were submitted with.
func (s *keptStore) Fetch(ids []job.ID) {
	s.read("jobs", func(ctx context.Context) (any, error) {
		found, err := s.reader.Fetch(ctx, ids)
		return fetched{ids, found, err}, err
	})
}

// Look reads the rows of one job.
func (s *keptStore) Look(id job.ID) {
	s.read("a job", func(ctx context.Context) (any, error) {
		open, ended, err := s.reader.Look(ctx, id)
		return looked{id, open, ended, err}, err
	})
}

// keptAgents sends the book's words to agents.
type keptAgents Node

// Linked lists the agents that are linked.
func (a *keptAgents) Linked() []ident.Incarnation {
	var out []ident.Incarnation
	for l := range a.links.All() {
		out = append(out, l.Peer)
	}
	slices.Sort(out)
	return out
}

// Noted tells that ends are stored, or count for nothing.
func (a *keptAgents) Noted(agent ident.Incarnation, runs []fleet.RunRef, void bool) {
	a.links.Send(agent, codec.Noted(runs, void))
}

// Ask asks for ends of some jobs.
func (a *keptAgents) Ask(agent ident.Incarnation, number uint64, jobs []job.ID) {
	a.links.Send(agent, codec.Ask(number, jobs))
}

// sweepEvery is the pause between two looks for ended jobs that may be forgotten, one part of the store at a time.
const sweepEvery = 10 * time.Second

// sweep forgets ended jobs in time, until the node stops.
func (n *Node) sweep() {
	parts := n.layout().All()
	for turn := 0; ; turn++ {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(sweepEvery):
		}
		active := false
		n.loop.Call(func() { active = n.book.Active(boottime.Now()) })
		if !active {
			continue // nobody has kept jobs, and each look is a call that has a price
		}
		count, err := n.reader.Sweep(n.ctx, parts[turn%len(parts)])
		if err != nil || count > 0 {
			n.log.WithFields(logrus.Fields{"jobs": count, "error": err}).Info("jobs_forgotten")
		}
	}
}
