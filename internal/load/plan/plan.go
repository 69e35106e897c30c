// Package plan describes a deployment for a simulation in virtual time: its VMs, the jobs that callers send, and the faults
// that occur.
package plan

import (
	"math"
	"time"
)

// Plan describes one simulation.
type Plan struct {
	// Seed seeds the random draws: equal plans with equal seeds give equal results.
	Seed uint64
	// Length is how long callers send jobs. Jobs that are sent before Warmup has passed are not counted.
	Length, Warmup time.Duration
	// Load is a factor on the rates of all jobs.
	Load float64
	// MaxReturns is how often a caller sends a refused job again, each time after the delay that the refusal gives.
	MaxReturns int
	// RemoteFactor is how many times as long a task takes away from its data, that is on an upstream outside the rack that its step
	// prefers.
	RemoteFactor float64
	// Central replaces all entries by one dispatcher without message delays. The share of jobs that this dispatcher serves is
	// the upper bound for its policies.
	Central bool
	// ClaimFrom is the number of entries from which on entries claim room for jobs that wait; zero means never.
	ClaimFrom int
	Delays    Delays
	Zones     []Zone
	Entries   []Entry
	Upstreams []Upstream
	Jobs      []Job
	// Shares holds the parts of the capacity that operators give to teams. Without any, nobody's jobs are refused for their share.
	Shares []Share
	Faults []Fault
}

// Share describes a team and the part of the capacity that it gets.
type Share struct {
	Team string
	// Routes names the kinds of jobs that are the team's.
	Routes []string
	// Weight says by how much more the team gets than others. Floor and Limit are parts of the capacity; a Limit of zero means none.
	Weight, Floor, Limit float64
}

// Delays holds the one-way delays of messages.
type Delays struct {
	// Near is the delay within an availability zone, Far between two zones, and Callers between a caller and an entry.
	Near, Far, Callers time.Duration
	// Handling is the longest time that a process takes to handle a message; the time is drawn for each message.
	Handling time.Duration
	// EntryLinkMbits is the bandwidth at which an entry's VM sends to agents, in Mbit/s, unless its kind has a link of its own; zero
	// means unlimited.
	EntryLinkMbits float64
}

// Zone describes an availability zone.
type Zone struct {
	Name string
	// Entries and Upstreams are the numbers of VMs in the zone.
	Entries, Upstreams int
	// Share is the zone's weight in the distribution of jobs: its callers send Share divided by the sum of all shares.
	Share float64
	// EntryKind is the kind of all entries of the zone; empty means that they get the kinds in turn.
	EntryKind string
	// Rack is the number of upstreams per rack; zero means that they are in no racks.
	Rack int
	// Swing, Period and Phase let the zone's load rise and fall as a wave: by the share Swing of its mean, once per Period. Phase is the
	// part of a period by which the wave is ahead.
	Swing  float64
	Period time.Duration
	Phase  float64
}

// wave returns the factor of the zone's load at the time at after the start; its mean over a period is 1.
func (z *Zone) wave(at time.Duration) float64 {
	if z.Swing == 0 {
		return 1
	}
	return 1 + z.Swing*math.Sin(2*math.Pi*(at.Seconds()/z.Period.Seconds()+z.Phase))
}

// Racks returns the number of racks of the zone.
func (z *Zone) Racks() int {
	if z.Rack == 0 {
		return 0
	}
	return (z.Upstreams + z.Rack - 1) / z.Rack
}

// Entry describes a kind of entry. Entries get the kinds in turn, each kind Weight times per round.
type Entry struct {
	Name   string
	Weight int
	// LinkMbits is the bandwidth of the VM's link in each direction, in Mbit/s; zero means unlimited. All messages to and from agents
	// and callers wait for it.
	LinkMbits float64
	// Handling is how long the entry's only thread works on each message that it receives. Messages wait for it in the order of
	// their arrival.
	Handling time.Duration
}

// Upstream describes a kind of upstream. Upstreams get the kinds in turn, each kind Weight times per round.
type Upstream struct {
	Name   string
	Weight int
	// Cores is the size of each upstream of this kind; Slowness is a factor on the run time of its tasks.
	Cores, Slowness float64
}

// Job describes a kind of job. All its jobs have one step.
type Job struct {
	Name string
	// Rate is the number of jobs that are sent per second.
	Rate float64
	// Tasks is the mean number of tasks, MaxTasks the largest.
	Tasks, MaxTasks int
	// Time is the mean run time of a job's tasks. Spread is the standard deviation, of the logarithm, of the number and the run
	// time of tasks between jobs; Uneven is that of the run time between the tasks of one job.
	Time           time.Duration
	Spread, Uneven float64
	// EstimateError is the largest relative error of the declared run time.
	EstimateError float64
	// Cores is the mean number of cores that a task needs. The number varies between jobs; the standard deviation of its
	// logarithm is a fifth.
	Cores float64
	// Stretch and Target define a job's objective: Target plus Stretch times the run time of its longest task. Callers give up after Deadline.
	Stretch          float64
	Target, Deadline time.Duration
	// Near is the share of the jobs whose data are in one rack, which is drawn for each job.
	Near float64
	// TextBytes is the length of the job's text, which is sent to each agent that gets one of the job's tasks.
	TextBytes int
	// Priority 0 is the highest. A job fails once one of its tasks has failed Attempts times.
	Priority, Attempts int
}

// Kind is the kind of a fault, as the plan file names it.
type Kind string

// The kinds of faults.
const (
	// Burst multiplies the rate of jobs by Factor, for one kind or all kinds and for one zone or all zones.
	Burst Kind = "burst"
	// UpstreamsLost cuts the power of VMs of upstreams.
	UpstreamsLost Kind = "upstreams_lost"
	// UpstreamsRestart makes upstreams crash and restart under the same ids while their agents keep running.
	UpstreamsRestart Kind = "upstreams_restart"
	// UpstreamsSlow multiplies by Factor the run time of tasks that start at the affected upstreams.
	UpstreamsSlow Kind = "upstreams_slow"
	// UpstreamsHang makes tasks that start at the affected upstreams run forever.
	UpstreamsHang Kind = "upstreams_hang"
	// UpstreamsFail makes tasks that start at the affected upstreams fail immediately.
	UpstreamsFail Kind = "upstreams_fail"
	// EntriesLost cuts the power of VMs of entries; their callers send the unanswered jobs again.
	EntriesLost Kind = "entries_lost"
	// AllLost cuts the power of all VMs of entries and of upstreams at once. They start again at slightly different times.
	AllLost Kind = "all_lost"
	// ZoneCordoned cordons an availability zone; processes learn of the cordon at different times.
	ZoneCordoned Kind = "zone_cordoned"
	// HotRack makes the share Factor of the jobs, of one kind or all kinds, want the same rack, which is drawn.
	HotRack Kind = "hot_rack"
	// CallersLeave makes the share Factor of the callers give up at half of their objective.
	CallersLeave Kind = "callers_leave"
)

// Kinds lists all kinds of faults.
var Kinds = []Kind{Burst, UpstreamsLost, UpstreamsRestart, UpstreamsSlow, UpstreamsHang, UpstreamsFail, EntriesLost, AllLost, ZoneCordoned, HotRack, CallersLeave}

// Fault describes a fault that lasts for a limited time.
type Fault struct {
	Name string
	Kind Kind
	// At is when the fault begins, after the start of the load; For is how long it lasts.
	At, For time.Duration
	// Zone and Job restrict the fault to a zone and a kind of job; empty means all.
	Zone, Job string
	// Count is the number of affected VMs. The meaning of Factor depends on Kind.
	Count  int
	Factor float64
}

// Rate returns the number of jobs of kind j that callers of zone z send per second, at the time at after the start.
func (p *Plan) Rate(z *Zone, j *Job, at time.Duration) float64 {
	return p.burstRate(z, j, at) * z.wave(at)
}

// burstRate returns the rate without the zone's wave.
func (p *Plan) burstRate(z *Zone, j *Job, at time.Duration) float64 {
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

// MaxBurst bounds the rate of one kind of job from one zone, as a multiple of the usual rate of this kind from all zones.
const MaxBurst = 4

// exceedsMaxBurst reports whether the callers of any zone exceed MaxBurst at the time at after the start, if the crest of its wave comes
// then.
func (p *Plan) exceedsMaxBurst(at time.Duration) bool {
	for i := range p.Zones {
		for k := range p.Jobs {
			if j := &p.Jobs[k]; p.burstRate(&p.Zones[i], j, at)*(1+p.Zones[i].Swing) > MaxBurst*p.Load*j.Rate {
				return true
			}
		}
	}
	return false
}

// LeavingShare returns the share of callers that give up early, at the time at after the start.
func (p *Plan) LeavingShare(at time.Duration) float64 {
	for i := range p.Faults {
		if f := &p.Faults[i]; f.Kind == CallersLeave && f.isActive(at) {
			return f.Factor
		}
	}
	return 0
}

func (f *Fault) isActive(at time.Duration) bool { return at >= f.At && at < f.At+f.For }

// EntryCount returns the number of entries.
func (p *Plan) EntryCount() int {
	if p.Central {
		return 1
	}
	n := 0
	for i := range p.Zones {
		n += p.Zones[i].Entries
	}
	return n
}

// Cores returns the total number of cores of all upstreams.
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

// EntryKind returns the kind of the entry with index n, in zone z. Plans without kinds of entries, and central ones, have entries that
// handle any number of messages.
func (p *Plan) EntryKind(z *Zone, n int) *Entry {
	if p.Central || len(p.Entries) == 0 {
		return &Entry{}
	}
	for i := range p.Entries {
		if p.Entries[i].Name == z.EntryKind {
			return &p.Entries[i]
		}
	}
	return deal(p.Entries, n, func(e *Entry) int { return e.Weight })
}

// UpstreamKind returns the kind of the upstream with index n.
func (p *Plan) UpstreamKind(n int) *Upstream {
	return deal(p.Upstreams, n, func(u *Upstream) int { return u.Weight })
}

// deal returns the kind that the VM with index n gets, if VMs get the kinds in turn, each as often per round as its weight.
func deal[K any](kinds []K, n int, weight func(*K) int) *K {
	round := 0
	for i := range kinds {
		round += weight(&kinds[i])
	}
	n %= round
	for i := range kinds {
		if n < weight(&kinds[i]) {
			return &kinds[i]
		}
		n -= weight(&kinds[i])
	}
	panic("plan: index exceeds the sum of the weights")
}

// RequestedCores returns how many cores the jobs keep busy on average, if each task runs once on an upstream of Slowness 1.
// Bursts are not counted.
func (p *Plan) RequestedCores() float64 {
	var sum float64
	for i := range p.Jobs {
		j := &p.Jobs[i]
		sum += p.Load * j.Rate * float64(j.Tasks) * j.Time.Seconds() * j.Cores
	}
	return sum
}
