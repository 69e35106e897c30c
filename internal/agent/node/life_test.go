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

// oneLife is an upstream that answers for one life at a time.
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

// begin lets the next life begin.
func (u *oneLifeUpstream) begin(life ident.UpstreamLife) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.life = life
}

// notebook keeps what an agent remembers.
type recordingMemory struct {
	mu   sync.Mutex
	last ident.UpstreamLife
	// total is the room that was remembered last.
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

// totalIs tells whether a room was remembered last.
func (m *recordingMemory) totalIs(r job.Resources) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total == r
}

func (m *recordingMemory) lastIs(id ident.UpstreamLife) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last == id
}

// TestNextLifeIsRemembered: a life of the upstream is remembered once it is taken up, without waiting for another heartbeat:
// an agent that was started anew meanwhile would recall the life before, and wait for one as well.
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
			qt.Assert(t, time.Now().Before(until), qt.IsTrue, qt.Commentf("%s is not remembered", life))
		}
	}
}

// TestRoomIsRemembered: an agent that is started anew takes its upstream for what was remembered of it until a heartbeat comes. If that has
// shrunk meanwhile and the former room is remembered still, the new agent starts runs beyond it.
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
			qt.Assert(t, time.Now().Before(until), qt.IsTrue, qt.Commentf("%v is not remembered", total))
		}
	}
}

// TestTicksAreMeasured: how late the control goroutine's ticks are stands in the metrics, beside what is promised.
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
