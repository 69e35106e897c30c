package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/peer"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

const jobID = job.ID(7)

// hello returns the first message of a test's session.
func hello() *wire.Hello { return &wire.Hello{Role: "entry", Name: "e"} }

// newClient returns a client with short timeouts.
func newClient(t *testing.T) *peer.Client {
	limit := 200 * time.Millisecond
	c := peer.New(peer.Options{
		Dial: session.TCP, Limits: session.Limits{Dial: limit, Handshake: limit}, ReplyTimeout: limit, RetryPause: 10 * time.Millisecond,
		Hello: hello, Log: logs.Discard(),
	})
	t.Cleanup(c.Close)
	return c
}

// entry is a stand-in for another entry.
type entry struct {
	address ident.Address
	// sessions counts the sessions that were opened, queries the queries that were received.
	sessions, queries atomic.Int32
}

// startEntry starts an entry that serves each session with serve; n counts the sessions from 1.
func startEntry(t *testing.T, serve func(e *entry, n int32, s *session.Session)) *entry {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	e := &entry{address: ident.Address(ln.Addr().String())}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				s, err := session.Accept(conn, hello())
				if err != nil {
					return
				}
				t.Cleanup(s.Close)
				serve(e, e.sessions.Add(1), s)
			}()
		}
	}()
	return e
}

// replying returns a function for startEntry that gives the same reply to each query.
func replying(state verdict.State, shared bool) func(*entry, int32, *session.Session) {
	return func(e *entry, _ int32, s *session.Session) {
		peer.Serve(s, func(fleet.JobQuery) fleet.JobReply { //nolint:errcheck // the session ends with the test
			e.queries.Add(1)
			return fleet.JobReply{State: state, Shared: shared}
		})
	}
}

// silent reads queries and replies to none.
func silent(e *entry, _ int32, s *session.Session) {
	s.Receive(func([]*wire.Msg) { e.queries.Add(1) }) //nolint:errcheck // the session ends with the test
}

// silentOnce is silent on its first session only.
func silentOnce(e *entry, n int32, s *session.Session) {
	if n == 1 {
		silent(e, n, s)
		return
	}
	replying(verdict.Unknown, false)(e, n, s)
}

// lost returns the address of an entry that has ended.
func lost(t *testing.T) ident.Address {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ln.Close()
	return ident.Address(ln.Addr().String())
}

// TestAsk guards against an answer about a job that is drawn from the replies of only some of the entries that may have it.
func TestAsk(t *testing.T) {
	type serve = func(*entry, int32, *session.Session)
	unknown, running := replying(verdict.Unknown, false), replying(verdict.Running, false)
	ended, part := replying(verdict.Cancelled, false), replying(verdict.Cancelled, true)
	for _, test := range []struct {
		name    string
		cancel  bool
		entries []serve
		// lost is set if one more entry has ended.
		lost   bool
		state  verdict.State
		silent int
	}{
		{"no other entry", true, nil, false, verdict.Unknown, 0},
		{"nobody has it", true, []serve{unknown, unknown}, false, verdict.Unknown, 0},
		{"one had it", true, []serve{unknown, ended}, false, verdict.Cancelled, 0},
		{"one had it, another is silent", true, []serve{silent, ended}, false, verdict.Cancelled, 0},
		{"one had a part, the other nothing", true, []serve{part, unknown}, false, verdict.Cancelled, 0},
		{"one had a part, another is silent", true, []serve{part, silent}, false, verdict.Cancelled, 1},
		{"one is silent", true, []serve{unknown, silent}, false, verdict.Unknown, 1},
		{"one can't tell", true, []serve{unknown, replying(verdict.Unresolved, false)}, false, verdict.Unknown, 1},
		{"one replies without a state", true, []serve{unknown, replying("", false)}, false, verdict.Unknown, 1},
		{"one has ended", true, []serve{unknown}, true, verdict.Unknown, 0},
		{"a session is silent, the next one is not", true, []serve{unknown, silentOnce}, false, verdict.Unknown, 0},
		{"one runs it, another is silent", false, []serve{silent, running}, false, verdict.Running, 0},
		{"one holds a request for it, another is silent", false, []serve{silent, replying(verdict.Running, true)}, false, verdict.Running, 0},
		{"asked for its state, one is silent", false, []serve{silent, unknown}, false, verdict.Unknown, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var addresses []ident.Address
			for _, s := range test.entries {
				addresses = append(addresses, startEntry(t, s).address)
			}
			if test.lost {
				addresses = append(addresses, lost(t))
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			out := newClient(t).Ask(ctx, addresses, fleet.JobQuery{Job: jobID, Cancel: test.cancel})
			qt.Check(t, out.State, qt.Equals, test.state)
			qt.Check(t, out.Silent, qt.HasLen, test.silent)
		})
	}
}

// TestQueriesShareASession guards against a session for each query, and against replies that reach the caller of another query.
func TestQueriesShareASession(t *testing.T) {
	e := startEntry(t, func(_ *entry, _ int32, s *session.Session) {
		peer.Serve(s, func(q fleet.JobQuery) fleet.JobReply { //nolint:errcheck // the session ends with the test
			if q.Job%2 == 0 {
				return fleet.JobReply{State: verdict.Running}
			}
			return fleet.JobReply{State: verdict.Unknown}
		})
	})
	c := newClient(t)
	states := make([]chan verdict.State, 50)
	for i := range states {
		states[i] = make(chan verdict.State, 1)
		go func() {
			states[i] <- c.Ask(context.Background(), []ident.Address{e.address}, fleet.JobQuery{Job: job.ID(i)}).State
		}()
	}
	for i, state := range states {
		want := verdict.Unknown
		if i%2 == 0 {
			want = verdict.Running
		}
		qt.Check(t, <-state, qt.Equals, want, qt.Commentf("job %d", i))
	}
	qt.Check(t, e.sessions.Load(), qt.Equals, int32(1))
}

// TestSilentEntryIsAskedBriefly guards against callers that wait for the longest time for an entry that did not reply to the query before, and
// against an entry that stays silent because its present session is.
func TestSilentEntryIsAskedBriefly(t *testing.T) {
	e := startEntry(t, func(e *entry, n int32, s *session.Session) {
		if n < 4 {
			silent(e, n, s)
			return
		}
		replying(verdict.Unknown, false)(e, n, s)
	})
	c := newClient(t)
	for _, want := range []struct {
		silent   int
		sessions int32
	}{{1, 2}, {1, 3}, {0, 4}} {
		ctx, cancel := context.WithTimeout(context.Background(), 350*time.Millisecond)
		out := c.Ask(ctx, []ident.Address{e.address}, fleet.JobQuery{Job: jobID, Cancel: true})
		cancel()
		qt.Check(t, out.Silent, qt.HasLen, want.silent)
		qt.Check(t, e.sessions.Load(), qt.Equals, want.sessions)
	}
}

// TestCallerLeaves guards against a caller that leaves before an entry can reply, and so ends the session that other callers use.
func TestCallerLeaves(t *testing.T) {
	e := startEntry(t, func(e *entry, _ int32, s *session.Session) {
		peer.Serve(s, func(fleet.JobQuery) fleet.JobReply { //nolint:errcheck // the session ends with the test
			time.Sleep(50 * time.Millisecond)
			return fleet.JobReply{State: verdict.Unknown}
		})
	})
	c := newClient(t)
	for _, patience := range []time.Duration{time.Second, 20 * time.Millisecond, time.Second} {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		out := c.Ask(ctx, []ident.Address{e.address}, fleet.JobQuery{Job: jobID})
		cancel()
		qt.Check(t, len(out.Silent) == 0, qt.Equals, patience == time.Second)
	}
	qt.Check(t, e.sessions.Load(), qt.Equals, int32(1))
}

// TestClose checks that no session is opened after Close.
func TestClose(t *testing.T) {
	e := startEntry(t, replying(verdict.Unknown, false))
	c := newClient(t)
	c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	qt.Check(t, c.Ask(ctx, []ident.Address{e.address}, fleet.JobQuery{Job: jobID}).Silent, qt.HasLen, 1)
	qt.Check(t, e.queries.Load(), qt.Equals, int32(0))
}
