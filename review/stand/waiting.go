package main

import (
	"fmt"
	"net/http"
	"time"
)

// leaseTable is the table that entries read to learn of each other's jobs. The case waits for a moment soon after such a reading.
const leaseTable = "hillreel_job_leases"

// playWaiting: clients hand in kept jobs, and ask all entries how many jobs of the queue wait. With the disruption, large jobs have come at
// once before, so that the jobs wait for room.
func playWaiting(l *lab, trouble bool) (string, error) {
	const jobs, cpu = 20, 1600
	c := &client{"client-1", l.rec}
	home, asked := l.edges[0], l.edges[1]
	for since := time.Duration(0); since < time.Second || since > 2*time.Second; since = time.Since(l.store.lastRead(asked.name, leaseTable)) {
		time.Sleep(100 * time.Millisecond)
	}
	if trouble {
		room := l.size.sides * int(l.size.cpu/cpu)
		for range 2 {
			large := jobBody{Spec: work(30 * time.Second), Phases: []step{{Count: room, CPU: cpu, EstimateMs: 30000}}}
			if a := c.submit(home, newID(), large, ackBound); !a.is(http.StatusOK) {
				return "", fmt.Errorf("a large job was answered with %d", a.status)
			}
		}
	}
	var ids []string
	var last time.Time
	for range jobs {
		id := newID()
		a := c.submit(home, id, jobBody{Spec: work(200 * time.Millisecond), Phases: []step{{Count: 2, CPU: cpu, EstimateMs: 200}}}, ackBound)
		if !a.is(http.StatusOK) {
			return "", fmt.Errorf("a job was answered with %d", a.status)
		}
		ids, last = append(ids, id), a.at
	}
	time.Sleep(time.Until(last.Add(visibleBound + 2*time.Second)))
	for range 4 {
		for _, m := range l.edges {
			waiting := l.countNotBegun(ids)
			if given := c.waiting(m); given >= 0 && 2*given < waiting {
				return fmt.Sprintf("MIXED: %s gives %d as waiting %v after the last of %d jobs was accepted that have not begun",
					m.name, given, time.Since(last).Round(time.Millisecond), waiting), nil
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return "", nil
}

// countNotBegun counts the jobs of which no task has begun.
func (l *lab) countNotBegun(ids []string) int {
	n := 0
	for _, id := range ids {
		if len(l.ledger.runs(id)) == 0 {
			n++
		}
	}
	return n
}
