package node_test

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/node"
	"hillreel/internal/kept/record"
	"hillreel/internal/link/members"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
	"hillreel/internal/standin/loopback"
	"hillreel/internal/standin/memory"
)

// sharedStore is a store in memory for several entries.
type sharedStore struct {
	mu   sync.Mutex
	rows memory.Store
	// calls counts all calls, commits those that write. A write takes writeTime.
	calls, commits int
	writeTime      time.Duration
	// reads counts the calls that read single rows. afterReads are actions that happen just after the read with that number.
	reads      int
	afterReads map[int]func(s *memory.Store)
	// running makes the store's clock run from one minute on, since then; it stands there otherwise.
	running time.Time
	// holdWrites delays all writes until it is closed, unless it is nil.
	holdWrites chan struct{}
}

func (s *sharedStore) Commit(ctx context.Context, t rows.Txn) (rows.Version, error) {
	if s.holdWrites != nil {
		select {
		case <-s.holdWrites:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	time.Sleep(s.writeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.commits++
	if !s.rows.Commit(t) {
		return 0, rows.ErrConflict
	}
	return s.rows.Version, nil
}

// callCount returns the number of calls so far.
func (s *sharedStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// countRead counts a read and runs the action that follows it. s.mu must be held.
func (s *sharedStore) countRead() {
	s.calls++
	s.reads++
	if f := s.afterReads[s.reads]; f != nil {
		f(&s.rows)
	}
}

func (s *sharedStore) Read(_ context.Context, k rows.Key) (rows.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.countRead()
	return s.rows.Rows[k], nil
}

func (s *sharedStore) Range(_ context.Context, r rows.Range) (rows.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	page := rows.Page{Version: s.rows.Version, Now: time.Minute}
	if !s.running.IsZero() {
		page.Now += time.Since(s.running)
	}
	for k, row := range s.rows.Rows {
		if k.Table == r.Table && k.Part == r.Part && k.Name >= r.From && (r.To == "" || k.Name < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// startNodes starts entries that are registered in a store.
func startNodes(t *testing.T, store *sharedStore, count int) []*node.Node {
	var out []*node.Node
	for i := range count {
		set, err := settings.Load("")
		qt.Assert(t, err, qt.IsNil)
		set.Node.Name, set.Node.Link, set.Links.Silence = fmt.Sprintf("entry-%d", i), settings.Address(loopback.Draw(loopback.Embedded, 7400)), time.Minute
		n := node.New(set, store, nil, node.NewObserver(logs.Discard(), nil), logs.Discard())
		qt.Assert(t, n.Start(context.Background()), qt.IsNil)
		t.Cleanup(n.Stop)
		register(store, n.Address())
		out = append(out, n)
	}
	return out
}

// register stores the row of an entry.
func register(s *sharedStore, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows.Put(rows.Key{Table: members.Table, Name: address}, []byte("{}"))
}

// linkAgents links agents to entries, each to the given number of them.
func linkAgents(t *testing.T, nodes []*node.Node, agents, links int) {
	for a := range agents {
		for l := range links {
			hello := &wire.Hello{Role: "agent", Name: fmt.Sprintf("agent-%d", a), Incarnation: uint64(a + 1), Session: 1}
			s, err := session.Dial(session.TCP, nodes[(a+l*len(nodes)/links)%len(nodes)].Address(), session.Limits{Dial: time.Second, Handshake: 3 * time.Second}, hello)
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(s.Close)
		}
	}
}

// counter returns the value of a metric of this process: of the variable name or, with a key, of an entry of the map name.
func counter(t *testing.T, name, key string) int {
	v := expvar.Get(name)
	if key != "" && v != nil {
		v = v.(*expvar.Map).Get(key)
	}
	if v == nil {
		return 0
	}
	n, err := strconv.Atoi(v.String())
	qt.Assert(t, err, qt.IsNil)
	return n
}

// TestCancelCosts guards against cancellations whose cost grows faster than the number of entries, or grows with the number of agents. The
// cancellation of a job that nobody has takes one query and one reply for each other entry, and agents are not involved.
func TestCancelCosts(t *testing.T) {
	for _, test := range []struct{ entries, agents, links int }{{1, 0, 0}, {3, 11, 3}, {12, 24, 12}, {184, 0, 0}} {
		t.Run(fmt.Sprintf("%d entries, %d agents", test.entries, test.agents), func(t *testing.T) {
			store := &sharedStore{rows: memory.New()}
			nodes := startNodes(t, store, test.entries)
			linkAgents(t, nodes, test.agents, test.links)
			others := test.entries - 1
			for i, opened := range []int{others, 0} {
				queries, replies, sessions := counter(t, "peers", "queries"), counter(t, "peers", "replies"), counter(t, "peers", "sessions")
				began := boottime.Now()
				state, err := nodes[0].Cancel(context.Background(), job.ID(100+i))
				t.Logf("cancellation %d took %v", i, boottime.Since(began))
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, state, qt.Equals, verdict.Unknown)
				qt.Check(t, counter(t, "peers", "queries")-queries, qt.Equals, others)
				qt.Check(t, counter(t, "peers", "replies")-replies, qt.Equals, others)
				qt.Check(t, counter(t, "peers", "sessions")-sessions, qt.Equals, opened)
			}
		})
	}
}

// TestCancelOfJobStoredMeanwhile guards against a false "does not exist" for a job to be kept that is stored between the readings of its
// rows, by an entry that ends before it is asked.
func TestCancelOfJobStoredMeanwhile(t *testing.T) {
	const id = job.ID(7)
	set, err := settings.Load("")
	qt.Assert(t, err, qt.IsNil)
	layout := record.Layout{Parts: set.Kept.Parts()}
	open := record.EncodeLogged(logs.Discard(), record.OpenJob{Owner: "lost", Generation: 1, Sequence: 1})
	for _, test := range []struct {
		// reads is the number of reads of single rows after which the job is stored. A cancellation that finds no job makes two.
		reads int
		want  verdict.State
	}{{0, verdict.Cancelled}, {1, verdict.Cancelled}, {2, verdict.Cancelled}, {3, verdict.Unknown}} {
		t.Run(fmt.Sprintf("after %d reads", test.reads), func(t *testing.T) {
			store := &sharedStore{rows: memory.New()}
			put := func(s *memory.Store) { s.Put(layout.OpenKey(id), open) }
			store.afterReads = map[int]func(*memory.Store){test.reads: put}
			if test.reads == 0 {
				put(&store.rows)
			}
			state, err := startNodes(t, store, 2)[0].Cancel(context.Background(), id)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, state, qt.Equals, test.want)
			store.mu.Lock()
			defer store.mu.Unlock()
			ended, err := record.Decode[record.EndedJob](store.rows.Rows[layout.EndedKey(id)])
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, ended.State, qt.Equals, test.want, qt.Commentf("a tombstone has the state unknown"))
			_, open := store.rows.Rows[layout.OpenKey(id)]
			qt.Check(t, open, qt.IsFalse)
		})
	}
}

// listenWithoutReply accepts connections at an address and reads nothing.
func listenWithoutReply(t *testing.T, address string) net.Listener {
	ln, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	return ln
}

// TestPausedEntry guards against a false "does not exist" while an entry that may have the job accepts connections and replies to nothing,
// as a process that is paused does.
func TestPausedEntry(t *testing.T) {
	store := &sharedStore{rows: memory.New()}
	n := startNodes(t, store, 3)[0]
	paused := loopback.Draw(loopback.Embedded, 7400)
	register(store, paused)
	state, err := n.Cancel(context.Background(), 7)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, state, qt.Equals, verdict.Unknown, qt.Commentf("no process listens at the address"))
	ln := listenWithoutReply(t, paused)
	for range 2 {
		_, err = n.Cancel(context.Background(), 7)
		qt.Check(t, err, qt.ErrorMatches, "entry: 1 of 3 other entries do not reply.*")
		_, err = n.State(context.Background(), 7)
		qt.Check(t, err, qt.ErrorMatches, "entry: 1 of 3 other entries do not reply.*")
	}
	ln.Close() //nolint:errcheck // the process ends
	state, err = n.Cancel(context.Background(), 7)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, state, qt.Equals, verdict.Unknown)
}

// TestJobThatIsBeingStored guards against a job to be kept that is said not to exist, by its entry or another one, while its first write is
// under way. It can be cancelled at both.
func TestJobThatIsBeingStored(t *testing.T) {
	for _, test := range []struct {
		name string
		// cancelAt is the entry that is asked to cancel the job.
		cancelAt int
	}{{"cancelled at its entry", 0}, {"cancelled at another entry", 1}} {
		t.Run(test.name, func(t *testing.T) {
			store := &sharedStore{rows: memory.New(), holdWrites: make(chan struct{})}
			nodes := startNodes(t, store, 2)
			const id = job.ID(7)
			accepted := make(chan dispatch.Answer, 1)
			go func() {
				a, _ := nodes[0].Submit(context.Background(), dispatch.Request{
					Job: id, Route: route.Route{Service: "publish", Attempts: 2, Target: time.Minute}, Deadline: boottime.Now().Add(time.Minute),
					Spec: &job.Spec{Text: "x", Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second}}},
				})
				accepted <- a
			}()
			for i, n := range nodes {
				for until := boottime.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
					state, err := n.State(context.Background(), id)
					qt.Assert(t, err, qt.IsNil)
					if state == verdict.Pending {
						break
					}
					qt.Assert(t, i == 0 && boottime.Now().Before(until), qt.IsTrue, qt.Commentf("entry %d says %q", i, state))
				}
			}
			time.AfterFunc(20*time.Millisecond, func() { close(store.holdWrites) })
			state, err := nodes[test.cancelAt].Cancel(context.Background(), id)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, state, qt.Equals, verdict.Cancelled)
			qt.Check(t, (<-accepted).State, qt.Equals, verdict.Accepted)
			for _, n := range nodes {
				state, err := n.State(context.Background(), id)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, state, qt.Equals, verdict.Cancelled)
			}
		})
	}
}
