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

// milli is the number of thousandths in a unit, for cores.
const milli = 1000

// submission is a job with its caller.
type submission struct {
	w     *World
	id    job.ID
	zone  *plan.Zone
	kind  *plan.Job
	spec  *job.Spec
	cores float64
	// taskTimes are the run times of the tasks on an upstream of Slowness 1.
	taskTimes []time.Duration
	firstSent time.Time
	// objective and giveUpAfter are times since firstSent: when the caller wants the answer, and when it gives up.
	objective, giveUpAfter time.Duration
	// returns is how often the job was sent again after a refusal. counted is false for jobs of the warmup.
	returns int
	counted bool
	// done is true once the caller has the final answer or has given up. outcome and took are the result and the time since
	// firstSent.
	done    bool
	outcome outcome
	took    time.Duration
	tallies []*Tally
	// asked is true once an entry was chosen; the first one counts the job.
	asked bool
}

// request is one attempt of a caller to submit a job to an entry.
type request struct {
	s      *submission
	e      *entry
	caller dispatch.CallerID
	// lost is true if the entry has lost power.
	lost bool
}

// scheduleArrivals lets the callers of a zone send jobs of a kind as a Poisson process.
func (w *World) scheduleArrivals(z *plan.Zone, j *plan.Job) {
	// The rate may rise before the next arrival, so arrivals are drawn at the highest possible rate and then thinned out.
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

// drawFactor draws a log-normal factor with mean 1; spread is the standard deviation of its logarithm.
func (w *World) drawFactor(spread float64) float64 {
	return math.Exp(spread*w.loadRNG.NormFloat64() - spread*spread/2)
}

const (
	// coresSpread is the spread of the number of cores per task between jobs.
	coresSpread = 0.2
	// maxTimeFactor bounds a job's run time, as a multiple of the mean.
	maxTimeFactor = 4
)

// submit draws a job and sends it.
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
	s.spec = &job.Spec{Text: w.drawText(s.id, j.TextBytes), BestEffort: true, Steps: []job.Step{{Count: uint32(n), Each: each, Estimate: estimate, Prefers: w.drawData(j)}}}
	s.objective = j.Target + time.Duration(j.Stretch*float64(longest))
	s.giveUpAfter = j.Deadline
	if w.loadRNG.Float64() < w.plan.LeavingShare(w.elapsed()) {
		s.giveUpAfter = s.objective / 2
	}
	w.result.add(s)
	s.send()
}

// drawText draws a job's text of length letters. It uses sixteen different letters, so that it compresses about as well as the
// users' texts. For length zero it returns the id, which keeps texts distinct.
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

// send submits the job to an entry in the caller's zone, or to any other entry if none in the zone is alive. If no entry is
// alive, or the entry is lost before the request arrives, the caller tries again after resendPause.
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
	remaining := s.giveUpAfter - w.Now().Sub(s.firstSent)
	s.countAt(e)
	inc := e.inc
	w.After(w.callerDelay(), func() {
		if !e.alive || e.inc != inc {
			w.After(resendPause, s.send)
			return
		}
		e.waiting[r.caller] = r
		e.receive(headers+len(s.spec.Text), func() { r.submit(remaining) })
	})
	w.After(remaining, r.giveUp)
}

// submit hands the request to the entry, unless its caller has given up while the message waited there. remaining is how long the
// caller waited for an answer when it sent the request.
func (r *request) submit(remaining time.Duration) {
	w, s, e := r.s.w, r.s, r.e
	if e.waiting[r.caller] != r {
		return
	}
	e.table.RecordCallerContact(w.Now())
	e.table.Submit(w.Now(), dispatch.Request{
		Job: s.id, Spec: s.spec, Route: w.routes[s.kind.Name], Caller: r.caller, Deadline: w.Now().Add(remaining),
	})
}

// giveUp ends the caller's wait for an answer and abandons the job at the entry.
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

// resend sends the job again if its caller has not given up.
func (r *request) resend() {
	if r.s.w.Now().Sub(r.s.firstSent) < r.s.giveUpAfter {
		r.s.send()
		return
	}
	r.s.finish(left)
}

// handleAnswer handles an answer that has arrived at the caller.
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

// pickEntry draws an entry that is alive: one in zone, or any other if zone has none. It returns nil if no entry is alive.
func (w *World) pickEntry(zone string) *entry {
	candidates := slices.DeleteFunc(slices.Clone(w.entries), func(e *entry) bool { return !e.alive || e.zone != zone })
	if len(candidates) == 0 {
		candidates = slices.DeleteFunc(slices.Clone(w.entries), func(e *entry) bool { return !e.alive })
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.rng.IntN(len(candidates))]
}

// callerDelay draws the time that a message takes between a caller and an entry.
func (w *World) callerDelay() time.Duration { return w.plan.Delays.Callers + w.handlingDelay() }

// sortedRequests lists requests in the order in which they were sent, which keeps simulations deterministic.
func sortedRequests(m map[dispatch.CallerID]*request) []*request {
	var out []*request
	for _, id := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[id])
	}
	return out
}
