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
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/owner"
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
	openJobsRead struct {
		open   []rows.Row
		leases rows.Page
		err    error
	}
	jobsFetched struct {
		ids  []job.ID
		rows []rows.Row
		err  error
	}
	jobRead struct {
		id          job.ID
		open, ended rows.Row
		err         error
	}
	// cancelledElsewhere carries jobs that other entries have cancelled.
	jobsCancelled struct{ ids []job.ID }
)

// newBook returns the entry's book of kept jobs, and makes its ledger.
func (n *Node) newKeptJobs(store jobstore.Store) *owner.Owner {
	k := n.set.Kept
	layout := n.layout()
	counters := metrics.NewCounters("kept")
	n.reader = jobstore.NewReader(store, layout, k.Keep)
	n.jobWriter = jobstore.New(store, func(r jobstore.Result) { n.loop.Post(r) }, n.log)
	return owner.New(owner.Options{
		Node: n.set.Node.Name, Incarnation: n.inc, Layout: layout, LeaseDuration: k.Lease, RenewInterval: k.Renew, Retention: k.Keep,
		MaxRow: int(k.MaxRow), SettleTime: n.set.Links.Timing().SettleAfter(), Log: n.log,
		Count: func(event string) { counters.Add(event, 1) },
	}, (*keptStore)(n), n.table, (*keptAgents)(n), (*answerer)(n), boottime.Now())
}

// CancelRows are the parts of the table of cancellations, which Cancelled takes changes of.
func (n *Node) CancellationParts() []string { return n.layout().AllParts() }

// layout is how kept jobs are spread over the parts of the store.
func (n *Node) layout() record.Layout { return record.Layout{Parts: n.set.Kept.Parts()} }

// Cancelled takes in changes of the table of cancellations; it is a follow.Change.
func (n *Node) HandleCancellations(c follow.Changes) {
	var ids []job.ID
	for _, r := range c.Rows {
		id, err := record.ParseJobID(r.Key)
		if err != nil {
			n.log.WithField("error", err.Error()).Error("job_row_unreadable")
			continue
		}
		if !r.Removed {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		n.loop.Post(jobsCancelled{ids})
	}
}

// handleKept handles an event that concerns kept jobs.
func (n *Node) handleKept(now time.Time, e any) {
	switch e := e.(type) {
	case jobstore.Result:
		n.keptJobs.HandleWriteResult(now, e)
	case leasesRead:
		n.keptJobs.HandleLeases(now, e.sent, e.page, e.err)
	case openJobsRead:
		n.keptJobs.HandleScan(now, e.open, e.leases, e.err)
	case jobsFetched:
		n.keptJobs.HandleFetch(now, e.ids, e.rows, e.err)
	case jobRead:
		n.keptJobs.HandleLookUp(e.id, e.open, e.ended, e.err)
	case jobsCancelled:
		n.keptJobs.HandleRemoteCancellations(now, e.ids)
	}
}

// keeps tells whether a job is one to be kept that can be.
func (n *Node) mustKeep(r *dispatch.Request) bool {
	return !r.Spec.BestEffort && r.Spec.Unsupported == "" && r.Spec.TaskCount() <= n.set.Entry.MaxTasks
}

// keptStore reads and writes kept jobs' rows for the book.
type keptStore Node

// Away tells whether the store has not answered for a while.
func (s *keptStore) Unavailable() bool { return s.jobWriter.Unavailable() }

// Write begins a write.
func (s *keptStore) Write(op jobstore.Op) { s.jobWriter.Write(op) }

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
			s.jobWriter.ObserveRead(boottime.Since(sent))
		}
		return leasesRead{sent, page, err}, err
	})
}

// Scan reads all open jobs.
func (s *keptStore) Scan() {
	s.read("open jobs", func(ctx context.Context) (any, error) {
		open, leases, err := s.reader.Scan(ctx)
		return openJobsRead{open, leases, err}, err
	})
}

// Fetch reads what jobs were submitted with.
func (s *keptStore) Fetch(ids []job.ID) {
	s.read("jobs", func(ctx context.Context) (any, error) {
		found, err := s.reader.Fetch(ctx, ids)
		return jobsFetched{ids, found, err}, err
	})
}

// Look reads the rows of one job.
func (s *keptStore) LookUp(id job.ID) {
	s.read("a job", func(ctx context.Context) (any, error) {
		open, ended, err := s.reader.LookUp(ctx, id)
		return jobRead{id, open, ended, err}, err
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
func (a *keptAgents) Acknowledge(agent ident.Incarnation, runs []fleet.RunRef, void bool) {
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
	parts := n.layout().AllParts()
	for turn := 0; ; turn++ {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(sweepEvery):
		}
		active := false
		n.loop.Call(func() { active = n.keptJobs.AnyLease(boottime.Now()) })
		if !active {
			continue // nobody has kept jobs, and each look is a call that has a price
		}
		count, err := n.reader.Sweep(n.ctx, parts[turn%len(parts)])
		if err != nil || count > 0 {
			n.log.WithFields(logrus.Fields{"jobs": count, "error": err}).Info("jobs_forgotten")
		}
	}
}
