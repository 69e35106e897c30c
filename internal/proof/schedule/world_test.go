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

// event is something that happens at a time. It holds no pointer, so that moving it in the queue costs the garbage
// collector nothing.
type event struct {
	at   time.Duration
	seq  int
	slot int
}

// events is a queue of what is to happen, the next first.
type events struct {
	queue []event
	// do holds what the events' slots stand for, free the slots that stand for nothing.
	do   []func()
	free []int
}

func (e *events) Len() int { return len(e.queue) }
func (e *events) Less(i, k int) bool {
	a, b := e.queue[i], e.queue[k]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (e *events) Swap(i, k int) { e.queue[i], e.queue[k] = e.queue[k], e.queue[i] }
func (e *events) Push(x any)    { e.queue = append(e.queue, x.(event)) }
func (e *events) Pop() any {
	last := e.queue[len(e.queue)-1]
	e.queue = e.queue[:len(e.queue)-1]
	return last
}

// put stores what an event does.
func (e *events) put(do func()) (slot int) {
	if n := len(e.free); n > 0 {
		slot = e.free[n-1]
		e.free = e.free[:n-1]
		e.do[slot] = do
		return slot
	}
	e.do = append(e.do, do)
	return len(e.do) - 1
}

// take returns what an event does, and frees its slot.
func (e *events) take(slot int) func() {
	do := e.do[slot]
	e.do[slot] = nil
	e.free = append(e.free, slot)
	return do
}

// world is one schedule.
type world struct {
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	queue   events
	seq     int
	without rule.Set
	store   *simStore
	entries []*entryProc
	agents  []*agentProc
	pairs   []*pair
	jobs    map[job.ID]*submission
	order   []*submission
	// holdBeats: heartbeats that are cut off arrive later, perhaps after their sender's end; in other worlds they are lost.
	// Every third seed has it, so that the others' schedules stay what they were when they were traced.
	holdBeats bool
	// broken is the first violation.
	broken string
	// log holds what happened, for a schedule that fails.
	log    []string
	faults int
}

func newWorld(seed uint64, without rule.Set) *world {
	start := time.Unix(1_000_000, 0)
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, without: without,
		jobs: make(map[job.ID]*submission), holdBeats: seed%3 == 0,
	}
	w.store = newSimStore(w)
	return w
}

// after schedules do.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Sub(w.start) + max(d, 0), w.seq, w.queue.put(do)})
}

// between draws a time.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(int64(most-least)+1))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// run lets time pass until a moment after the start, or until something is broken.
func (w *world) run(until time.Duration) {
	for w.queue.Len() > 0 && w.broken == "" && w.queue.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = w.start.Add(e.at)
		w.queue.take(e.slot)()
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
