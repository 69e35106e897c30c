package world

import (
	"cmp"
	"slices"
	"time"

	"hillreel/internal/core/job"
	"hillreel/internal/core/metrics"
	"hillreel/internal/load/plan"
)

// outcome is the result of a job from the view of its caller.
type outcome string

const (
	inTime  outcome = "in_time"
	late    outcome = "late"
	refused outcome = "refused"
	failed  outcome = "failed"
	// left means that the caller has given up.
	left outcome = "left"
)

// Tally counts jobs by their outcome. Sent is the total.
type Tally struct {
	Sent, InTime, Late, Refused, Failed, Left int
	// ResponseTimes holds the response times of the jobs that completed, in time or late.
	ResponseTimes *metrics.Histogram
}

func newTally() *Tally { return &Tally{ResponseTimes: metrics.NewHistogram()} }

// ServedShare returns the share of jobs that completed in time. Jobs whose callers gave up are left out.
func (t *Tally) ServedShare() float64 {
	if waited := t.Sent - t.Left; waited > 0 {
		return float64(t.InTime) / float64(waited)
	}
	return 1
}

// Messages counts messages between entries and agents by type.
type Messages struct{ Orders, Stops, Rooms, Ends, Takeovers, Claims, Demands int }

// Result holds the outcome of a simulation.
type Result struct {
	All *Tally
	// Kinds and Zones are in the order of the plan. Seconds has one element per second since the start of the load. Largest
	// has the tenth of each kind's jobs that need the most core-seconds.
	Kinds, Zones, Seconds, Largest []*Tally
	// ZoneKinds has, for each zone, the jobs of each kind.
	ZoneKinds [][]*Tally
	// Entries has one element per entry, EntryKinds one per kind of entry in the order of the plan. A job counts at the entry that
	// its caller asked first.
	Entries, EntryKinds []*Tally
	Messages            Messages
	// NoRoomRefusals counts orders that agents refused because the upstream had no room; Runs counts runs that started.
	NoRoomRefusals, Runs int
	// RunsWithData counts runs of tasks whose data are in one rack, RunsAway those of them that started outside it.
	RunsWithData, RunsAway int
	// IdleSeconds has one element per second since the start of the load.
	IdleSeconds []Idle
	// Refusals counts the answers by which entries refused jobs, RefusedBesideRoom those of them that were given while the upstreams
	// had room for all tasks of the job.
	Refusals, RefusedBesideRoom int
	// Used and Wasted are core-seconds: of all runs, and of runs that did not complete their task.
	Used, Wasted float64
	// Cores is the total number of cores of all upstreams.
	Cores float64

	plan *plan.Plan
	jobs map[job.ID]*submission
}

func newResult(p *plan.Plan) Result {
	r := Result{All: newTally(), plan: p, jobs: make(map[job.ID]*submission)}
	for range p.Jobs {
		r.Kinds = append(r.Kinds, newTally())
	}
	for range p.Zones {
		r.Zones = append(r.Zones, newTally())
		kinds := make([]*Tally, len(p.Jobs))
		for i := range kinds {
			kinds[i] = newTally()
		}
		r.ZoneKinds = append(r.ZoneKinds, kinds)
	}
	for range p.Entries {
		r.EntryKinds = append(r.EntryKinds, newTally())
	}
	for range int(p.Length/time.Second) + 1 {
		r.Seconds = append(r.Seconds, newTally())
		r.IdleSeconds = append(r.IdleSeconds, Idle{})
	}
	return r
}

// largestDivisor is the share, as a divisor, of each kind's jobs that is reported separately as the largest: jobs with many or
// long tasks are the first to miss their objective when room is scarce.
const largestDivisor = 10

// tallyLargest fills Largest.
func (r *Result) tallyLargest() {
	byKind := make(map[*plan.Job][]*submission)
	for _, s := range r.jobs {
		if s.counted {
			byKind[s.kind] = append(byKind[s.kind], s)
		}
	}
	for i := range r.plan.Jobs {
		all := byKind[&r.plan.Jobs[i]]
		slices.SortFunc(all, func(a, b *submission) int { return cmp.Or(cmp.Compare(b.work(), a.work()), cmp.Compare(a.id, b.id)) })
		t := newTally()
		for _, s := range all[:len(all)/largestDivisor] {
			t.Sent++
			t.addOutcome(s.outcome, s.took)
		}
		r.Largest = append(r.Largest, t)
	}
}

// work returns the core-seconds that a job needs.
func (s *submission) work() float64 {
	var sum float64
	for _, t := range s.taskTimes {
		sum += s.cores * t.Seconds()
	}
	return sum
}

// add registers a job that is sent, and counts it unless it belongs to the warmup.
func (r *Result) add(s *submission) {
	r.jobs[s.id] = s
	if !s.counted {
		return
	}
	s.tallies = []*Tally{r.All, r.Seconds[int(s.w.elapsed()/time.Second)]}
	for i := range r.plan.Jobs {
		if &r.plan.Jobs[i] == s.kind {
			s.tallies = append(s.tallies, r.Kinds[i])
		}
	}
	for i := range r.plan.Zones {
		if &r.plan.Zones[i] == s.zone {
			s.tallies = append(s.tallies, r.Zones[i], r.ZoneKinds[i][r.kindIndex(s.kind)])
		}
	}
	for _, t := range s.tallies {
		t.Sent++
	}
}

// kindIndex returns the index of a kind of job in the plan.
func (r *Result) kindIndex(kind *plan.Job) int {
	return slices.IndexFunc(r.plan.Jobs, func(j plan.Job) bool { return j.Name == kind.Name })
}

// addEntry adds an entry of a kind. It returns the tallies of the jobs whose callers ask it first.
func (r *Result) addEntry(kind *plan.Entry) []*Tally {
	own := newTally()
	r.Entries = append(r.Entries, own)
	for i := range r.plan.Entries {
		if &r.plan.Entries[i] == kind {
			return []*Tally{own, r.EntryKinds[i]}
		}
	}
	return []*Tally{own}
}

// countAt counts the job at the entry that its caller asks first.
func (s *submission) countAt(e *entry) {
	if s.asked {
		return
	}
	s.asked = true
	if !s.counted {
		return
	}
	for _, t := range e.tallies {
		t.Sent++
	}
	s.tallies = append(s.tallies, e.tallies...)
}

// RefusedShare returns the share of all jobs that were refused.
func (t *Tally) RefusedShare() float64 {
	if t.Sent == 0 {
		return 0
	}
	return float64(t.Refused) / float64(t.Sent)
}

// WorstRefused returns how often the tally with the largest share of refused jobs refused, relative to all jobs. It returns 1 if no
// job was refused.
func (r *Result) WorstRefused(of []*Tally) float64 {
	all := r.All.RefusedShare()
	if all == 0 {
		return 1
	}
	var worst float64
	for _, t := range of {
		worst = max(worst, t.RefusedShare())
	}
	return worst / all
}

// finish records the outcome of a job. Only the first call for a job has an effect.
func (s *submission) finish(o outcome) {
	if s.done {
		return
	}
	s.done, s.outcome, s.took = true, o, s.w.Now().Sub(s.firstSent)
	for _, t := range s.tallies {
		t.addOutcome(o, s.took)
	}
}

func (t *Tally) addOutcome(o outcome, took time.Duration) {
	switch o {
	case inTime:
		t.InTime++
	case late:
		t.Late++
	case refused:
		t.Refused++
	case failed:
		t.Failed++
	case left:
		t.Left++
	}
	if o == inTime || o == late {
		t.ResponseTimes.Record(took)
	}
}
