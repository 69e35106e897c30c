// Package workload draws the users' jobs from a seed: publish jobs of the podcast service and order jobs of
// the canteen service, with arrival times of an open loop.
package workload

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hillreel/api"
)

// Kind is a user's workload.
type Kind string

// The workloads.
const (
	Publish Kind = "publish"
	Canteen Kind = "canteen"
)

// Job is one job to submit, with what only the load tool knows of it.
type Job struct {
	api.Job
	// At is when it arrives, from the start of the run.
	At time.Duration
	// Runs are the true run times of its tasks.
	Runs []time.Duration
	// Note comes back in each task's answer.
	Note string
	// Impossible: the service that it names can't run it; a refusal is its right answer.
	Impossible bool
}

// Profile says what to draw.
type Profile struct {
	Kind Kind
	Seed uint64
	// Length is how long jobs arrive.
	Length time.Duration
	// Slots is how many tasks the set runs at once; Load is the share of them to keep busy.
	Slots int
	Load  float64
	// Team is the jobs' team.
	Team string
	// EstimateFactor multiplies the declared run times; 1 is the truth.
	EstimateFactor float64
	// Impossible makes jobs for a service that nobody offers.
	Impossible bool
	// DeadlineMs is given to each job; zero is none.
	DeadlineMs uint32
}

// part draws one sort of task: count between Few and Many, run time between Least and Most.
type part struct {
	kind        string
	few, many   int
	least, most time.Duration
}

// impossibleTasks is more than any job may have.
const impossibleTasks = 1501

// longShare is the share of tasks that last several seconds.
const longShare = 0.002

var (
	publishParts = []part{
		{"feed", 1, 1, 150 * time.Millisecond, 500 * time.Millisecond},
		{"preview", 1, 1, 300 * time.Millisecond, time.Second},
		{"ad_slot", 1, 58, 50 * time.Millisecond, 250 * time.Millisecond},
	}
	orderParts = []part{
		{"slot_confirm", 1, 1, 50 * time.Millisecond, 150 * time.Millisecond},
		{"wage_charge", 1, 1, 60 * time.Millisecond, 250 * time.Millisecond},
	}
	cancelParts = []part{{"cancellation", 1, 1, 50 * time.Millisecond, 120 * time.Millisecond}}
	prepParts   = []part{{"prep_list", 8, 24, 80 * time.Millisecond, 600 * time.Millisecond}}
)

// Draw returns the jobs of one run in order of arrival.
func Draw(p Profile) []Job {
	rng := rand.New(rand.NewPCG(p.Seed, 7))
	var out []Job
	work := meanWork(p.Kind)
	rate := float64(p.Slots) * p.Load / work.Seconds()
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at > p.Length {
			return out
		}
		out = append(out, draw(p, rng, at, len(out)))
	}
}

// meanWork is the mean summed run time of a job, from a sample with a fixed seed.
func meanWork(k Kind) time.Duration {
	const sample = 2000
	rng := rand.New(rand.NewPCG(1, 1))
	var sum time.Duration
	for i := range sample {
		for _, r := range draw(Profile{Kind: k}, rng, 0, i).Runs {
			sum += r
		}
	}
	return sum / sample
}

func draw(p Profile, rng *rand.Rand, at time.Duration, n int) Job {
	j := Job{At: at, Note: fmt.Sprintf("%s-%d-%d", p.Kind, p.Seed, n)}
	j.Service, j.Team, j.DeadlineMs = string(p.Kind), p.Team, p.DeadlineMs
	if p.Impossible {
		// An id of the service is had; the body names more tasks than any job may have.
		j.Impossible = true
		j.Tasks = make([]api.Task, impossibleTasks)
		for i := range j.Tasks {
			j.Tasks[i].Kind = "impossible"
		}
		return j
	}
	for _, x := range parts(p.Kind, rng) {
		for range x.few + rng.IntN(x.many-x.few+1) {
			j.addTask(p, x, rng)
		}
	}
	return j
}

// prepEvery and cancelEvery: one canteen job in so many is a prep list, or a cancellation.
const (
	prepEvery   = 20
	cancelEvery = 6
)

func parts(k Kind, rng *rand.Rand) []part {
	if k == Publish {
		return publishParts
	}
	switch {
	case rng.IntN(prepEvery) == 0:
		return prepParts
	case rng.IntN(cancelEvery) == 0:
		return cancelParts
	}
	return orderParts
}

func (j *Job) addTask(p Profile, x part, rng *rand.Rand) {
	run := x.least + time.Duration(rng.Float64()*float64(x.most-x.least))
	if rng.Float64() < longShare {
		run = 2*time.Second + time.Duration(rng.Float64()*float64(2*time.Second))
	}
	run = run.Round(time.Millisecond)
	factor := p.EstimateFactor
	if factor == 0 {
		factor = 1
	}
	payload, err := json.Marshal(map[string]any{"run_ms": run.Milliseconds(), "note": j.Note})
	if err != nil {
		panic(err) // numbers and strings always encode
	}
	j.Runs = append(j.Runs, run)
	j.Tasks = append(j.Tasks, api.Task{
		Kind: x.kind, Payload: payload, EstimateMs: uint32(float64(run.Milliseconds()) * factor),
	})
}

// Ideal is the least time in which the job can be answered: the longer of its longest task and its work
// spread over all slots, plus one round trip.
func (j *Job) Ideal(slots int, roundTrip time.Duration) time.Duration {
	var sum time.Duration
	for _, r := range j.Runs {
		sum += r
	}
	return max(j.Longest(), sum/time.Duration(slots)) + roundTrip
}

// Longest is the run time of the longest task.
func (j *Job) Longest() time.Duration {
	var longest time.Duration
	for _, r := range j.Runs {
		longest = max(longest, r)
	}
	return longest
}

// Shift moves all arrivals by d.
func Shift(jobs []Job, d time.Duration) []Job {
	for i := range jobs {
		jobs[i].At += d
	}
	return jobs
}

// Merge puts two lists in order of arrival.
func Merge(a, b []Job) []Job {
	out := slices.Concat(a, b)
	slices.SortStableFunc(out, func(x, y Job) int { return cmp.Compare(x.At, y.At) })
	return out
}
