package main

import (
	"fmt"
	"time"
)

// The case "restored": among jobs of the site's class adslot-check comes one that can never be done (poison): each run of its tasks fails at its
// end. Started again with their checkpoints, its tasks show no progress for restore_ms. The other jobs, which are sound, have to be done.
// Those have the class's mean size, 2 tasks of 0.2 s, and the one its largest, 8 tasks of 0.8 s, all on 1.6 cores, with two attempts.
const (
	soundJobs    = 80
	soundPause   = 120 * time.Millisecond
	soundTasks   = 2
	soundMs      = 200
	poisonAfter  = 12
	poisonTasks  = 8
	poisonMs     = 800
	restoredCPU  = 1600
	restoredMem  = 64
	executorCPU  = 16000
	restoredSize = 11
	// resends is how often a client sends a job that got no answer.
	resends = 5
)

var restoredLayout = layout{
	entries:   3,
	executors: repeat(restoredSize, kind{room: room{CPU: executorCPU, Mem: 65536}, labels: []string{"a"}}),
	queue:     queueSettings{Attempts: 2, Stretch: 1.6, TargetMs: 60, Timeout: 1500},
}

// jobOf returns the only step of a job of some tasks that take a time each.
func jobOf(tasks int, ms float64) phase {
	return phase{Count: tasks, CPU: restoredCPU, Mem: restoredMem, EstimateMs: ms, Checkpoint: true}
}

func playRestored(w *world, trouble bool) error {
	var sound []string
	text := spec{RunMs: soundMs, Checkpoint: true}
	for i := range soundJobs {
		if i == poisonAfter {
			poison := spec{RunMs: poisonMs, Checkpoint: true, Fails: trouble}
			if !w.submitUntilTaken(i, newID(), poison, jobOf(poisonTasks, poisonMs)) {
				return fmt.Errorf("the poison job was not accepted")
			}
		}
		id := newID()
		if w.submitUntilTaken(i, id, text, jobOf(soundTasks, soundMs)) {
			sound = append(sound, id)
		}
		time.Sleep(soundPause)
	}
	if len(sound) < soundJobs {
		return fmt.Errorf("only %d of %d jobs were accepted", len(sound), soundJobs)
	}
	time.Sleep(finishBound - idleBound)
	busiest := w.busiest(idleBound)
	open, idle := 0, 0
	for _, id := range sound {
		if w.clients.state(w.entries[1], id).State == "completed" {
			continue
		}
		open++
		if w.countDone(id) < soundTasks && time.Since(w.lastEvent(id)) > idleBound {
			idle++
		}
	}
	used := busiest * restoredCPU * 100 / (executorCPU * restoredSize)
	w.rec.logf("case", "%d of %d sound jobs are not shown as completed, %d have had nothing running for %v, when at most %d tasks ran (%d%% of the room)",
		open, soundJobs, idle, idleBound, busiest, used)
	switch {
	case idle > 0 && used < 50:
		return brokenf("LOST: %v after the last job was sent, %d of %d sound jobs are not done, and %d of them have had nothing running for %v, when at most %d%% of the room was used",
			finishBound, open, soundJobs, idle, idleBound, used)
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
