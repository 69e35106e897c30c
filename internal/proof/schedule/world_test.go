package schedule

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// timing is that of the default settings.
var timing = fleet.Timing{
	Silence: 400 * time.Millisecond, Lease: 400 * time.Millisecond, StopBudget: 200 * time.Millisecond,
	KeepAlive: 100 * time.Millisecond,
}

const (
	tick        = 20 * time.Millisecond
	redial      = 100 * time.Millisecond
	callTimeout = 150 * time.Millisecond
	// resend is when a caller sends a job again after it has lost its entry.
	resend = 1300 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at.Before(e[k].at) || e[i].at.Equal(e[k].at) && e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is one schedule.
type world struct {
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	queue   events
	seq     int
	without rule.Set
	entries []*entryProc
	agents  []*agentProc
	pairs   []*pair
	jobs    map[job.ID]*submission
	order   []*submission
	// broken is the first violation.
	broken string
	// log holds what happened, for a schedule that fails.
	log    []string
	faults int
}

func newWorld(seed uint64, without rule.Set) *world {
	start := time.Unix(1_000_000, 0)
	return &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, without: without,
		jobs: make(map[job.ID]*submission),
	}
}

// after schedules do.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(max(d, 0)), w.seq, do})
}

// between draws a time.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(int64(most-least)+1))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// run lets time pass until a moment after the start, or until something is broken.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.broken == "" {
		e := heap.Pop(&w.queue).(event)
		if e.at.Sub(w.start) > until {
			heap.Push(&w.queue, e)
			break
		}
		w.now = e.at
		e.do()
	}
	if w.broken == "" {
		w.now = w.start.Add(until)
	}
}

// violate notes that something does not hold.
func (w *world) violate(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
		w.note("VIOLATED: %s", w.broken)
	}
}

func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.4f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
}
