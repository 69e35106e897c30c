package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/dispatch"
)

// Of a large site: the agents of one entry, and the jobs that it holds at a peak.
const (
	manyAgents = 70
	manyJobs   = 1000
)

// news tells of an agent's room; no two agents have the same pace.
func (b *bench) news(agent int, cpu int64, seq uint64) {
	b.table.Room(b.now, ident.Incarnation(agent), fleet.Room{
		Free: job.Resources{CPU: cpu}, State: fleet.Ready, Seq: seq, Pace: 1 + float64(agent*31%manyAgents)/manyAgents,
	})
}

// newPeak returns a Table that holds many jobs of two steps, as many as fit of which run.
func newPeak(b *testing.B) *bench {
	p := &bench{now: time.Unix(1000, 0), answers: make(map[dispatch.CallerID]dispatch.Answer)}
	p.table = dispatch.New(dispatch.Options{Timing: timing, Zone: "z", MaxQueue: manyJobs, MaxTasks: 20}, p, p, p, 1)
	p.table.Tick(p.now)
	for i := 1; i <= manyAgents; i++ {
		p.link(ident.Incarnation(i))
		p.news(i, 12_000, 0)
	}
	step := job.Step{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: time.Hour}
	last := step
	last.After = []uint32{0}
	for i := 1; i <= manyJobs; i++ {
		p.table.Submit(p.now, dispatch.Request{
			Job: job.ID(i), Route: queue, Caller: dispatch.CallerID(i), Deadline: p.now.Add(time.Hour),
			Spec: &job.Spec{BestEffort: true, Steps: []job.Step{step, last}},
		})
	}
	qt.Assert(b, len(p.orders), qt.Equals, manyAgents*12)
	return p
}

// BenchmarkTick: a tick at which no job is given up.
func BenchmarkTick(b *testing.B) {
	p := newPeak(b)
	for b.Loop() {
		p.table.Tick(p.now)
	}
	qt.Assert(b, p.answers, qt.HasLen, 0)
}

// BenchmarkRoom: an agent's news of its room, when no job fits.
func BenchmarkRoom(b *testing.B) {
	p := newPeak(b)
	for b.Loop() {
		p.news(1, 0, 1<<32)
	}
}
