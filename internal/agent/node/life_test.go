package node_test

import (
	"context"
	"expvar"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/node"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/settings"
	"hillreel/internal/link/session"
)

// oneLifeUpstream is an upstream that answers calls for one life at a time.
type oneLifeUpstream struct {
	mu   sync.Mutex
	life ident.UpstreamLife
}

func (u *oneLifeUpstream) Start(context.Context, call.Start) (call.Answer, call.Clock, error) {
	return call.OK, 0, nil
}

func (u *oneLifeUpstream) Stop(context.Context, call.Stop) (call.Answer, call.Clock, error) {
	return call.OK, 0, nil
}

func (u *oneLifeUpstream) Hold(_ context.Context, c call.Hold) (call.HoldResult, error) {
	time.Sleep(5*time.Millisecond + c.Wait)
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.Instance != u.life.ID {
		return call.HoldResult{Answer: call.WrongInstance}, nil
	}
	return call.HoldResult{Answer: call.OK, Clock: call.Clock(time.Hour), Born: u.life.Born}, nil
}

// begin starts the next life.
func (u *oneLifeUpstream) begin(life ident.UpstreamLife) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.life = life
}

// recordingMemory is a memory that records the last save.
type recordingMemory struct {
	mu   sync.Mutex
	last ident.UpstreamLife
	// total is the room that was saved last.
	total job.Resources
}

func (m *recordingMemory) Load(context.Context) (lives.Snapshot, bool, error) {
	return lives.Snapshot{}, false, nil
}

func (m *recordingMemory) Save(_ context.Context, u lives.Snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last, m.total = u.Life(), u.Total
	return nil
}

// totalIs reports whether r is the room that was saved last.
func (m *recordingMemory) totalIs(r job.Resources) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total == r
}

// lastIs reports whether id is the life that was saved last.
func (m *recordingMemory) lastIs(id ident.UpstreamLife) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last == id
}

// TestNextLifeIsRemembered checks that a life of the upstream is saved as soon as the agent adopts it, without waiting for another
// heartbeat. Otherwise an agent that restarts in between would load the former life and have to wait for a heartbeat, too.
func TestNextLifeIsRemembered(t *testing.T) {
	set, err := settings.Load("")
	qt.Assert(t, err, qt.IsNil)
	u, m := &oneLifeUpstream{}, &recordingMemory{}
	n := node.New(set, u, m, session.TCP, logs.Discard())
	qt.Assert(t, n.Start(context.Background()), qt.IsNil)
	defer n.Stop()
	for _, life := range []ident.UpstreamLife{{ID: "u-1"}, {ID: "u-2"}, {ID: "u-3", Born: 1}, {ID: "u-3", Born: 2}} {
		u.begin(life)
		n.HandleHeartbeat(lives.Heartbeat{Upstream: fleet.Upstream{ID: life.ID, Service: "s"}, Born: life.Born, Sequence: 1, Clock: call.Clock(time.Minute)})
		for until := time.Now().Add(5 * time.Second); !m.lastIs(life); time.Sleep(time.Millisecond) {
			qt.Assert(t, time.Now().Before(until), qt.IsTrue, qt.Commentf("%s was not saved", life))
		}
	}
}

// TestRoomIsRemembered checks that changes of the upstream's room are saved. An agent that restarts relies on the saved room until a
// heartbeat arrives. If the room has shrunk but the larger room is still saved, the agent starts more runs than there is room for.
func TestRoomIsRemembered(t *testing.T) {
	set, err := settings.Load("")
	qt.Assert(t, err, qt.IsNil)
	u, m := &oneLifeUpstream{}, &recordingMemory{}
	n := node.New(set, u, m, session.TCP, logs.Discard())
	qt.Assert(t, n.Start(context.Background()), qt.IsNil)
	defer n.Stop()
	u.begin(ident.UpstreamLife{ID: "u-1"})
	for i, cpu := range []int64{16000, 4000, 0, 16000} {
		total := job.Resources{CPU: cpu, Mem: 64}
		n.HandleHeartbeat(lives.Heartbeat{Upstream: fleet.Upstream{ID: "u-1", Service: "s", Total: total}, Sequence: uint64(i + 1), Clock: call.Clock(time.Minute)})
		for until := time.Now().Add(5 * time.Second); !m.totalIs(total); time.Sleep(time.Millisecond) {
			qt.Assert(t, time.Now().Before(until), qt.IsTrue, qt.Commentf("%v was not saved", total))
		}
	}
}

// TestTicksAreMeasured checks that the metrics show how late the control goroutine's ticks are, beside the promised bound.
func TestTicksAreMeasured(t *testing.T) {
	set, err := settings.Load("")
	qt.Assert(t, err, qt.IsNil)
	n := node.New(set, &oneLifeUpstream{}, &recordingMemory{}, session.TCP, logs.Discard())
	qt.Assert(t, n.Start(context.Background()), qt.IsNil)
	defer n.Stop()
	until := time.Now().Add(5 * time.Second)
	for v := expvar.Get("margins"); !strings.Contains(v.String(), `"agent_tick"`); time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(until), qt.IsTrue, qt.Commentf("%s", v))
	}
	qt.Assert(t, expvar.Get("margins").String(), qt.Contains, `"promised_ms":50`)
}
