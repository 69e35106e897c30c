package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// The outages: how many side machines lose power at once, for how long, and the time from the first outage to the second. With three entries
// and eleven side machines, eight are less than the share of 0.6 that the bench has for such an outage.
const (
	outageSize = 8
	outageDown = 1200 * time.Millisecond
	outageGap  = 6 * time.Second
)

// playOutages: clients hand in kept jobs whose tasks fit into the service all at once. With the disruption, most side machines lose power for
// a moment, and some seconds later most do so again.
func playOutages(l *lab, trouble bool) (string, error) {
	const jobs, width, cpu, taskTime = 9, 8, 2000, 7 * time.Second
	c := &client{"client-1", l.rec}
	body := jobBody{Spec: work(taskTime), Phases: []step{{Count: width, CPU: cpu, MemMB: 1024, EstimateMs: taskTime.Milliseconds()}}}
	ids := make([]string, jobs)
	for i := range jobs {
		ids[i] = newID()
		if a := c.submit(l.edges[i%len(l.edges)], ids[i], body, ackBound); !a.is(http.StatusOK) {
			return "", fmt.Errorf("a job was answered with %d", a.status)
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		l.losePower(0)
		time.Sleep(outageGap)
		l.losePower(l.size.sides - outageSize)
		time.Sleep(outageDown)
	}
	l.rec.add("case", "the machines are up, and stay so")
	time.Sleep(finishBound)
	return l.judgeIdle(ids, width, cpu), nil
}

// losePower takes the power of outageSize side machines, from the given one on: of the agents there and of the executors.
func (l *lab) losePower(from int) {
	l.rec.add("case", "%d tasks run; %d side machines lose power", l.countRunning(), outageSize)
	for i := from; i < from+outageSize; i++ {
		l.restart(l.sides[i], syscall.SIGKILL, outageDown)
		l.execs[i].losePower(outageDown)
	}
}

// judgeIdle watches jobs of one step for a little longer than idleBound. It returns which of them has nothing running for so long though it has
// tasks to run, under half of the service is in use, and so there is room for its tasks twice over.
func (l *lab) judgeIdle(ids []string, width int, cpu int64) string {
	idle := make(map[string]time.Time)
	for end := time.Now().Add(idleBound + time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		used := int64(l.countRunning()) * cpu
		for _, id := range ids {
			switch {
			case l.countRunningOf(id) > 0 || l.countDone(id) == width || 2*used >= l.size.cpu*int64(l.size.sides):
				delete(idle, id)
			case idle[id].IsZero():
				idle[id] = time.Now()
			case time.Since(idle[id]) >= idleBound:
				l.recordProgress(ids, width)
				return fmt.Sprintf("LOST: %s has nothing running for %v, %d of its %d tasks have ended done, and %d tasks of all jobs run on %d executors",
					id, idleBound, l.countDone(id), width, l.countRunning(), l.size.sides)
			}
		}
	}
	return ""
}

// recordProgress records how far each job has come.
func (l *lab) recordProgress(ids []string, width int) {
	for _, id := range ids {
		l.rec.add("case", "%s: %d of %d tasks have ended done, %d run", id, l.countDone(id), width, l.countRunningOf(id))
	}
}

// countRunningOf counts the tasks of a job that run.
func (l *lab) countRunningOf(id string) int {
	n := 0
	for _, r := range l.ledger.runs(id) {
		if r.ended.IsZero() {
			n++
		}
	}
	return n
}
