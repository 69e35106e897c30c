package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// idleBound is for how long a job may have nothing running once finish_s has passed.
const idleBound = 3 * time.Second

// playTakeover: the clients of one zone hand in kept jobs, at the rate of the largest zone of a small deployment, that ask for more than the
// service can do, so that most wait. With the disruption, the process of the zone's entry is killed when the traffic ends, and started again.
func playTakeover(l *lab, trouble bool) (string, error) {
	const jobs, perSecond, down = 4300, 52, time.Second
	accepted := handInMany(l, l.edges[0], jobs, time.Second/perSecond)
	l.rec.add("case", "%d of %d jobs were accepted, %d tasks run", accepted, jobs, l.countRunning())
	if trouble {
		l.restart(l.edges[0], syscall.SIGKILL, down)
	}
	trafficEnds, lastBusy := time.Now(), time.Now()
	go askWaiting(l, trafficEnds)
	for time.Since(trafficEnds) < finishBound+idleBound+time.Second {
		time.Sleep(50 * time.Millisecond)
		if l.countRunning() > 0 || time.Since(trafficEnds) < finishBound {
			lastBusy = time.Now()
		}
		if time.Since(lastBusy) >= idleBound {
			return fmt.Sprintf("LOST: from %v to %v after the end of the traffic nothing runs at any executor, and %d accepted jobs have tasks to run",
				lastBusy.Sub(trafficEnds).Round(time.Millisecond), time.Since(trafficEnds).Round(time.Millisecond), accepted-l.countEnded()), nil
		}
	}
	return "", nil
}

// manyJob is the job that PROTOCOL.md shows.
var manyJob = jobBody{Spec: `{"ms":[900,7000]}`, Phases: []step{
	{Count: 4, CPU: 500, MemMB: 256, EstimateMs: 900},
	{Count: 20, CPU: 2000, MemMB: 1024, EstimateMs: 7000, After: []int{0}, Checkpoint: true},
}}

// handInMany hands in jobs at an entry, with a pause between two of them, and returns how many were accepted.
func handInMany(l *lab, at *machine, jobs int, pause time.Duration) int {
	var group sync.WaitGroup
	var accepted atomic.Int64
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for range jobs {
		<-ticker.C
		group.Go(func() {
			c := &client{"clients", l.rec}
			if a := c.submit(at, newID(), manyJob, ackBound); a.is(http.StatusOK) {
				accepted.Add(1)
			}
		})
	}
	group.Wait()
	return int(accepted.Load())
}

// countEnded counts the jobs of manyJob all of whose tasks have ended done.
func (l *lab) countEnded() int {
	done := make(map[string]bool)
	for _, r := range l.ledger.runs("") {
		if r.how == "done" {
			done[r.task] = true
		}
	}
	tasks, ended := make(map[string]int), 0
	for t := range done {
		id, _, _ := strings.Cut(t, ".")
		tasks[id]++
		if tasks[id] == manyJob.Phases[0].Count+manyJob.Phases[1].Count {
			ended++
		}
	}
	return ended
}

// askWaiting asks an entry that is not touched for the count of the queue once a second, for the record.
func askWaiting(l *lab, trafficEnds time.Time) {
	c := &client{"client-2", l.rec}
	for time.Since(trafficEnds) < finishBound {
		c.waiting(l.edges[1])
		time.Sleep(time.Second)
	}
}

// countRunning counts the tasks that run.
func (l *lab) countRunning() int {
	l.ledger.mu.Lock()
	defer l.ledger.mu.Unlock()
	return len(l.ledger.open)
}
