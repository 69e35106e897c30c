package node_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/node"
	"hillreel/internal/entry/peer"
	"hillreel/internal/kept/record"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
	"hillreel/internal/standin/loopback"
	"hillreel/internal/standin/memory"
)

// cuttableStore is one entry's path to a store, which can be cut: calls then wait until their contexts end.
type cuttableStore struct {
	*sharedStore
	cut atomic.Bool
	// late holds the transactions that came during the cut. It is guarded by mu of sharedStore.
	late []rows.Txn
	// stop ends the entry's process.
	stop func()
}

// carryOutLate carries out the transactions that got no answer during the cut, and returns how many of their conditions hold.
func (s *cuttableStore) carryOutLate() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.late {
		if s.rows.Commit(t) {
			count++
		}
	}
	return count
}

func (s *cuttableStore) Commit(ctx context.Context, t rows.Txn) (rows.Version, error) {
	if s.cut.Load() {
		s.mu.Lock()
		s.late = append(s.late, t)
		s.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return s.sharedStore.Commit(ctx, t)
}

func (s *cuttableStore) Read(ctx context.Context, k rows.Key) (rows.Row, error) {
	if s.cut.Load() {
		<-ctx.Done()
		return rows.Row{}, ctx.Err()
	}
	return s.sharedStore.Read(ctx, k)
}

func (s *cuttableStore) Range(ctx context.Context, r rows.Range) (rows.Page, error) {
	if s.cut.Load() {
		<-ctx.Done()
		return rows.Page{}, ctx.Err()
	}
	return s.sharedStore.Range(ctx, r)
}

// startCuttable starts an entry that reaches the store over a path of its own, with the default settings as adjust changes them.
func startCuttable(t *testing.T, store *sharedStore, adjust ...func(*settings.Settings)) (*node.Node, *cuttableStore) {
	set, err := settings.Load("")
	qt.Assert(t, err, qt.IsNil)
	set.Node.Name, set.Node.Link, set.Links.Silence = "owner", settings.Address(loopback.Draw(loopback.Embedded, 7400)), time.Minute
	for _, change := range adjust {
		change(set)
	}
	path := &cuttableStore{sharedStore: store}
	n := node.New(set, path, nil, node.NewObserver(logs.Discard(), nil), logs.Discard())
	qt.Assert(t, n.Start(context.Background()), qt.IsNil)
	path.stop = sync.OnceFunc(n.Stop)
	t.Cleanup(path.stop)
	register(store, n.Address())
	return n, path
}

// keepJob hands a job to be kept in at an entry, which accepts it.
func keepJob(t *testing.T, n *node.Node, id job.ID) {
	a, err := n.Submit(context.Background(), dispatch.Request{
		Job: id, Route: route.Route{Service: "publish", Attempts: 2, Target: time.Minute}, Deadline: boottime.Now().Add(time.Minute),
		Spec: &job.Spec{Text: "x", Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second}}},
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.State, qt.Equals, verdict.Accepted)
}

// TestCancelReachesOwnerCutOffFromStore guards against tasks that start after the cancellation of their kept job was confirmed, because the
// job's owner is cut off from the store and goes on until its lease ends.
func TestCancelReachesOwnerCutOffFromStore(t *testing.T) {
	store := &sharedStore{rows: memory.New()}
	owner, path := startCuttable(t, store)
	other := startNodes(t, store, 1)[0]
	keepJob(t, owner, 7)
	keepJob(t, owner, 8)
	path.cut.Store(true)
	began := boottime.Now()
	state, err := other.Cancel(context.Background(), 7)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, state, qt.Equals, verdict.Cancelled)
	qt.Check(t, boottime.Since(began) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", boottime.Since(began)))
	for id, want := range map[job.ID]verdict.State{7: verdict.Cancelled, 8: verdict.Running} {
		ctx, done := context.WithTimeout(context.Background(), 100*time.Millisecond)
		state, err = owner.State(ctx, id)
		done()
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, state, qt.Equals, want, qt.Commentf("job %v", id))
	}
}

// startPeer starts a stand-in for an entry that gives the same reply to each query, and returns its address.
func startPeer(t *testing.T, reply verdict.State) ident.Address {
	address := loopback.Draw(loopback.Embedded, 7400)
	ln, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s, err := session.Accept(conn, &wire.Hello{Role: "entry", Name: "peer"})
			if err != nil {
				continue
			}
			t.Cleanup(s.Close)
			go peer.Serve(s, func(fleet.JobQuery) fleet.JobReply { return fleet.JobReply{State: reply} }) //nolint:errcheck // the session ends with the test
		}
	}()
	return ident.Address(address)
}

// TestCancelOfUnreachableOwner guards against a cancellation that is confirmed while the job's owner, which can't be reached, may start
// tasks for longer than is allowed after the confirmation, and against one that waits though the owner can't act any more.
func TestCancelOfUnreachableOwner(t *testing.T) {
	const (
		id    = job.ID(7)
		lease = record.LeaseID("lost-0")
		// wait is how long it takes until the lease ends, with the time to start a task, within the time that is allowed. The
		// lease is looked at each 250 ms. atOnce bounds what must not wait for that, on a busy machine.
		wait   = 2 * time.Second
		atOnce = 1500 * time.Millisecond
		left   = 3 * time.Second
	)
	at := func(d time.Duration) int64 { return (time.Minute + d).Milliseconds() } // the store's clock begins at one minute
	alive := func() *record.Lease { return &record.Lease{UntilMs: at(left)} }
	silent := func(t *testing.T) ident.Address {
		address := loopback.Draw(loopback.Embedded, 7400)
		listenWithoutReply(t, address)
		return ident.Address(address)
	}
	replying := func(s verdict.State) func(*testing.T) ident.Address {
		return func(t *testing.T) ident.Address { return startPeer(t, s) }
	}
	ended := func(*testing.T) ident.Address { return ident.Address(loopback.Draw(loopback.Embedded, 7400)) }
	unknown := func(*testing.T) ident.Address { return "" }
	for _, test := range []struct {
		name string
		// owner returns the address of the job's owner.
		owner func(t *testing.T) ident.Address
		lease *record.Lease
		// renewed: the owner renews its lease all the time.
		renewed  bool
		min, max time.Duration
	}{
		{"silent", silent, alive(), false, wait, 3 * wait},
		{"silent, in touch with the store", silent, &record.Lease{UntilMs: at(time.Hour)}, true, 250 * time.Millisecond, atOnce},
		{"silent, its lease has expired", silent, &record.Lease{UntilMs: at(0)}, false, 0, atOnce},
		{"silent, its lease is claimed", silent, &record.Lease{UntilMs: at(left), Adopter: "x"}, false, 0, atOnce},
		{"its lease is gone", silent, nil, false, 0, atOnce},
		{"its address is not known", unknown, alive(), false, wait, 3 * wait},
		{"its process has ended", ended, alive(), false, 0, atOnce},
		{"a new process has its address", replying(verdict.Cancelled), alive(), false, 0, atOnce},
		{"of an earlier release, which says that it runs the job", replying(verdict.Running), alive(), false, wait, 3 * wait},
		{"it can't tell", replying(verdict.Unresolved), alive(), false, wait, 3 * wait},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			store := &sharedStore{rows: memory.New(), running: time.Now()}
			set, err := settings.Load("")
			qt.Assert(t, err, qt.IsNil)
			set.Node.Link, set.Kept.CancelWithin = settings.Address(loopback.Draw(loopback.Embedded, 7400)), left+500*time.Millisecond-wait
			n := node.New(set, store, nil, node.NewObserver(logs.Discard(), nil), logs.Discard())
			qt.Assert(t, n.Start(context.Background()), qt.IsNil)
			t.Cleanup(n.Stop)
			layout := record.Layout{Parts: set.Kept.Parts()}
			put := func(k rows.Key, v any) {
				store.mu.Lock()
				defer store.mu.Unlock()
				store.rows.Put(k, record.EncodeLogged(logs.Discard(), v))
			}
			put(layout.OpenKey(id), record.OpenJob{Owner: lease, Generation: 1, Sequence: 1})
			if test.lease != nil {
				l := *test.lease
				l.Link = test.owner(t)
				put(record.LeaseKey(lease), l)
				if test.renewed {
					ticker := time.NewTicker(50 * time.Millisecond)
					t.Cleanup(ticker.Stop)
					go func() {
						for range ticker.C {
							put(record.LeaseKey(lease), l)
						}
					}()
				}
			}
			began := time.Now()
			store.mu.Lock()
			store.running = began
			store.mu.Unlock()
			if test.min == wait { // a caller that does not wait is told so; when it asks again, the time counts
				ctx, done := context.WithTimeout(context.Background(), wait/4)
				_, err := n.Cancel(ctx, id)
				done()
				qt.Check(t, err, qt.IsNotNil)
			}
			state, err := n.Cancel(context.Background(), id)
			took := time.Since(began)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, state, qt.Equals, verdict.Cancelled)
			qt.Check(t, took >= test.min && took < test.max, qt.IsTrue, qt.Commentf("took %v", took))
		})
	}
}

// TestLateNoticeOfCancellation checks that notices of cancellations that come twice, late, or at an entry that has never had the job, are
// confirmed and change nothing else.
func TestLateNoticeOfCancellation(t *testing.T) {
	store := &sharedStore{rows: memory.New()}
	owner, _ := startCuttable(t, store)
	keepJob(t, owner, 7)
	c := peer.New(peer.Options{
		Dial: session.TCP, Limits: session.Limits{Dial: time.Second, Handshake: time.Second}, ReplyTimeout: time.Second, RetryPause: 10 * time.Millisecond,
		Hello: func() *wire.Hello { return &wire.Hello{Role: "entry", Name: "e"} }, Log: logs.Discard(),
	})
	t.Cleanup(c.Close)
	for _, id := range []job.ID{8, 8, 9} {
		reply, err := c.Tell(context.Background(), ident.Address(owner.Address()), fleet.JobQuery{Job: id, Cancelled: true})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, reply.State, qt.Equals, verdict.Cancelled)
	}
	state, err := owner.State(context.Background(), 7)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, state, qt.Equals, verdict.Running)
	keepJob(t, owner, 8) // the store does not have this job: the notices were of a former one with its id
	state, err = owner.State(context.Background(), 8)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, state, qt.Equals, verdict.Running)
}

// TestCancelOfKeptJobCosts guards against cancellations of other entries' kept jobs whose cost grows with the number of entries or agents: one
// query and one reply each, whatever their number, on one session, and no further call of the store.
func TestCancelOfKeptJobCosts(t *testing.T) {
	for _, test := range []struct{ entries, agents, links int }{{2, 0, 0}, {12, 24, 12}, {184, 0, 0}} {
		t.Run(fmt.Sprintf("%d entries, %d agents", test.entries, test.agents), func(t *testing.T) {
			store := &sharedStore{rows: memory.New()}
			nodes := startNodes(t, store, test.entries)
			linkAgents(t, nodes, test.agents, test.links)
			for i, opened := range []int{1, 0} {
				id := job.ID(100 + i)
				keepJob(t, nodes[1], id)
				queries, replies, sessions := counter(t, "peers", "queries"), counter(t, "peers", "replies"), counter(t, "peers", "sessions")
				began := boottime.Now()
				state, err := nodes[0].Cancel(context.Background(), id)
				t.Logf("cancellation %d took %v", i, boottime.Since(began))
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, state, qt.Equals, verdict.Cancelled)
				qt.Check(t, counter(t, "peers", "queries")-queries, qt.Equals, 1)
				qt.Check(t, counter(t, "peers", "replies")-replies, qt.Equals, 1)
				qt.Check(t, counter(t, "peers", "sessions")-sessions, qt.Equals, opened)
			}
		})
	}
}
