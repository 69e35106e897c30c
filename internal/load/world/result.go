package world

import (
	"cmp"
	"slices"
	"time"

	"hillreel/internal/core/job"
	"hillreel/internal/core/metrics"
	"hillreel/internal/load/plan"
)

// outcome is what becomes of a job, as its caller sees it.
type outcome string

const (
	inTime  outcome = "in_time"
	late    outcome = "late"
	refused outcome = "refused"
	failed  outcome = "failed"
	// left: the caller has given up waiting.
	left outcome = "left"
)

// Tally counts the outcomes of jobs.
type Tally struct {
	Sent, InTime, Late, Refused, Failed, Left int
	// Times are those of the answers.
	ResponseTimes *metrics.Histogram
}

func newTally() *Tally { return &Tally{ResponseTimes: metrics.NewHistogram()} }

// Served is the part of the jobs that were served in time. A caller that has left asks for nothing.
func (t *Tally) ServedShare() float64 {
	if asked := t.Sent - t.Left; asked > 0 {
		return float64(t.InTime) / float64(asked)
	}
	return 1
}

// Messages counts what entries and agents sent each other.
type Messages struct{ Orders, Stops, Rooms, Ends, Takeovers int }

// Result is what an experiment has shown.
type Result struct {
	All *Tally
	// Kinds and Zones are in the plan's order, Seconds from the start of the load. Largest are the largest tenth of each
	// kind, by their work.
	Kinds, Zones, Seconds, Largest []*Tally
	Messages                       Messages
	// Raced counts runs that agents refused for want of room, Runs those that began.
	NoRoomRefusals, Runs int
	// Used and Wasted are core-seconds: of all runs, and of those that did not end well.
	Used, Wasted float64
	// Cores is the room of all upstreams.
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
	}
	for range int(p.Length/time.Second) + 1 {
		r.Seconds = append(r.Seconds, newTally())
	}
	return r
}

// largestPart of a kind's jobs is looked at by itself: wide and long ones are the first to lose where room is scarce.
const largestDivisor = 10

// tallyLargest counts the largest jobs of each kind.
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

// work is what a job takes, in core-seconds.
func (s *submission) work() float64 {
	var sum float64
	for _, t := range s.taskTimes {
		sum += s.cores * t.Seconds()
	}
	return sum
}

// add counts a job that is sent.
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
			s.tallies = append(s.tallies, r.Zones[i])
		}
	}
	for _, t := range s.tallies {
		t.Sent++
	}
}

// end counts what becomes of a job.
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
