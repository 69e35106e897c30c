package main

import (
	"fmt"
	"time"
)

// The case "cancelled": the entry that runs a kept job is cut off from the store (core_cut), and the client cancels the job at another entry,
// which acknowledges. Later than cancel_ms after that, no task of the job may be started.
const (
	cutFor         = 4 * time.Second
	cancelDelay    = 50 * time.Millisecond
	cancelledTasks = 400
	cancelledRunMs = 200
	cancelledCPU   = 12000
	// cutAfter is when the path to the store is cut, after the job was accepted.
	cutAfter = 650 * time.Millisecond
)

var cancelledLayout = layout{
	entries:   3,
	executors: repeat(11, kind{room: room{CPU: 16000, Mem: 65536}, labels: []string{"a"}}),
	queue:     queueSettings{Attempts: 3, Stretch: 1.6, TargetMs: 60, Timeout: 1500},
}

func playCancelled(w *world, trouble bool) error {
	id := newID()
	p := phase{Count: cancelledTasks, CPU: cancelledCPU, Mem: 64, EstimateMs: cancelledRunMs}
	if a := w.clients.submit(w.entries[0], id, spec{RunMs: cancelledRunMs}, p); !a.ok() {
		return fmt.Errorf("the job was not accepted: %d", a.status)
	}
	time.Sleep(cutAfter)
	cutAt := time.Now()
	if trouble {
		w.rec.logf("network", "%s is cut off from the store", w.entries[0].name)
		w.entries[0].link.setCut(true)
	}
	time.Sleep(cancelDelay)
	if a := w.clients.cancel(w.entries[1], id); !a.ok() {
		return fmt.Errorf("the cancelling was not acknowledged: %d", a.status)
	}
	acked := time.Now()
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	if trouble {
		w.rec.logf("network", "%s reaches the store again", w.entries[0].name)
		w.entries[0].link.setCut(false)
	}
	time.Sleep(cancelBound)
	late, latest := 0, time.Duration(0)
	for _, e := range w.eventsOf(id) {
		if after := e.at.Sub(acked); e.how == "" && after > cancelBound {
			late++
			latest = max(latest, after)
		}
	}
	w.rec.logf("case", "%d tasks were started later than %v after the acknowledgement, the last %v after it", late, cancelBound, latest.Round(time.Millisecond))
	if late > 0 {
		return brokenf("UNASKED: %d tasks of job %s were started later than %v after its cancelling was acknowledged, the last %v after it",
			late, id, cancelBound, latest.Round(time.Millisecond))
	}
	return nil
}
