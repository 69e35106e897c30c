package schedule

import (
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/shares"
)

// entryIO carries an entry's messages.
type entryIO struct{ e *entryProc }

func (x entryIO) linkTo(agent ident.Incarnation) (*linkSide, *agentProc) {
	for _, a := range x.e.w.agents {
		if s := x.e.links[&a.proc]; s != nil && s.other.inc == agent {
			return s, a
		}
	}
	return nil, nil
}

func (x entryIO) Order(agent ident.Incarnation, o fleet.Order) {
	if s, a := x.linkTo(agent); s != nil {
		inc := x.e.inc
		s.send(func() { a.controller.Order(a.now(), inc, o); a.flush() })
	}
}

func (x entryIO) Stop(agent ident.Incarnation, r fleet.OrderedRun, why fleet.Reason) {
	if s, a := x.linkTo(agent); s != nil {
		inc := x.e.inc
		s.send(func() { a.controller.StopTask(a.now(), inc, r, why); a.flush() })
	}
}

func (x entryIO) AnnounceHeld(agent ident.Incarnation, jobs []job.ID) {
	if s, a := x.linkTo(agent); s != nil {
		inc := x.e.inc
		s.send(func() { a.controller.Holding(a.now(), inc, jobs) })
	}
}

func (x entryIO) RequestRelease(agent ident.Incarnation, id job.ID, holder ident.Incarnation) {
	if s, a := x.linkTo(agent); s != nil {
		t := fleet.Takeover{Job: id, Holder: holder, NewHolder: x.e.inc}
		s.send(func() { a.controller.Release(a.now(), t); a.flush() })
	}
}

func (x entryIO) SendReleased(agent ident.Incarnation, r fleet.Released) {
	if s, a := x.linkTo(agent); s != nil {
		s.send(func() { a.controller.Released(r) })
	}
}

func (x entryIO) SendCrashes(all []fleet.Crash) {
	for _, a := range x.e.w.agents {
		if side := x.e.links[&a.proc]; side != nil {
			side.send(func() { a.shareCrashes(x.e, all, nil) })
		}
	}
}

func (x entryIO) SendUnconfirmed(agent ident.Incarnation, all []fleet.Crash) {
	if s, a := x.linkTo(agent); s != nil {
		s.send(func() { a.relayUnconfirmed(x.e, all) })
	}
}

func (x entryIO) SendSuspects(agent ident.Incarnation, running []fleet.Crash) {
	if s, a := x.linkTo(agent); s != nil {
		inc := x.e.inc
		s.send(func() { a.witness.Replace(inc, running) })
	}
}

func (x entryIO) Claim(agent ident.Incarnation, c fleet.Claim) {
	if s, a := x.linkTo(agent); s != nil {
		inc := x.e.inc
		s.send(func() { a.controller.Claim(a.now(), inc, c); a.flush() })
	}
}

func (x entryIO) SendDemand(agent ident.Incarnation, d fleet.Demand) {
	if s, a := x.linkTo(agent); s != nil {
		d.Entry = x.e.inc
		s.send(func() { a.relayDemand(x.e, d) })
	}
}

func (x entryIO) Linked() []ident.Incarnation {
	var out []ident.Incarnation
	for _, a := range x.e.w.agents {
		if s := x.e.links[&a.proc]; s != nil {
			out = append(out, s.other.inc)
		}
	}
	return out
}

func (x entryIO) Acknowledge(agent ident.Incarnation, runs []fleet.RunRef, void bool) {
	if s, a := x.linkTo(agent); s != nil {
		s.send(func() { a.controller.ResolveEnds(runs, void); a.flush() })
	}
}

func (x entryIO) Ask(agent ident.Incarnation, number uint64, jobs []job.ID) {
	if s, a := x.linkTo(agent); s != nil {
		inc := x.e.inc
		s.send(func() { a.controller.QueryEnds(a.now(), inc, number, jobs); a.flush() })
	}
}

func (x entryIO) Answer(c dispatch.CallerID, a dispatch.Answer) {
	answer := x.e.waiting[c]
	if answer == nil {
		x.e.w.violate("caller %d is answered twice, or was never there", c)
		return
	}
	delete(x.e.waiting, c)
	answer(a)
}

// agentIO carries an agent's messages and calls.
type agentIO struct {
	a   *agentProc
	inc ident.Incarnation
}

func (x agentIO) handle(f func()) {
	x.a.doIn(x.inc, func() { f(); x.a.flush() })
}

func (x agentIO) Start(c call.Start) {
	u := x.a.upstream
	x.a.w.cpuStarvation.delayCall(&x.a.proc, func() {
		u.carryOrder(func() call.Answer { return u.start(c) }, func(a call.Answer, clock call.Clock) {
			x.handle(func() { x.a.controller.StartDone(x.a.now(), c, a, clock) })
		})
	})
}

func (x agentIO) Stop(c call.Stop) {
	u := x.a.upstream
	x.a.w.cpuStarvation.delayCall(&x.a.proc, func() {
		u.carryOrder(func() call.Answer { return u.stop(c) }, func(a call.Answer, clock call.Clock) {
			x.handle(func() { x.a.controller.StopDone(x.a.now(), c, a, clock) })
		})
	})
}

func (x agentIO) Hold(c call.Hold) { x.a.w.cpuStarvation.delayCall(&x.a.proc, func() { x.hold(c) }) }

func (x agentIO) hold(c call.Hold) {
	u, w := x.a.upstream, x.a.w
	answered := false
	reply := func(h call.HoldResult) {
		if !answered {
			answered = true
			x.handle(func() { x.a.controller.HoldDone(x.a.now(), c, h) })
		}
	}
	w.After(c.Wait+callTimeout, func() { reply(call.HoldResult{Answer: call.Unanswered}) })
	lost := w.chance(u.lossRate / 4)
	w.After(w.lateCalls.drawTransit(u, w.between(100*time.Microsecond, 2*time.Millisecond)), func() {
		if !u.up || u.cut {
			return
		}
		u.hold(c, func(h call.HoldResult) {
			if lost || u.cut {
				return
			}
			answerDelay := w.lateCalls.drawTransit(u, w.between(100*time.Microsecond, 2*time.Millisecond))
			w.After(answerDelay, func() {
				if !w.lateCalls.missesAnswer(x.a) {
					reply(h)
				}
			})
		})
	})
}

func (x agentIO) linkTo(entry ident.Incarnation) (*linkSide, *entryProc) {
	for _, e := range x.a.w.entries {
		if s := x.a.links[&e.proc]; s != nil && s.other.inc == entry {
			return s, e
		}
	}
	return nil, nil
}

func (x agentIO) send(entry ident.Incarnation, f func(e *entryProc, s *linkSide)) {
	if s, e := x.linkTo(entry); s != nil {
		s.send(func() { f(e, s.other) })
	}
}

func (x agentIO) Upstream(to ident.Incarnation, u fleet.Upstream) {
	x.send(to, func(e *entryProc, _ *linkSide) { e.table.HandleUpstream(e.now(), x.inc, u) })
}

func (x agentIO) Room(to ident.Incarnation, r fleet.Room) {
	x.send(to, func(e *entryProc, s *linkSide) {
		first := s.agentClock == 0
		s.agentClock = r.Clock
		if first {
			e.sendPing(s, x.a)
		}
		e.table.HandleRoom(e.now(), x.inc, r)
	})
}

func (x agentIO) End(to ident.Incarnation, e fleet.End) {
	x.send(to, func(p *entryProc, _ *linkSide) {
		if !p.table.HandleEnd(p.now(), x.inc, e) && e.Kept {
			p.keptJobs.HandleStrayEnd(p.now(), x.inc, e)
		}
	})
}

func (x agentIO) Progress(to ident.Incarnation, runs []fleet.Progress) {
	x.send(to, func(e *entryProc, _ *linkSide) { e.table.HandleProgress(e.now(), x.inc, runs) })
}

func (x agentIO) Resumed(to ident.Incarnation, runs []fleet.OrderedRun) {
	x.send(to, func(e *entryProc, _ *linkSide) { e.table.HandleResumed(x.inc, runs) })
}

func (x agentIO) EndsSent(to ident.Incarnation, number uint64) {
	x.send(to, func(p *entryProc, _ *linkSide) { p.keptJobs.HandleEndsReported(p.now(), x.inc, number) })
}

func (x agentIO) Holding(to, holder ident.Incarnation, jobs []job.ID) {
	x.send(to, func(e *entryProc, _ *linkSide) { e.table.HandleHeld(e.now(), holder, jobs) })
}

func (x agentIO) Release(t fleet.Takeover) {
	x.send(t.Holder, func(e *entryProc, _ *linkSide) { e.table.HandleTakeover(e.now(), x.inc, t) })
}

func (x agentIO) Released(r fleet.Released) {
	x.send(r.NewHolder, func(e *entryProc, _ *linkSide) { e.table.HandleReleased(e.now(), x.inc, r) })
}

func (x agentIO) Settled(to ident.Incarnation) {
	x.send(to, func(e *entryProc, _ *linkSide) { e.table.HandleSettled(e.now(), x.inc) })
}

func (x agentIO) UpstreamLost(l upstream.Loss) {
	x.a.shareCrashes(nil, l.Crashes(ident.UpstreamName(x.a.name)), nil)
}

func (x agentIO) LossRefuted(r fleet.Refutation) {
	x.a.shareCrashes(nil, nil, []fleet.Refutation{r})
}

// nopObserver ignores all events of an entry.
type nopObserver struct{}

func (nopObserver) Placed(job.ID, ident.UpstreamName, *fleet.Order, time.Duration)   {}
func (nopObserver) Ended(ident.UpstreamName, fleet.End, string)                      {}
func (nopObserver) Answered(job.ID, *route.Route, dispatch.Answer, dispatch.Summary) {}
func (nopObserver) AgentChanged(ident.UpstreamName, int, dispatch.AgentEvent)        {}
func (nopObserver) Taken(*dispatch.Request)                                          {}
func (nopObserver) StopsRequested(dispatch.Stops)                                    {}
func (nopObserver) Resubmitted(*dispatch.Request, dispatch.HeldJob)                  {}
func (nopObserver) OutOfTouch(time.Duration, int)                                    {}
func (nopObserver) Belated(*dispatch.Request)                                        {}
func (nopObserver) Waits(dispatch.Waiting)                                           {}
func (nopObserver) CutChanged(shares.Status)                                         {}
func (nopObserver) DemandDropped(time.Time, ident.Incarnation, error)                {}
func (nopObserver) TakeoverChanged(job.ID, ident.Incarnation, time.Duration, dispatch.TakeoverEvent) {
}

// agentObserver logs what an agent decides.
type agentObserver struct{ a *agentProc }

func (n agentObserver) RunEnded(e upstream.Ending) {
	if e.Outcome != job.Done {
		n.a.w.logf("%s: run %d of %v is %s %s", n.a.name, e.Run, e.Task, e.Outcome, e.Reason)
	}
}

func (n agentObserver) StateChanged(from, to fleet.State, why string) {
	n.a.w.logf("%s: %s after %s, %s", n.a.name, to, from, why)
}

func (n agentObserver) LeaseLapsed(time.Duration) {}

func (n agentObserver) EndsUnconfirmed(ident.Incarnation, []fleet.End) {}

func (n agentObserver) RunsOrphaned(_ ident.Incarnation, runs int, why string, _ time.Duration) {
	n.a.w.logf("%s: %d runs of an entry that is %s", n.a.name, runs, why)
}

func (n agentObserver) HeartbeatOutlived(id, by ident.UpstreamLife) {
	n.a.w.logf("%s: a late heartbeat of %s while %s lives", n.a.name, id, by)
}

func (n agentObserver) LifeBegun(life ident.UpstreamLife, why string, _ bool) {
	n.a.w.logf("%s: takes up %s by its %s", n.a.name, life, why)
}

func (n agentObserver) HeartbeatDropped(b lives.Heartbeat, newest uint64) {
	n.a.w.logf("%s: heartbeat %d of %s comes after %d", n.a.name, b.Sequence, b.ID, newest)
}

func (n agentObserver) OrderGated(task job.TaskID, _ ident.Incarnation) {
	n.a.w.logf("%s: %v is refused, its zone is cordoned", n.a.name, task)
}
func (n agentObserver) ListingOvertaken() {}

func (n agentObserver) StrayChanged(fleet.RunRef, upstream.StrayEvent) {}

func (n agentObserver) UpstreamLost(l upstream.Loss) {
	n.a.w.logf("%s: %v is lost (%s) with %v", n.a.name, l.Life, l.Why, l.Runs)
}

func (n agentObserver) StartUnsure(task job.TaskID, run job.Run) {
	n.a.w.logf("%s: run %d of %v may have started", n.a.name, run, task)
}
