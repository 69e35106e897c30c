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

// The events that carry the results of reads of kept jobs' rows to the control goroutine.
type (
	// leasesRead carries the leases of all entries; sent is when the read began.
	leasesRead struct {
		sent time.Time
		page rows.Page
		err  error
	}
	// openJobsRead carries the rows of all open jobs, and the leases.
	openJobsRead struct {
		open   []rows.Row
		leases rows.Page
		err    error
	}
	// jobsFetched carries what the jobs with these ids were submitted with.
	jobsFetched struct {
		ids  []job.ID
		rows []rows.Row
		err  error
	}
	// jobRead carries the rows of one job.
	jobRead struct {
		id          job.ID
		open, ended rows.Row
		err         error
	}
	// jobsCancelled carries the jobs that other entries have cancelled.
	jobsCancelled struct{ ids []job.ID }
)

// newKeptJobs returns the owner of the entry's kept jobs. It sets n.reader and n.jobWriter.
func (n *Node) newKeptJobs(store jobstore.Store) *owner.Owner {
	k := n.set.Kept
	layout := n.layout()
	counters := metrics.NewCounters("kept")
	n.reader = jobstore.NewReader(store, layout, k.Keep)
	n.jobWriter = jobstore.New(store, func(r jobstore.Result) { n.loop.Post(r) }, n.log)
	return owner.New(owner.Options{
		Node: n.set.Node.Name, Link: n.set.Node.AdvertisedLink(), Incarnation: n.inc, Layout: layout, LeaseDuration: k.Lease, RenewInterval: k.Renew, Retention: k.Keep,
		MaxRow: int(k.MaxRow), MaxTasks: n.set.Entry.MaxTasks, SettleTime: n.set.Links.Timing().SettleAfter(), Log: n.log,
		Count: func(event string) { counters.Add(event, 1) },
	}, (*keptStore)(n), n.table, (*keptAgents)(n), (*answerer)(n), boottime.Now())
}

// CancellationParts returns the parts of the cancellations table whose changes HandleCancellations handles.
func (n *Node) CancellationParts() []string { return n.layout().AllParts() }

// layout returns how the rows of kept jobs are spread over the parts of the store.
func (n *Node) layout() record.Layout { return record.Layout{Parts: n.set.Kept.Parts()} }

// HandleCancellations handles changes of the cancellations table. It is a follow.Handler.
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

// mustKeep reports whether a job is to be kept and is valid. Other jobs go to the dispatch table, which refuses the invalid ones.
func (n *Node) mustKeep(r *dispatch.Request) bool {
	return !r.Spec.BestEffort && r.Spec.Unsupported == "" && r.Spec.TaskCount() <= n.set.Entry.MaxTasks
}

// keptStore reads and writes the rows of kept jobs for keptJobs.
type keptStore Node

// Unavailable reports whether the store has not answered for a while.
func (s *keptStore) Unavailable() bool { return s.jobWriter.Unavailable() }

// Write starts a write.
func (s *keptStore) Write(op jobstore.Op) { s.jobWriter.Write(op) }

// read runs do on a new goroutine and posts the event that it returns. what names the rows in the log if do fails.
func (s *keptStore) read(what string, do func(ctx context.Context) (event any, err error)) {
	go func() {
		event, err := do(s.ctx)
		if err != nil {
			s.log.WithFields(logrus.Fields{"what": what, "error": err.Error()}).Info("job_rows_unreadable")
		}
		s.loop.Post(event)
	}()
}

// ReadLeases reads the leases of all entries.
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

// Fetch reads what the jobs were submitted with.
func (s *keptStore) Fetch(ids []job.ID) {
	s.read("jobs", func(ctx context.Context) (any, error) {
		found, err := s.reader.Fetch(ctx, ids)
		return jobsFetched{ids, found, err}, err
	})
}

// LookUp reads the rows of one job.
func (s *keptStore) LookUp(id job.ID) {
	s.read("a job", func(ctx context.Context) (any, error) {
		open, ended, err := s.reader.LookUp(ctx, id)
		return jobRead{id, open, ended, err}, err
	})
}

// keptAgents sends the messages of keptJobs to agents.
type keptAgents Node

// Linked lists the linked agents in order of their incarnations.
func (a *keptAgents) Linked() []ident.Incarnation {
	var out []ident.Incarnation
	for l := range a.links.All() {
		out = append(out, l.Peer)
	}
	slices.Sort(out)
	return out
}

// Acknowledge tells an agent that the ends of runs are stored or, if void is true, that they must not count.
func (a *keptAgents) Acknowledge(agent ident.Incarnation, runs []fleet.RunRef, void bool) {
	a.links.Send(agent, codec.Noted(runs, void))
}

// Ask sends an agent a query for the ends of the runs of some jobs. The agent's reply carries the query's number.
func (a *keptAgents) Ask(agent ident.Incarnation, number uint64, jobs []job.ID) {
	a.links.Send(agent, codec.Ask(number, jobs))
}
