package schedule

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/record"
)

// The scripts in testdata/crash_scripts force the order in which upstreams, agents and entries end around a task that
// crashes its upstreams, or around a sound one. Nothing in them is drawn: downtimes are fixed, and callers send again to
// the first entry that is alive.

// crashOrders are the orders of a script about what ends when.
type crashOrders struct {
	// starts counts the starts of each job's task.
	starts map[job.ID]int
	// atStart and atCrash are called for each start of a job's task and each crash under it. n counts its starts.
	atStart, atCrash []func(u *simUpstream, id job.ID, n int)
}

// watchCrashes lets the world tell the script of starts and crashes.
func (x *scriptWorld) watchCrashes() {
	x.starts, x.downtime = make(map[job.ID]int), time.Second
	x.onStart = func(u *simUpstream, r *simRun) {
		x.starts[r.task.Job]++
		x.logKnown(r.task)
		for _, f := range x.atStart {
			f(u, r.task.Job, x.starts[r.task.Job])
		}
	}
	x.onCrash = func(u *simUpstream, r *simRun) {
		for _, f := range x.atCrash {
			f(u, r.task.Job, x.starts[r.task.Job])
		}
	}
}

// logKnown logs what each process that is alive, and the store, know of a task's crashes.
func (x *scriptWorld) logKnown(t job.TaskID) {
	for _, e := range x.entries {
		if e.alive {
			c := e.table.Crashes()
			x.logf("  %s (holds the job %v) knows: %s, alone for %v, %v", e.name, e.table.Held(t.Job), c.Finding(t), c.AloneFor(t, nil), describe(c.Crashes(t)))
		}
	}
	for _, a := range x.agents {
		if a.alive && len(a.crashes.Crashes(t)) > 0 {
			x.logf("  %s knows: %s, %v", a.name, a.crashes.Finding(t), describe(a.crashes.Crashes(t)))
		}
		if len(a.storedCrashes) > 0 {
			x.logf("  the row of %s has %v", a.name, describe(a.storedCrashes))
		}
	}
	if row, found := x.store.Rows[layout.OpenKey(t.Job)]; found {
		open, err := record.Decode[record.OpenJob](row)
		x.logf("  the job's row has %d crashes, %v", len(open.Crashes), err)
	}
}

// describe lists crashes for the log.
func describe(all []fleet.Crash) []string {
	out := make([]string, len(all))
	for i, c := range all {
		out[i] = fmt.Sprintf("%s age %v alone %v (loss %d)", c.Life.ID, c.Age, c.Alone, c.Loss)
	}
	return out
}

// doCrashEvent carries out a line about crashes, and reports whether it is one.
func (x *scriptWorld) doCrashEvent(v scriptEvent, is func(string, ...any) bool) bool {
	var id, n, entry int
	var span, span2 string
	parse := func(text string) time.Duration { d, err := time.ParseDuration(text); x.expect(v, err == nil); return d }
	duration := func() time.Duration { return parse(span) }
	switch {
	case is("send job %d to entry %d, its task crashes upstreams after %s", &id, &entry, &span):
		x.sendCrashing(id, entry, &crasher{after: duration()}, false)
	case is("send kept job %d to entry %d, its task crashes upstreams after %s", &id, &entry, &span):
		x.sendCrashing(id, entry, &crasher{after: duration()}, true)
	case is("send sound job %d to entry %d", &id, &entry):
		x.sendCrashing(id, entry, nil, false)
	case is("send sound kept job %d to entry %d", &id, &entry):
		x.sendCrashing(id, entry, nil, true)
	case is("what ends is down for %s", &span):
		x.downtime = duration()
	case is("caller of job %d sends it up to %d times", &id, &n):
		x.jobs[job.ID(id)].insists = n
	case is("each crash under job %d ends its agent %s later", &id, &span):
		x.crashEnds(job.ID(id), 0, duration(), x.noEntry)
	case is("each crash under job %d ends its agent and its entry %s later", &id, &span):
		x.crashEnds(job.ID(id), 0, duration(), x.holds)
	case is("each crash under job %d ends its agent and all entries %s later", &id, &span):
		x.crashEnds(job.ID(id), 0, duration(), func(*entryProc, job.ID) bool { return true })
	case is("entry %d ends", &entry):
		x.endEntry(x.entries[entry], false, x.downtime)
	case is("agent %d ends", &n):
		x.endAgent(x.agents[n], false, x.downtime)
	case is("upstream %d crashes", &n):
		x.agents[n].upstream.crashFor(x.downtime, "for another cause")
	case is("crash %d under job %d ends its agent %s later", &n, &id, &span):
		x.crashEnds(job.ID(id), n, duration(), x.noEntry)
	case is("crash %d under job %d ends its agent and its entry %s later", &n, &id, &span):
		x.crashEnds(job.ID(id), n, duration(), x.holds)
	case is("start %d of job %d has its agent cut off %s later and without power %s later", &n, &id, &span, &span2):
		x.startSilences(job.ID(id), n, parse(span), parse(span2))
	case is("each of the first %d starts of job %d is followed by a whole outage %s later", &n, &id, &span):
		x.outages(job.ID(id), n, duration())
	case is("start %d of job %d loses its VM %s later", &n, &id, &span):
		x.startLoses(job.ID(id), n, duration(), true)
	case is("start %d of job %d loses its upstream %s later", &n, &id, &span):
		x.startLoses(job.ID(id), n, duration(), false)
	default:
		return x.doCrashExpectation(v, is)
	}
	return true
}

// doCrashExpectation checks a line that states what must hold.
func (x *scriptWorld) doCrashExpectation(v scriptEvent, is func(string, ...any) bool) bool {
	var id, n, entry int
	switch {
	case is("expect entry %d knows %d crashes under job %d", &entry, &n, &id):
		known := x.entries[entry].table.Crashes().Crashes(job.TaskID{Job: job.ID(id)})
		x.logf("entry %d knows %v", entry, describe(known))
		x.expect(v, len(known) == n)
	case is("expect job %d has started at most %d times", &id, &n):
		x.logf("job %d has started %d times", id, x.starts[job.ID(id)])
		x.expect(v, x.starts[job.ID(id)] <= n)
	case is("expect job %d has started at least %d times", &id, &n):
		x.expect(v, x.starts[job.ID(id)] >= n)
	case is("expect job %d has failed", &id):
		x.expect(v, x.lastState(id) == verdict.Failed)
	case is("expect job %d has not failed", &id):
		x.expect(v, x.lastState(id) != verdict.Failed)
	case is("expect job %d is complete", &id):
		x.expect(v, x.lastState(id) == verdict.Complete)
	default:
		return false
	}
	return true
}

func (x *scriptWorld) noEntry(*entryProc, job.ID) bool    { return false }
func (x *scriptWorld) holds(e *entryProc, id job.ID) bool { return e.table.Held(id) }

// sendCrashing lets a caller send a job of one task, which takes 400 ms, and send it again as callers do.
func (x *scriptWorld) sendCrashing(id, entry int, c *crasher, kept bool) {
	w := x.world
	s := &submission{w: w, id: job.ID(id), first: w.Now(), patience: 10 * time.Second, kept: kept, tasks: []simTask{{work: 400 * time.Millisecond, crasher: c}}}
	s.spec = &job.Spec{Text: s.id.String(), BestEffort: !kept, Steps: []job.Step{{Count: 1, Each: need, Estimate: 400 * time.Millisecond}}}
	w.jobs[s.id] = s
	w.order = append(w.order, s)
	s.sendTo(w.entries[entry])
}

// crashEnds ends the agent, and the entries that match, a while after the nth crash under a job, or after each if n is zero.
func (x *scriptWorld) crashEnds(id job.ID, nth int, later time.Duration, match func(*entryProc, job.ID) bool) {
	crashed := 0
	x.atCrash = append(x.atCrash, func(u *simUpstream, of job.ID, _ int) {
		if of != id {
			return
		}
		if crashed++; nth != 0 && crashed != nth {
			return
		}
		x.After(later, func() {
			x.endAgent(u.agent, true, x.downtime)
			for _, e := range x.entries {
				if e.alive && match(e, id) {
					x.endEntry(e, false, x.downtime)
				}
			}
		})
	})
}

// startLoses takes the upstream from the nth start of a job's task, and its agent at the same moment if its VM is lost.
func (x *scriptWorld) startLoses(id job.ID, nth int, later time.Duration, vm bool) {
	x.atStart = append(x.atStart, func(u *simUpstream, started job.ID, n int) {
		if started != id || n != nth {
			return
		}
		x.After(later, func() {
			u.crashFor(x.downtime, "for another cause")
			if vm {
				x.endAgent(u.agent, true, x.downtime)
			}
		})
	})
}

// outages ends all upstreams, agents and entries a while after each of the first starts of a job's task.
func (x *scriptWorld) outages(id job.ID, first int, later time.Duration) {
	x.atStart = append(x.atStart, func(_ *simUpstream, started job.ID, n int) {
		if started != id || n > first {
			return
		}
		x.After(later, func() {
			for _, a := range x.agents {
				a.upstream.crashFor(x.downtime, "for another cause")
				x.endAgent(a, true, x.downtime)
			}
			for _, e := range x.entries {
				x.endEntry(e, true, x.downtime)
			}
		})
	})
}

// startSilences cuts the agent off from all entries a while after the nth start of a job's task, and takes its power later.
// The cut lasts until the entries have given the agent up, so that nothing of what it has sent meanwhile arrives.
func (x *scriptWorld) startSilences(id job.ID, nth int, cut, power time.Duration) {
	x.atStart = append(x.atStart, func(u *simUpstream, started job.ID, n int) {
		if started == id && n == nth {
			x.After(cut, func() { x.silences.cutOff(u.agent, power-cut+2*timing.Silence) })
			x.After(power, func() { x.endAgent(u.agent, true, x.downtime) })
		}
	})
}

// lastState returns the last state that a job's caller was told, or that is stored of a kept job.
func (x *scriptWorld) lastState(id int) verdict.State {
	s := x.jobs[job.ID(id)]
	if s.kept {
		if x.store.Rows[layout.EndedKey(s.id)].Version == 0 {
			return verdict.Running
		}
		return s.endedState()
	}
	if len(s.answers) == 0 {
		return verdict.Running
	}
	return s.answers[len(s.answers)-1].State
}

// TestCrashScripts guards against tasks that are started more than five times though they crash their upstreams, and
// against sound jobs that are called failed, where the processes that could tell of the crashes end.
func TestCrashScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/crash_scripts/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(paths) > 0, qt.IsTrue)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			s := readScript(t, path)
			qt.Assert(t, s.crashing, qt.IsTrue)
			x := s.play(nil)
			qt.Check(t, x.violation, qt.Equals, "", qt.Commentf("%s", x.report(0)))
			qt.Check(t, x.failedExpectation, qt.Equals, "", qt.Commentf("%s", x.report(0)))
		})
	}
}

// playLines plays a script that is given as lines.
func playLines(t *testing.T, lines ...string) *scriptWorld {
	path := filepath.Join(t.TempDir(), "script.txt")
	qt.Assert(t, os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600), qt.IsNil)
	s := readScript(t, path)
	return s.play(nil)
}

// TestAgentsEndAtSomeCrashes checks that a task which crashes its upstreams is started at most five times, whichever of
// its first five crashes end their agents 50 ms later.
func TestAgentsEndAtSomeCrashes(t *testing.T) {
	for _, kind := range []string{"job", "kept job"} {
		for _, also := range []string{"", " and its entry"} {
			for set := range 1 << 5 {
				name := kind + also + " "
				lines := []string{"crashing world of 2 entries and 6 agents", "0.9s what ends is down for 1s"}
				for i := range 5 {
					if set>>i&1 == 1 {
						name += fmt.Sprint(i + 1)
						lines = append(lines, fmt.Sprintf("0.9s crash %d under job 1 ends its agent%s 50ms later", i+1, also))
					}
				}
				lines = append(lines, "1s send "+kind+" 1 to entry 0, its task crashes upstreams after 10ms", "29s expect job 1 has started at most 5 times")
				t.Run(name, func(t *testing.T) {
					x := playLines(t, lines...)
					t.Logf("%d starts, last state %s", x.starts[1], x.lastState(1))
					qt.Check(t, x.violation, qt.Equals, "", qt.Commentf("%s", x.report(0)))
					qt.Check(t, x.failedExpectation, qt.Equals, "", qt.Commentf("%s", x.report(0)))
				})
			}
		}
	}
}

// TestSoundTaskLosesVMs checks that a sound task which loses two VMs and one upstream for other causes, in any order and
// at one point of its run or different ones, is not called failed.
func TestSoundTaskLosesVMs(t *testing.T) {
	vm, upstream := "VM", "upstream"
	for _, order := range [][]string{{upstream, vm, vm}, {vm, upstream, vm}, {vm, vm, upstream}, {vm, vm}, {vm, vm, vm}} {
		for _, kind := range []string{"job", "kept job"} {
			for _, ages := range [][]string{{"5ms", "5ms", "5ms"}, {"20ms", "20ms", "20ms"}, {"60ms", "60ms", "60ms"}, {"20ms", "60ms", "95ms"}, {"300ms", "300ms", "300ms"}} {
				t.Run(fmt.Sprint(kind, " ", order, " ", ages), func(t *testing.T) {
					lines := []string{"crashing world of 2 entries and 6 agents"}
					for i, what := range order {
						lines = append(lines, fmt.Sprintf("0.9s start %d of job 1 loses its %s %s later", i+1, what, ages[i]))
					}
					lines = append(lines, "1s send sound "+kind+" 1 to entry 0", fmt.Sprintf("29s expect job 1 has started at least %d times", len(order)+1), "29s expect job 1 is complete")
					x := playLines(t, lines...)
					qt.Check(t, x.violation, qt.Equals, "", qt.Commentf("%s", x.report(0)))
					qt.Check(t, x.failedExpectation, qt.Equals, "", qt.Commentf("%s", x.report(0)))
				})
			}
		}
	}
}
