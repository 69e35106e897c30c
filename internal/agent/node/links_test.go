package node_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/node"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/settings"
	"hillreel/internal/link/session"
)

// emptyMemory is a memory that never has a snapshot.
type emptyMemory struct{}

func (emptyMemory) Load(context.Context) (lives.Snapshot, bool, error) {
	return lives.Snapshot{}, false, nil
}
func (emptyMemory) Save(context.Context, lives.Snapshot) error { return nil }

// TestSilentGreeting guards against waiting too long for an entry whose connection falls silent before its greeting: the agent gives the
// connection up after the same time as a silent link. With each greeting in a row that times out, the timeout doubles.
func TestSilentGreeting(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	set, err := settings.Load("")
	qt.Assert(t, err, qt.IsNil)
	set.Node.Link, set.Node.Seeds = settings.Address(ln.Addr().String()), []string{ln.Addr().String()}
	n := node.New(set, nil, emptyMemory{}, session.TCP, logs.Discard())
	qt.Assert(t, n.Start(context.Background()), qt.IsNil)
	defer n.Stop()
	var last time.Time
	for _, want := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond} {
		conn, err := ln.Accept()
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		if want > 0 {
			t.Logf("dialled anew after %v", time.Since(last))
			qt.Assert(t, time.Since(last) >= want, qt.IsTrue)
			qt.Assert(t, time.Since(last) < want+200*time.Millisecond, qt.IsTrue)
		}
		last = time.Now()
	}
}
