package node_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/settings"
	"hillreel/internal/entry/node"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// failingStore is a store whose calls all fail at once.
type failingStore struct{}

var errStoreDown = errors.New("the store is down")

func (failingStore) Commit(context.Context, rows.Txn) (rows.Version, error) { return 0, errStoreDown }
func (failingStore) Read(context.Context, rows.Key) (rows.Row, error) {
	return rows.Row{}, errStoreDown
}
func (failingStore) Range(context.Context, rows.Range) (rows.Page, error) {
	return rows.Page{}, errStoreDown
}

// TestOldSessionReplacesNothing guards against an old session that replaces an agent's present one. Delayed connections can arrive
// together and in any order, so that a connection that the agent has long closed comes last. Its reports on earlier runs are out of date:
// when the entry believed them, it placed tasks again that were still running (soak seed 623).
func TestOldSessionReplacesNothing(t *testing.T) {
	set, err := settings.Load("")
	qt.Assert(t, err, qt.IsNil)
	set.Node.Link, set.Links.Silence = "127.0.0.1:0", time.Minute
	n := node.New(set, failingStore{}, nil, node.NewObserver(logs.Discard(), nil), logs.Discard())
	qt.Assert(t, n.Start(context.Background()), qt.IsNil)
	defer n.Stop()
	link := func(number uint64, upstream string) *session.Session {
		s, err := session.Dial(session.TCP, n.Address(), session.Limits{Dial: time.Second, Handshake: time.Second}, &wire.Hello{Role: "agent", Name: "vm", Incarnation: 7, Session: number})
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(s.Close)
		s.Send(codec.Upstream(fleet.Upstream{ID: ident.UpstreamID(upstream), Service: "publish", Total: job.Resources{CPU: 1000}}))
		s.Send(codec.Room(fleet.Room{Free: job.Resources{CPU: 1000}, State: fleet.Ready, Clock: time.Second}))
		return s
	}
	known := func(want string) {
		for until := boottime.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			if up := n.Upstreams(); len(up) == 1 && string(up[0].ID) == want {
				return
			}
			qt.Assert(t, boottime.Now().Before(until), qt.IsTrue, qt.Commentf("%v, want %s", n.Upstreams(), want))
		}
	}
	link(2, "second")
	known("second")
	old := link(1, "first")
	closed := make(chan error, 1)
	go func() { closed <- old.Receive(func([]*wire.Msg) {}) }()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the old session is kept")
	}
	known("second")
	link(3, "third")
	known("third")
}
