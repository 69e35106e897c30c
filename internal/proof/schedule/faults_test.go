package schedule

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/invariant"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/job"
	"hillreel/internal/link/wire"
)

// scene is a world without chance faults, for one fault at a time.
type scene struct {
	*world
	agents, entries []*process
	// job is minted by entries[0] and has two tasks.
	job *callerJob
}

func newScene(agents, entries int) *scene { return newSceneWithout(agents, entries, nil, 1) }

func newSceneWithout(agents, entries int, omit rule.Set, seed uint64) *scene {
	invariant.SetFatal(true)
	w := newWorld(seed, omit)
	w.procs, w.links, w.faults, w.retention = nil, nil, false, longRetention
	s := &scene{world: w}
	for range agents {
		s.agents = append(s.agents, w.addAgent("upstream", ""))
	}
	for range entries {
		s.entries = append(s.entries, w.addEntry())
	}
	s.deliver()
	s.wait(0)
	w.mint(s.entries[0])
	s.job = w.jobs[0]
	s.job.spec = &wire.JobSpec{Service: string(service), Tasks: []*wire.TaskSpec{{Kind: "feed"}, {Kind: "feed"}}}
	return s
}

// deliver handles all that is under way, without ending any task.
func (s *scene) deliver() {
	for range 1000 {
		actions := s.deliveries()
		if len(actions) == 0 {
			return
		}
		actions[0].do()
	}
}

// wait lets time pass and everybody notice.
func (s *scene) wait(d time.Duration) {
	s.deliver()
	s.advance(d)
	for _, p := range s.procs {
		if p.alive && !p.paused {
			p.tick()
		}
	}
	s.deliver()
}

// finishAll ends all tasks, also those that begin meanwhile.
func (s *scene) finishAll() {
	for range 100 {
		s.deliver()
		for _, p := range s.procs {
			if p.alive && !p.paused && len(p.running) > 0 {
				p.finish(0)
			}
		}
	}
}

func (s *scene) submit(at *process) {
	s.ask(s.job, at, job.OpSubmit)
	s.deliver()
}

// reconnect links all that live.
func (s *scene) reconnect() {
	for _, p := range s.procs {
		for _, q := range s.procs {
			if p != q && p.alive && q.alive && !p.paused && !q.paused {
				s.connect(p, q)
			}
		}
	}
	s.deliver()
}

// busy returns the agent that runs a task of the job, or nil.
func (s *scene) busy() *process {
	for _, p := range s.agents {
		if len(p.running) > 0 {
			return p
		}
	}
	return nil
}

func (s *scene) totalStarts() int {
	n := 0
	for _, k := range s.starts {
		n += k
	}
	return n
}

const pastGone = goneAfter + time.Second

func TestOneFaultAtATime(t *testing.T) {
	const none = verdict.State("")
	for _, test := range []struct {
		name            string
		agents, entries int
		do              func(s *scene)
		want            verdict.State
		starts          int
	}{
		{"no fault", 2, 2, func(s *scene) {
			s.submit(s.entries[0])
			s.finishAll()
		}, verdict.Complete, 2},
		{"submitted to another entry", 2, 2, func(s *scene) {
			s.submit(s.entries[1])
			s.finishAll()
		}, verdict.Complete, 2},
		{"submitted three times at two entries", 2, 2, func(s *scene) {
			s.submit(s.entries[1])
			s.submit(s.entries[0])
			s.finishAll()
			s.submit(s.entries[1])
		}, verdict.Complete, 2},
		{"link breaks while a task runs", 1, 1, func(s *scene) {
			s.submit(s.entries[0])
			s.breakLinksOf(s.agents[0])
			s.finishAll()
			s.reconnect()
			s.finishAll()
			s.wait(time.Second)
		}, verdict.Complete, 2},
		{"starts are lost with the link", 1, 1, func(s *scene) {
			s.ask(s.job, s.entries[0], job.OpSubmit)
			for _, l := range s.links {
				l.a.inbox, l.b.inbox = nil, nil
			}
			s.breakLinksOf(s.agents[0])
			s.reconnect()
			s.wait(time.Second)
			s.finishAll()
		}, verdict.Complete, 2},
		{"agent dies while a task runs", 2, 1, func(s *scene) {
			s.submit(s.entries[0])
			s.kill(s.busy())
			s.deliver()
			s.wait(pastGone)
			s.wait(time.Second)
			s.finishAll()
		}, verdict.Failed, 2},
		{"owner dies while tasks run", 2, 2, func(s *scene) {
			s.submit(s.entries[0])
			s.kill(s.entries[0])
			s.wait(pastGone)
			s.submit(s.entries[1])
			s.finishAll()
		}, verdict.Complete, 2},
		{"owner dies before it starts anything", 2, 2, func(s *scene) {
			s.kill(s.entries[0])
			s.wait(pastGone)
			s.submit(s.entries[1])
			s.finishAll()
		}, verdict.Complete, 2},
		{"owner dies after it told the outcome", 2, 2, func(s *scene) {
			s.submit(s.entries[0])
			s.finishAll()
			s.kill(s.entries[0])
			s.wait(pastGone)
			s.submit(s.entries[1])
			s.finishAll()
		}, verdict.Complete, 2},
		{"owner dies after it told a failure", 2, 2, func(s *scene) {
			s.submit(s.entries[0])
			s.ask(s.job, s.entries[0], job.OpCancel)
			s.deliver()
			s.kill(s.entries[0])
			s.wait(pastGone)
			s.submit(s.entries[1])
			s.finishAll()
		}, verdict.Failed, 2},
		{"owner and an agent of the roster die", 2, 2, func(s *scene) {
			s.submit(s.entries[0])
			s.kill(s.entries[0])
			s.kill(s.busy())
			s.wait(pastGone)
			s.submit(s.entries[1])
			s.wait(answerWait + time.Second)
			s.finishAll()
		}, none, 2},
		{"owner pauses past its takeover", 2, 2, func(s *scene) {
			s.submit(s.entries[0])
			s.pause(s.entries[0])
			s.wait(pastGone)
			s.submit(s.entries[1])
			s.finishAll()
			s.entries[0].paused = false
			s.reconnect()
			s.submit(s.entries[0])
			s.finishAll()
		}, verdict.Complete, 2},
		{"owner dies, and so does its first adopter", 2, 3, func(s *scene) {
			s.submit(s.entries[0])
			s.kill(s.entries[0])
			s.wait(pastGone)
			s.submit(s.entries[1])
			s.kill(s.entries[1])
			s.wait(pastGone)
			s.submit(s.entries[2])
			s.finishAll()
		}, verdict.Complete, 2},
		{"agent pauses and is replaced, then the owner dies", 1, 2, func(s *scene) {
			s.submit(s.entries[0])
			s.agents[0].paused = true
			s.breakLinksOf(s.agents[0])
			s.addAgent("upstream", "")
			s.kill(s.entries[0])
			s.wait(pastGone)
			s.submit(s.entries[1])
			s.wait(answerWait + time.Second)
			s.finishAll()
		}, none, 2},
		{"entry drains while tasks run", 2, 2, func(s *scene) {
			s.submit(s.entries[0])
			s.drain(s.entries[0])
			s.finishAll()
			s.kill(s.entries[0])
			s.submit(s.entries[1])
			s.finishAll()
		}, verdict.Complete, 2},
		{"entry drains and its successor runs an unused id", 2, 2, func(s *scene) {
			s.drain(s.entries[0])
			s.deliver()
			s.kill(s.entries[0])
			s.deliver()
			s.submit(s.entries[1])
			s.finishAll()
		}, verdict.Complete, 2},
		{"agent drains with a task queued", 2, 1, func(s *scene) {
			s.submit(s.entries[0])
			s.drain(s.agents[0])
			s.finishAll()
			s.wait(time.Second)
			s.finishAll()
		}, verdict.Complete, 2},
		{"acknowledgement of the decision is lost", 2, 1, func(s *scene) {
			s.submit(s.entries[0])
			s.ask(s.job, s.entries[0], job.OpCancel)
			for _, a := range s.agents {
				s.breakLinksOf(a)
			}
			s.deliver()
			s.reconnect()
			s.wait(time.Second)
		}, verdict.Failed, 2},
		{"platform's list drops an owner that lives", 2, 2, func(s *scene) {
			s.unlist(s.entries[0])
			s.submit(s.entries[1])
			s.finishAll()
		}, verdict.Complete, 2},
		{"every agent of the roster leaves", 1, 1, func(s *scene) {
			s.drain(s.agents[0])
			s.deliver()
			s.submit(s.entries[0])
			s.wait(time.Second)
		}, verdict.Failed, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newScene(test.agents, test.entries)
			s.calm = true
			test.do(s)
			qt.Assert(t, s.failure, qt.Equals, "")
			got := none
			if s.job.final != nil {
				got = verdict.State(s.job.final.GetState())
			}
			qt.Assert(t, got, qt.Equals, test.want, qt.Commentf("last answer: %v", s.job.last))
			qt.Assert(t, s.totalStarts(), qt.Equals, test.starts)
			if test.want == none {
				qt.Assert(t, s.job.last.GetState(), qt.Equals, string(verdict.Unresolved))
			}
		})
	}
}

// TestAdoptersDoNotFight: two entries that are cut off from each other, each with callers for the same job,
// take it from each other at the pace of their callers, not of their messages.
func TestAdoptersDoNotFight(t *testing.T) {
	s := newScene(2, 3)
	s.calm = true
	s.kill(s.entries[0])
	s.splitEntries()
	s.wait(pastGone)
	for range 5 {
		s.submit(s.entries[1])
		s.submit(s.entries[2])
	}
	seals := s.entries[1].table.Counts().Seals + s.entries[2].table.Counts().Seals
	qt.Assert(t, seals <= 8, qt.IsTrue, qt.Commentf("%d seals", seals))
	s.reconnect()
	for range 10 {
		s.wait(time.Second)
		s.submit(s.entries[1])
		s.finishAll()
	}
	qt.Assert(t, s.failure, qt.Equals, "")
	qt.Assert(t, s.job.final.GetState(), qt.Equals, string(verdict.Complete))
}
