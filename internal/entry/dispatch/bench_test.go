package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/dispatch"
)

// manyJobs is the number of waiting jobs that an entry holds at peak load.
const manyJobs = 1000

// sizes are numbers of agents linked to an entry: at the users' large sites, at four times that size, and in the largest
// region that hillreel is built for.
var sizes = []int{70, 280, 2100}

// bySize runs a benchmark for each size.
func bySize(b *testing.B, run func(b *testing.B, agents int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("agents_%d", n), func(b *testing.B) { run(b, n) })
	}
}

// reportRoom reports an agent's free capacity; no two agents have the same pace.
func (b *harness) reportRoom(agent, agents int, cpu int64, seq uint64) {
	b.table.HandleRoom(b.now, ident.Incarnation(agent), fleet.Room{
		Free: job.Resources{CPU: cpu}, State: fleet.Ready, Seq: seq, Pace: 1 + float64(agent*31%agents)/float64(agents),
	})
}

// newPeak returns a Table that holds many two-step jobs, as many of which run as fit.
func newPeak(b *testing.B, agents int) *harness {
	p := &harness{now: time.Unix(1000, 0), answers: make(map[dispatch.CallerID]dispatch.Answer), claims: make(map[ident.Incarnation]fleet.Claim)}
	jobs := manyJobs + agents*12
	p.table = dispatch.New(dispatch.Options{Timing: timing, Zone: "z", MaxQueue: jobs, MaxTasks: 20}, p, p, p, 1)
	p.table.Tick(p.now)
	for i := 1; i <= agents; i++ {
		p.link(ident.Incarnation(i))
		p.reportRoom(i, agents, 12_000, 0)
	}
	step := job.Step{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: time.Hour}
	last := step
	last.After = []uint32{0}
	for i := 1; i <= jobs; i++ {
		p.table.Submit(p.now, dispatch.Request{
			Job: job.ID(i), Route: queue, Caller: dispatch.CallerID(i), Deadline: p.now.Add(time.Hour),
			Spec: &job.Spec{BestEffort: true, Steps: []job.Step{step, last}},
		})
	}
	qt.Assert(b, len(p.orders), qt.Equals, agents*12)
	return p
}

// BenchmarkTick measures a tick in which no job is given up.
func BenchmarkTick(b *testing.B) {
	bySize(b, func(b *testing.B, agents int) {
		p := newPeak(b, agents)
		for b.Loop() {
			p.table.Tick(p.now)
		}
		qt.Assert(b, p.answers, qt.HasLen, 0)
	})
}

// BenchmarkRoom measures an agent's report of its free capacity when no job fits.
func BenchmarkRoom(b *testing.B) {
	bySize(b, func(b *testing.B, agents int) {
		p := newPeak(b, agents)
		for b.Loop() {
			p.reportRoom(1, agents, 0, 1<<32)
		}
	})
}

// BenchmarkJob measures the placement of a job of eight tasks that all fit at once, and the ends of its runs.
func BenchmarkJob(b *testing.B) {
	bySize(b, func(b *testing.B, agents int) {
		p := newHarness(nil, agents)
		id := job.ID(0)
		for b.Loop() {
			id++
			p.orders = p.orders[:0]
			p.submit(id, dispatch.CallerID(id), 8, time.Second, time.Minute)
			for _, o := range p.orders {
				for i := range o.Tasks {
					p.end(o, i, job.Done, "")
				}
				p.room(o.agent, fleet.Ready, 2000, o.Seq)
			}
			delete(p.answers, dispatch.CallerID(id))
			delete(p.summaries, id)
		}
	})
}

// BenchmarkLeftRoom measures an agent's report of room that a waiting task leaves, because it has failed there. Only the agent that linked
// last could run the task as well, and it is full.
func BenchmarkLeftRoom(b *testing.B) {
	bySize(b, func(b *testing.B, agents int) {
		p := newHarness(nil, agents)
		last := ident.Incarnation(agents)
		for _, id := range []ident.Incarnation{1, last} {
			p.describe(id, accelerated, "r-1")
		}
		p.room(last, fleet.Ready, 0, 0)
		p.acceleratedRoom(1, fleet.Ready, 0)
		p.submitPatient(1)
		p.end(p.orders[0], 0, job.Failed, "")
		for b.Loop() {
			p.acceleratedRoom(1, fleet.Ready, 1<<32)
		}
		qt.Assert(b, p.orders, qt.HasLen, 1)
	})
}
