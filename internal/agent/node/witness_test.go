package node_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/node"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/settings"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/session"
)

// TestSuspectsAreWitnessed guards against crashes that end the agent and the entry too, so that nobody knows of them: an agent on
// another VM, to which the entry has reported its suspects, tells the other entries of the last report once the link ends.
func TestSuspectsAreWitnessed(t *testing.T) {
	suspect := fleet.Crash{
		Task: job.TaskID{Job: 1}, VM: "other", Life: ident.UpstreamLife{ID: "u-1"}, Loss: 9, Age: 4 * time.Millisecond, Alone: true, WithAgent: true,
	}
	for _, c := range []struct {
		name    string
		reports [][]fleet.Crash
		want    []fleet.Crash
	}{
		{"runs", [][]fleet.Crash{{suspect}}, []fleet.Crash{suspect}},
		{"has ended", [][]fleet.Crash{{suspect}, nil}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			lost := listen(t, 1, "0")
			_, port, err := net.SplitHostPort(lost.ln.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			other := listen(t, 2, port)
			set, err := settings.Load("")
			qt.Assert(t, err, qt.IsNil)
			set.Node.Link, set.Node.Seeds = settings.Address(lost.ln.Addr().String()), []string{lost.ln.Addr().String(), other.ln.Addr().String()}
			a := node.New(set, nil, emptyMemory{}, session.TCP, logs.Discard())
			qt.Assert(t, a.Start(context.Background()), qt.IsNil)
			defer a.Stop()
			s := lost.awaitLink(t)
			go other.keepAlive(t, other.awaitLink(t))
			for _, r := range c.reports {
				s.Send(codec.Suspects(r))
			}
			s.Send(codec.Ping(fleet.KeepAlive{}))
			time.Sleep(100 * time.Millisecond)
			qt.Assert(t, other.told(), qt.HasLen, 0)
			s.Close()
			for until := time.Now().Add(2 * time.Second); len(other.told()) < len(c.want) && time.Now().Before(until); {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
			qt.Assert(t, other.told(), qt.DeepEquals, c.want)
		})
	}
}
