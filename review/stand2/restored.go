package main

import (
	"fmt"
	"time"
)

// The case "restored": among small jobs comes one of 32 tasks that checkpoint their work and can never be done (poison): each run fails at its
// end. Started again with their checkpoints, its tasks show no progress for restore_ms. The small jobs, which are sound, have to be done.
const (
	smallJobs    = 80
	smallPause   = 120 * time.Millisecond
	smallRunMs   = 200
	poisonAfter  = 12
	poisonTasks  = 32
	poisonRunMs  = 900
	restoredCPU  = 400
	restoredMem  = 64
	executorCPU  = 64000
	restoredSize = 11
	// resends is how often a client sends a job that got no answer.
	resends = 5
)

var restoredLayout = layout{
	entries:   3,
	executors: repeat(restoredSize, kind{room: room{CPU: executorCPU, Mem: 262144}, labels: []string{"a"}}),
	queue:     queueSettings{Attempts: 2, Stretch: 1.6, TargetMs: 60, Timeout: 1500},
}

func playRestored(w *world, trouble bool) error {
	var small []string
	for i := range smallJobs {
		if i == poisonAfter {
			p := phase{Count: poisonTasks, CPU: restoredCPU, Mem: restoredMem, EstimateMs: poisonRunMs, Checkpoint: true}
			if !w.submitUntilTaken(i, newID(), spec{RunMs: poisonRunMs, Checkpoint: true, Fails: trouble}, p) {
				return fmt.Errorf("the large job was not accepted")
			}
		}
		id := newID()
		if w.submitUntilTaken(i, id, spec{RunMs: smallRunMs}, phase{Count: 2, CPU: restoredCPU, Mem: restoredMem, EstimateMs: smallRunMs}) {
			small = append(small, id)
		}
		time.Sleep(smallPause)
	}
	if len(small) < smallJobs {
		return fmt.Errorf("only %d of %d jobs were accepted", len(small), smallJobs)
	}
	time.Sleep(finishBound - idleBound)
	busiest := w.busiest(idleBound)
	open, idle := 0, 0
	for _, id := range small {
		if w.clients.state(w.entries[1], id).State == "completed" {
			continue
		}
		open++
		if time.Since(w.lastEvent(id)) > idleBound {
			idle++
		}
	}
	used := busiest * restoredCPU * 100 / (executorCPU * restoredSize)
	w.rec.logf("case", "%d of %d small jobs are not shown as completed, %d have had nothing running for %v, when at most %d tasks ran (%d%% of the room)",
		open, smallJobs, idle, idleBound, busiest, used)
	switch {
	case idle > 0 && used < 50:
		return brokenf("LOST: %v after the last job was sent, %d of %d small jobs are not done, and %d of them have had nothing running for %v, when at most %d%% of the room was used",
			finishBound, open, smallJobs, idle, idleBound, used)
	case open > 0:
		return fmt.Errorf("%d jobs are not done", open)
	}
	return nil
}

// submitUntilTaken hands a job in, at one entry after the other, until one has accepted it.
func (w *world) submitUntilTaken(first int, id string, text spec, p phase) bool {
	for try := range resends {
		if w.clients.submit(w.entries[(first+try)%len(w.entries)], id, text, p).ok() {
			return true
		}
		time.Sleep(resendPause)
	}
	return false
}

// busiest returns the highest number of runs at all executors together, for a time from now.
func (w *world) busiest(wait time.Duration) int {
	most := 0
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		now := 0
		for _, x := range w.executors {
			x.mu.Lock()
			now += len(x.runs)
			x.mu.Unlock()
		}
		most = max(most, now)
	}
	return most
}
