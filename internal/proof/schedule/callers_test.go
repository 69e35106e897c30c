package schedule

import (
	"slices"
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
)

// publishRoute is the route of all jobs.
var publishRoute = route.Route{
	Name: "publish", Service: service, Target: 100 * time.Millisecond, Stretch: 3, Attempts: 2,
}

// simTask describes what a task does at its upstream.
type simTask struct {
	work time.Duration
	done time.Time
	// started is when the newest run began, failed counts failed runs. For a kept job, doneForgotten is true once the
	// upstream has forgotten a successful end, and failuresForgotten counts the failed ends that it has forgotten.
	started           time.Time
	failed            int
	doneForgotten     bool
	failuresForgotten int
	// crasher is nil for a task that does not crash upstreams.
	crasher *crasher
}

// attempt is one request that a caller sends for a job.
type attempt struct {
	refused, answered bool
	// inTransit holds what the caller has sent and the entry has not received yet, in worlds with network partitions.
	inTransit []func()
	// firstSent is when the oldest element of inTransit was sent.
	firstSent time.Time
}

// submission is a job with its caller.
type submission struct {
	w           *world
	id          job.ID
	spec        *job.Spec
	tasks       []simTask
	alwaysFails bool
	first       time.Time
	patience    time.Duration
	attempts    []*attempt
	answers     []dispatch.Answer
	abandoned   bool
	// insists is how many times the caller sends the job if that is more than maxAttempts.
	insists int
	// kept jobs must survive the entries that hold them. accepted is true once the caller has been told so; cancelledAt is
	// when the caller learned that the job was cancelled.
	kept, accepted, cancelling bool
	cancelledAt                time.Time
}

// maxAttempts is how many times a caller sends a job.
const maxAttempts = 3

func (s *submission) markDone(t job.TaskID) { s.tasks[t.Index].done = s.w.Now() }

// allRefused reports whether every attempt so far was refused.
func (s *submission) allRefused() bool {
	for _, a := range s.attempts {
		if !a.refused {
			return false
		}
	}
	return true
}

// submit creates a job and lets its caller send it.
func (w *world) submit() {
	s := &submission{
		w: w, id: job.ID(len(w.order) + 1), first: w.Now(), patience: w.between(500*time.Millisecond, 3*time.Second),
		alwaysFails: w.chance(0.03),
	}
	n := 1 + w.rng.IntN(4)
	estimate := w.between(20*time.Millisecond, 400*time.Millisecond)
	if w.chance(0.25) {
		// Only a run that lasts longer than both the detection of its entry's failure and the caller's pause before the
		// next attempt can overlap with its successor.
		estimate = w.between(time.Second, 3*time.Second)
	}
	for range n {
		work := time.Duration(float64(estimate) * (0.6 + 0.8*w.rng.Float64()))
		s.tasks = append(s.tasks, simTask{work: work})
	}
	s.spec = &job.Spec{Text: s.id.String(), BestEffort: true, Steps: []job.Step{{Count: uint32(n), Each: need, Estimate: estimate}}}
	s.kept = w.chance(0.4)
	w.crashes.drawCrasher(s)
	s.spec.BestEffort = !s.kept
	w.jobs[s.id] = s
	w.order = append(w.order, s)
	s.send()
}

// send hands the job to a random entry.
func (s *submission) send() {
	if s.w.fixed {
		s.sendTo(s.w.firstAlive())
		return
	}
	s.sendTo(s.w.entries[s.w.rng.IntN(len(s.w.entries))])
}

// firstAlive returns the first entry that is alive, or the first of all.
func (w *world) firstAlive() *entryProc {
	return w.entries[max(0, slices.IndexFunc(w.entries, func(e *entryProc) bool { return e.alive }))]
}

// sendTo hands the job to the given entry.
func (s *submission) sendTo(e *entryProc) {
	w := s.w
	if len(s.attempts) >= max(maxAttempts, s.insists) || s.abandoned {
		return
	}
	a := &attempt{}
	s.attempts = append(s.attempts, a)
	w.partitions.logSent(s, e)
	inc := e.inc
	caller := dispatch.CallerID(uint64(s.id)<<8 | uint64(len(s.attempts)))
	e.addOpenRequest(s, a, caller)
	w.partitions.deliver(e, a, func() {
		if !e.alive || e.inc != inc {
			s.connectionLost(a)
			return
		}
		e.doIn(inc, func() { e.recordContact(); e.table.RecordCallerContact(e.now()); e.receive(s, a, caller) })
	})
	leave := w.partitions.drawCallerWait(s.patience)
	if w.chance(w.profile.abandonRate) {
		leave = w.between(10*time.Millisecond, 300*time.Millisecond)
		s.abandoned = true
	}
	w.After(leave, func() {
		if a.answered {
			return
		}
		a.answered = true
		if !e.callersCut || w.profile.partitions {
			w.partitions.deliver(e, a, func() {
				e.doIn(inc, func() {
					w.partitions.logGone(s, e)
					delete(e.waiting, caller)
					if s.kept {
						e.keptJobs.Abandon(s.id, caller)
						return
					}
					e.table.Abandon(e.now(), s.id, caller)
				})
			})
		}
		if s.cancelUnsure() {
			return
		}
		if !e.callersCut && e.alive && e.inc == inc && w.chance(w.profile.resubmitRate) {
			// An impatient caller sends the job again at once. It may do so only to the same entry.
			w.After(w.between(4*time.Millisecond, 100*time.Millisecond), func() { s.sendAgain(e, inc) })
			return
		}
		w.After(resendDelay, s.send)
	})
}

// sendAgain hands the job to the entry that had it if that incarnation is still reachable; otherwise to a random entry
// after resendDelay.
func (s *submission) sendAgain(e *entryProc, inc ident.Incarnation) {
	if !e.alive || e.inc != inc || e.callersCut {
		s.w.After(resendDelay, s.send)
		return
	}
	s.sendTo(e)
}

// connectionLost handles a connection that broke before an answer arrived.
func (s *submission) connectionLost(a *attempt) {
	if a.answered {
		return
	}
	a.answered = true
	s.w.After(resendDelay, s.send)
}

// openRequest is a request that waits for its answer at an entry.
type openRequest struct {
	s *submission
	a *attempt
}

func (e *entryProc) addOpenRequest(s *submission, a *attempt, c dispatch.CallerID) {
	if e.open == nil {
		e.open = make(map[dispatch.CallerID]openRequest)
	}
	e.open[c] = openRequest{s, a}
}

// receive handles the arrival of a request at its entry.
func (e *entryProc) receive(s *submission, a *attempt, c dispatch.CallerID) {
	if a.answered && !e.callersCut && !e.w.profile.partitions {
		// The entry notices the closed connection before it handles the request.
		return
	}
	e.waiting[c] = func(answer dispatch.Answer) { s.handleAnswer(e, a, answer) }
	if s.kept {
		e.keptJobs.Submit(e.now(), dispatch.Request{
			Job: s.id, Spec: s.spec, Route: publishRoute, Caller: c, Deadline: e.now().Add(s.patience),
		})
		return
	}
	e.table.Submit(e.now(), dispatch.Request{
		Job: s.id, Spec: s.spec, Route: publishRoute, Caller: c, Deadline: e.now().Add(s.patience),
	})
}

// handleAnswer delivers an answer to the caller and checks it.
func (s *submission) handleAnswer(e *entryProc, a *attempt, answer dispatch.Answer) {
	w := s.w
	w.logf("job %v is answered %s %s %s by %s", s.id, answer.State, answer.Verdict, answer.Reason, e.name)
	if answer.State == verdict.Accepted {
		w.handleAccepted(s)
	}
	if answer.State == verdict.Failed {
		s.checkFailed()
	}
	if answer.State == verdict.Complete {
		for i, t := range s.tasks {
			if t.done.IsZero() {
				w.violate("job %v is called complete, and its task %d has not ended well", s.id, i)
			}
		}
	}
	if answer.State == verdict.Refused && answer.Verdict == verdict.NotRun && s.hasRun(e) {
		w.violate("job %v is called not run, and its entry has a run of it", s.id)
	}
	if e.callersCut || a.answered {
		return
	}
	a.answered = true
	a.refused = answer.State == verdict.Refused && answer.Verdict == verdict.NotRun
	s.answers = append(s.answers, answer)
	if answer.State == verdict.Unresolved {
		w.After(resendDelay, s.send)
	}
}

// hasRun reports whether an upstream has a run of the job that was ordered by the entry. With more than one attempt the
// origin of a run is unknown, and hasRun returns false.
func (s *submission) hasRun(*entryProc) bool {
	if len(s.attempts) > 1 {
		return false // the run may belong to an earlier entry
	}
	for _, a := range s.w.agents {
		for t := range a.upstream.runs {
			if t.Job == s.id {
				return true
			}
		}
	}
	return false
}
