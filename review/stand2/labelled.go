package main

import (
	"fmt"
	"strconv"
	"time"
)

// The case "labelled": an executor, the only one of its rack, fails what it starts for a while (srv_grey, errors). A kept job that needs this
// rack has one failed run there, of three that it may have. Later the executor is sound and idle, and the job has to be done.
const (
	labelledExecutors = 13
	rackSize          = 3
	greyFor           = 6500 * time.Millisecond
	labelledRunMs     = 900
)

var labelledLayout = layout{
	entries:   3,
	executors: inRacks(labelledExecutors),
	queue:     queueSettings{Attempts: 3, Stretch: 1.6, TargetMs: 60, Timeout: 1500},
}

// inRacks returns n executors, three to a rack.
func inRacks(n int) []kind {
	out := make([]kind, n)
	for i := range out {
		out[i] = kind{room: room{CPU: 16000, Mem: 65536}, labels: []string{"a", "r1-" + strconv.Itoa(i/rackSize+1)}}
	}
	return out
}

func playLabelled(w *world, trouble bool) error {
	grey := w.executors[labelledExecutors-1]
	if trouble {
		grey.setFailing(true)
	}
	id := newID()
	p := phase{Count: 1, CPU: 2000, Mem: 256, EstimateMs: labelledRunMs, Constraint: grey.kind.labels[1]}
	if a := w.clients.submit(w.entries[0], id, spec{RunMs: labelledRunMs}, p); !a.ok() {
		return fmt.Errorf("the job was not accepted: %d", a.status)
	}
	time.Sleep(greyFor)
	if trouble {
		grey.setFailing(false)
	}
	time.Sleep(finishBound)
	a := w.clients.state(w.entries[1], id)
	starts, failed, idle := 0, 0, time.Since(w.lastEvent(id))
	for _, e := range w.eventsOf(id) {
		switch e.how {
		case "":
			starts++
		case "failed":
			failed++
		}
	}
	w.rec.logf("case", "the job is shown as %q after %d starts and %d failed runs, the last %v ago", a.State, starts, failed, idle.Round(time.Millisecond))
	switch {
	case a.State == "completed", a.State == "failed" && failed >= labelledLayout.queue.Attempts:
		return nil
	case idle > idleBound:
		return brokenf("LOST: job %s is shown as %q, %d of its %d attempts has failed, and nothing of it has run for %v while its executor was sound and idle",
			id, a.State, failed, labelledLayout.queue.Attempts, idle.Round(time.Second))
	}
	return fmt.Errorf("job %s is shown as %q", id, a.State)
}
