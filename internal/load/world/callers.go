package world

import (
	"maps"
	"math"
	"slices"
	"time"

	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/load/plan"
)

// milli is a thousandth.
const milli = 1000

// submission is a job and its caller.
type submission struct {
	w     *World
	id    job.ID
	zone  *plan.Zone
	kind  *plan.Job
	spec  *job.Spec
	cores float64
	// times are how long its tasks take at an upstream that is not slow.
	taskTimes []time.Duration
	firstSent time.Time
	// objective is by when the caller wants the answer; leaves is when it gives up.
	objective, giveUpAfter time.Duration
	// returns counts how often a refused caller has come back; counted is false during the warmup.
	returns int
	counted bool
	// over is true once the caller has its last answer, or has left; outcome and took say how and when.
	done    bool
	outcome outcome
	took    time.Duration
	tallies []*Tally
}

// request is one request for a job.
type request struct {
	s      *submission
	e      *entry
	caller dispatch.CallerID
	// lost: its entry has lost power.
	lost bool
}

// arrivals lets the callers of a zone send jobs of a kind, at random.
func (w *World) scheduleArrivals(z *plan.Zone, j *plan.Job) {
	// The rate may rise within the pause, so that a caller is drawn as often as the highest rate asks for.
	rate := plan.MaxBurst * w.plan.Load * j.Rate
	if rate == 0 || z.Share == 0 || w.elapsed() >= w.plan.Length {
		return
	}
	w.After(time.Duration(w.loadRNG.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.loadRNG.Float64()*rate < w.plan.Rate(z, j, w.elapsed()) {
			w.submit(z, j)
		}
		w.scheduleArrivals(z, j)
	})
}

// vary draws a factor around 1, whose mean is 1.
func (w *World) drawFactor(spread float64) float64 {
	return math.Exp(spread*w.loadRNG.NormFloat64() - spread*spread/2)
}

// Drawn jobs differ by this much in the processors of their tasks, and take at most so many times the mean time.
const (
	coresSpread   = 0.2
	maxTimeFactor = 4
)

// submit makes a job and sends it.
func (w *World) submit(z *plan.Zone, j *plan.Job) {
	w.nextJob++
	s := &submission{w: w, id: job.ID(w.nextJob), zone: z, kind: j, firstSent: w.Now(), counted: w.elapsed() >= w.plan.Warmup}
	n := min(max(int(math.Round(float64(j.Tasks)*w.drawFactor(j.Spread))), 1), j.MaxTasks)
	base := min(float64(j.Time)*w.drawFactor(j.Spread), maxTimeFactor*float64(j.Time))
	var longest time.Duration
	for range n {
		t := time.Duration(base * w.drawFactor(j.Uneven))
		s.taskTimes = append(s.taskTimes, t)
		longest = max(longest, t)
	}
	s.cores = j.Cores * w.drawFactor(coresSpread)
	estimate := time.Duration(base * (1 + j.EstimateError*(2*w.loadRNG.Float64()-1)))
	each := job.Resources{CPU: int64(s.cores * milli), Mem: 64}
	s.spec = &job.Spec{Text: w.drawText(s.id, j.TextBytes), BestEffort: true, Steps: []job.Step{{Count: uint32(n), Each: each, Estimate: estimate}}}
	s.objective = j.Target + time.Duration(j.Stretch*float64(longest))
	s.giveUpAfter = j.Deadline
	if w.loadRNG.Float64() < w.plan.LeavingShare(w.elapsed()) {
		s.giveUpAfter = s.objective / 2
	}
	w.result.add(s)
	s.send()
}

// text draws a job's text: of so many letters, of which there are sixteen, so that it holds as much as the users' texts do.
func (w *World) drawText(id job.ID, length int) string {
	if length == 0 {
		return id.String()
	}
	b := make([]byte, length)
	for i := range b {
		b[i] = 'a' + byte(w.loadRNG.IntN(16))
	}
	return string(b)
}

// send hands the job to an entry of the caller's zone, or to any where none lives there.
func (s *submission) send() {
	if s.done {
		return
	}
	w := s.w
	e := w.pickEntry(s.zone.Name)
	if e == nil {
		w.After(resendPause, s.send)
		return
	}
	w.nextJob++
	r := &request{s: s, e: e, caller: dispatch.CallerID(w.nextJob)}
	left := s.giveUpAfter - w.Now().Sub(s.firstSent)
	inc := e.inc
	w.After(w.callerDelay(), func() {
		if !e.alive || e.inc != inc {
			w.After(resendPause, s.send)
			return
		}
		e.waiting[r.caller] = r
		e.table.RecordCallerContact(w.Now())
		e.table.Submit(w.Now(), dispatch.Request{
			Job: s.id, Spec: s.spec, Route: w.routes[s.kind.Name], Caller: r.caller, Deadline: w.Now().Add(left),
		})
	})
	w.After(left, r.giveUp)
}

// leave ends a caller's wait.
func (r *request) giveUp() {
	if r.s.done || r.lost {
		return
	}
	r.s.finish(left)
	r.s.w.After(r.s.w.callerDelay(), func() {
		if r.e.alive && r.e.waiting[r.caller] == r {
			delete(r.e.waiting, r.caller)
			r.e.table.Abandon(r.s.w.Now(), r.s.id, r.caller)
		}
	})
}

// again sends the job once more, if its caller still waits.
func (r *request) resend() {
	if r.s.w.Now().Sub(r.s.firstSent) < r.s.giveUpAfter {
		r.s.send()
		return
	}
	r.s.finish(left)
}

// answered takes an answer to the caller.
func (r *request) handleAnswer(a dispatch.Answer) {
	s := r.s
	switch {
	case s.done:
	case a.State == verdict.Complete && s.w.Now().Sub(s.firstSent) <= s.objective:
		s.finish(inTime)
	case a.State == verdict.Complete:
		s.finish(late)
	case a.State == verdict.Refused && s.returns < s.w.plan.MaxReturns:
		s.returns++
		s.w.After(a.RetryAfter, r.resend)
	case a.State == verdict.Refused:
		s.finish(refused)
	default:
		s.finish(failed)
	}
}

// pick draws an entry that lives, of a zone if there is one.
func (w *World) pickEntry(zone string) *entry {
	near := slices.DeleteFunc(slices.Clone(w.entries), func(e *entry) bool { return !e.alive || e.zone != zone })
	if len(near) == 0 {
		near = slices.DeleteFunc(slices.Clone(w.entries), func(e *entry) bool { return !e.alive })
	}
	if len(near) == 0 {
		return nil
	}
	return near[w.rng.IntN(len(near))]
}

// toCaller is the time of a message to or from a caller.
func (w *World) callerDelay() time.Duration { return w.plan.Delays.Callers + w.handlingDelay() }

// sortedRequests lists requests in the order in which they were sent, so that runs repeat.
func sortedRequests(m map[dispatch.CallerID]*request) []*request {
	var out []*request
	for _, id := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[id])
	}
	return out
}
