// Package plan describes a deployment and its load for experiments in virtual time: which VMs there are, which jobs callers
// send, and what goes wrong.
package plan

import "time"

// Plan is one experiment.
type Plan struct {
	// Seed makes runs repeatable.
	Seed uint64
	// Length is how long callers send jobs; what is sent before Warmup is not counted.
	Length, Warmup time.Duration
	// Load multiplies the rates of all jobs.
	Load float64
	// Returns is how often a refused caller comes back, after the time that the refusal names.
	MaxReturns int
	// Central: one dispatcher without delays takes the place of all entries. What it serves is the most that its policies
	// can reach.
	Central   bool
	Delays    Delays
	Zones     []Zone
	Upstreams []Upstream
	Jobs      []Job
	Faults    []Fault
}

// Delays are one-way times of messages.
type Delays struct {
	// Near is within an availability zone, Far between two, Callers to and from callers.
	Near, Far, Callers time.Duration
	// Handling is what a process takes for a message at the most; it is drawn anew each time.
	Handling time.Duration
	// EntryLink is what an entry's VM can send, in megabits a second; zero is no bound.
	EntryLinkMbits float64
}

// Zone is an availability zone.
type Zone struct {
	Name string
	// Entries and Upstreams count the VMs there.
	Entries, Upstreams int
	// Share is the part of all jobs that callers of the zone send, relative to the others' shares.
	Share float64
}

// Upstream is a kind of upstream. The kinds are dealt out in turn, each as often as its weight says.
type Upstream struct {
	Name   string
	Weight int
	// Cores of each, and how many times as long as elsewhere a task takes there.
	Cores, Slowness float64
}

// Job is a kind of job, of one step.
type Job struct {
	Name string
	// Rate is how many are sent a second.
	Rate float64
	// Tasks is the mean number of tasks, MaxTasks the highest.
	Tasks, MaxTasks int
	// Time is the mean run time of a job's tasks. Spread is how much jobs differ in number and time of tasks, as the
	// standard deviation of the logarithm; Uneven how much the tasks of one job do.
	Time           time.Duration
	Spread, Uneven float64
	// EstimateOff is by which part the estimate may be wrong.
	EstimateError float64
	// Cores is what a task takes; jobs differ by a fifth.
	Cores float64
	// Stretch times the longest task and Target make up the objective; Deadline is when callers leave.
	Stretch          float64
	Target, Deadline time.Duration
	// Text is the length of the job's text in bytes, which goes to each agent that gets one of its tasks.
	TextBytes int
	// Priority 0 goes first; Attempts is after how many failed runs of one task the job has failed.
	Priority, Attempts int
}

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// Burst: Factor times as many jobs, of one kind or all, from one zone or all.
	Burst Kind = "burst"
	// UpstreamsLost: VMs of upstreams lose power.
	UpstreamsLost Kind = "upstreams_lost"
	// UpstreamsRestart: upstreams crash and start again under their ids, beside agents that go on.
	UpstreamsRestart Kind = "upstreams_restart"
	// UpstreamsSlow: tasks that start there take Factor times as long.
	UpstreamsSlow Kind = "upstreams_slow"
	// UpstreamsHang: tasks that start there never end.
	UpstreamsHang Kind = "upstreams_hang"
	// UpstreamsFail: tasks that start there fail at once.
	UpstreamsFail Kind = "upstreams_fail"
	// EntriesLost: VMs of entries lose power; their callers send what was under way again.
	EntriesLost Kind = "entries_lost"
	// ZoneCordoned: operators cordon a zone; processes hear of it one after the other.
	ZoneCordoned Kind = "zone_cordoned"
	// CallersLeave: the part Factor of the callers leaves at half of the objective.
	CallersLeave Kind = "callers_leave"
)

// Kinds lists the kinds of faults.
var Kinds = []Kind{Burst, UpstreamsLost, UpstreamsRestart, UpstreamsSlow, UpstreamsHang, UpstreamsFail, EntriesLost, ZoneCordoned, CallersLeave}

// Fault is something that goes wrong for a while.
type Fault struct {
	Name string
	Kind Kind
	// At is when it begins, For how long it lasts.
	At, For time.Duration
	// Zone and Job say where; empty is everywhere.
	Zone, Job string
	// Count is how many VMs are concerned, Factor how strongly.
	Count  int
	Factor float64
}

// Rate is how many jobs of a kind callers of a zone send a second, some time after the start.
func (p *Plan) Rate(z *Zone, j *Job, at time.Duration) float64 {
	var shares float64
	for i := range p.Zones {
		shares += p.Zones[i].Share
	}
	rate := p.Load * j.Rate * z.Share / shares
	for i := range p.Faults {
		f := &p.Faults[i]
		if f.Kind == Burst && f.isActive(at) && (f.Zone == "" || f.Zone == z.Name) && (f.Job == "" || f.Job == j.Name) {
			rate *= f.Factor
		}
	}
	return rate
}

// MostBurst bounds what callers of one zone send of a kind, in multiples of what those of all zones usually send.
const MaxBurst = 4

// pressesTooMuch tells whether callers of a zone send more than MostBurst allows, some time after the start.
func (p *Plan) exceedsMaxBurst(at time.Duration) bool {
	for i := range p.Zones {
		for k := range p.Jobs {
			if j := &p.Jobs[k]; p.Rate(&p.Zones[i], j, at) > MaxBurst*p.Load*j.Rate {
				return true
			}
		}
	}
	return false
}

// Leaving is the part of the callers that leave early, some time after the start.
func (p *Plan) LeavingShare(at time.Duration) float64 {
	for i := range p.Faults {
		if f := &p.Faults[i]; f.Kind == CallersLeave && f.isActive(at) {
			return f.Factor
		}
	}
	return 0
}

func (f *Fault) isActive(at time.Duration) bool { return at >= f.At && at < f.At+f.For }

// Cores is the room of all upstreams together.
func (p *Plan) Cores() float64 {
	var sum float64
	n := 0
	for i := range p.Zones {
		for range p.Zones[i].Upstreams {
			sum += p.UpstreamKind(n).Cores
			n++
		}
	}
	return sum
}

// KindOf is the kind of the upstream of a number.
func (p *Plan) UpstreamKind(n int) *Upstream {
	weights := 0
	for i := range p.Upstreams {
		weights += p.Upstreams[i].Weight
	}
	n %= weights
	for i := range p.Upstreams {
		if n < p.Upstreams[i].Weight {
			return &p.Upstreams[i]
		}
		n -= p.Upstreams[i].Weight
	}
	panic("plan: the weights do not add up")
}

// Asked is how many cores the jobs keep busy on average, if each runs once and nowhere slowly.
func (p *Plan) RequestedCores() float64 {
	var sum float64
	for i := range p.Jobs {
		j := &p.Jobs[i]
		sum += p.Load * j.Rate * float64(j.Tasks) * j.Time.Seconds() * j.Cores
	}
	return sum
}
