package node_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/node"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/settings"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// fakeEntry is the other end of an agent's link. Its keep-alives name the configuration that it has, and it counts the configurations that
// it gets.
type fakeEntry struct {
	ln     net.Listener
	linked chan *session.Session

	mu sync.Mutex
	// alive is the content of its keep-alives.
	alive fleet.KeepAlive
	// got counts the configurations that arrived. unconfirmed holds the unconfirmed crashes that did.
	got         int
	unconfirmed []fleet.Crash
}

// listen starts the entry with the given number, which sets its loopback address. All entries have the same port.
func listen(t *testing.T, number int, port string) *fakeEntry {
	host := fmt.Sprintf("127.0.0.%d", number)
	ln, err := net.Listen("tcp", net.JoinHostPort(host, port))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	e := &fakeEntry{ln: ln, linked: make(chan *session.Session, 10), alive: fleet.KeepAlive{Config: 1, Follows: true}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, number)
		}
	}()
	return e
}

// serve serves one link of the agent.
func (e *fakeEntry) serve(conn net.Conn, number int) {
	s, err := session.Accept(conn, &wire.Hello{Role: "entry", Name: conn.LocalAddr().String(), Incarnation: uint64(number), ConfigVersion: 1})
	if err != nil {
		return
	}
	e.linked <- s
	s.Receive(func(msgs []*wire.Msg) { //nolint:errcheck // the session ends with the test
		for _, m := range msgs {
			if m.GetConfig() != nil {
				e.set(func() { e.got++; e.alive.Config = ident.ConfigVersion(m.GetConfig().GetVersion()) })
			}
			if m.GetUnconfirmed() != nil {
				e.set(func() { e.unconfirmed = append(e.unconfirmed, codec.ReadUnconfirmed(m.GetUnconfirmed())...) })
			}
		}
	})
}

// awaitLink waits for the next link of the agent and returns its session.
func (e *fakeEntry) awaitLink(t *testing.T) *session.Session {
	select {
	case s := <-e.linked:
		return s
	case <-time.After(5 * time.Second):
		t.Fatalf("%s is not linked", e.ln.Addr())
		return nil
	}
}

// set applies a change to the entry's state under its lock.
func (e *fakeEntry) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// count returns the number of configurations that arrived.
func (e *fakeEntry) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.got
}

// told returns the unconfirmed crashes that arrived.
func (e *fakeEntry) told() []fleet.Crash {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unconfirmed
}

// keepAlive sends a keep-alive every 20 ms until the test ends.
func (e *fakeEntry) keepAlive(t *testing.T, s *session.Session) {
	for t.Context().Err() == nil {
		e.mu.Lock()
		alive := e.alive
		e.mu.Unlock()
		s.Send(codec.Ping(alive))
		time.Sleep(20 * time.Millisecond)
	}
}

// TestConfigGoesToThoseWithout guards against agents that flood entries with copies of a new configuration. Most entries read it themselves;
// an agent sends one copy to each entry that does not, however many entries it is linked to.
func TestConfigGoesToThoseWithout(t *testing.T) {
	for _, n := range []int{4, 8} {
		t.Run(fmt.Sprint(n, " entries"), func(t *testing.T) {
			first := listen(t, 1, "0")
			_, port, err := net.SplitHostPort(first.ln.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			all := []*fakeEntry{first}
			set, err := settings.Load("")
			qt.Assert(t, err, qt.IsNil)
			set.Node.Link, set.Node.Seeds = settings.Address(first.ln.Addr().String()), []string{first.ln.Addr().String()}
			for i := 2; i <= n; i++ {
				e := listen(t, i, port)
				all = append(all, e)
				set.Node.Seeds = append(set.Node.Seeds, e.ln.Addr().String())
			}
			a := node.New(set, nil, emptyMemory{}, session.TCP, logs.Discard())
			qt.Assert(t, a.Start(context.Background()), qt.IsNil)
			defer a.Stop()
			var sessions []*session.Session
			for _, e := range all {
				s := e.awaitLink(t)
				sessions = append(sessions, s)
				go e.keepAlive(t, s)
			}
			const version = 2
			cutOff := all[n-1]
			cutOff.set(func() { cutOff.alive.Follows = false })
			sessions[0].Send(codec.Config(version, []byte("routes")))
			for _, e := range all[:n-1] {
				e.set(func() { e.alive.Config = version })
			}
			for until := time.Now().Add(1300 * time.Millisecond); cutOff.count() == 0; time.Sleep(10 * time.Millisecond) {
				qt.Assert(t, time.Now().Before(until), qt.IsTrue)
			}
			time.Sleep(200 * time.Millisecond)
			for _, e := range all[:n-1] {
				qt.Assert(t, e.count(), qt.Equals, 0)
			}
			qt.Assert(t, cutOff.count(), qt.Equals, 1)
			qt.Assert(t, a.FollowingEntries(), qt.Equals, n-1)
		})
	}
}

// TestListsOfEntries checks that an agent dials each entry that any linked entry lists, even if another linked entry does not list it yet.
func TestListsOfEntries(t *testing.T) {
	first := listen(t, 1, "0")
	_, port, err := net.SplitHostPort(first.ln.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	second, third := listen(t, 2, port), listen(t, 3, port)
	set, err := settings.Load("")
	qt.Assert(t, err, qt.IsNil)
	set.Node.Link, set.Node.Seeds = settings.Address(first.ln.Addr().String()), []string{first.ln.Addr().String()}
	a := node.New(set, nil, emptyMemory{}, session.TCP, logs.Discard())
	qt.Assert(t, a.Start(context.Background()), qt.IsNil)
	defer a.Stop()
	tell := func(e *fakeEntry, all ...*fakeEntry) *session.Session {
		s := e.awaitLink(t)
		go e.keepAlive(t, s)
		var out []fleet.Entry
		for _, listed := range all {
			out = append(out, fleet.Entry{Address: ident.Address(listed.ln.Addr().String())})
		}
		s.Send(codec.Peers(out))
		return s
	}
	tell(first, first, second)
	lost := tell(second, third)
	tell(third, third)
	time.Sleep(100 * time.Millisecond)
	lost.Close()
	second.awaitLink(t)
}
