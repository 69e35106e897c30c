package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of a small deployment that the cases check.
const (
	cancelBound  = 3 * time.Second
	ackBound     = 4 * time.Second
	visibleBound = 3 * time.Second
	finishBound  = 14 * time.Second
)

// playCancel: clients hand in best-effort jobs of two steps and cancel them while the first step works. With the disruption, the clients
// have moved to another zone meanwhile: the connections on which their jobs wait stay, new ones go to the entry of the new zone.
func playCancel(l *lab, trouble bool) (string, error) {
	const clients, stepTime = 5, 4500 * time.Millisecond
	job := jobBody{Spec: work(stepTime), BestEffort: true, Phases: []step{
		{Count: 2, CPU: 1600, MemMB: 64, EstimateMs: stepTime.Milliseconds()},
		{Count: 2, CPU: 1600, MemMB: 64, EstimateMs: stepTime.Milliseconds(), After: []int{0}},
	}}
	home, to := l.edges[0], l.edges[0]
	var posts sync.WaitGroup
	ids := make([]string, clients)
	for i := range clients {
		ids[i] = newID()
		c := &client{fmt.Sprintf("client-%d", i+1), l.rec}
		posts.Go(func() { c.submit(home, ids[i], job, 15*time.Second) })
	}
	if !l.awaitRunning(2*clients, 5*time.Second) {
		return "", fmt.Errorf("%d tasks of the first steps run, want %d", l.countRunning(), 2*clients)
	}
	if trouble {
		to = l.edges[1]
		l.rec.add("clients", "shift: they move from the zone of %s to that of %s; open connections stay", home.name, to.name)
	}
	time.Sleep(500 * time.Millisecond)
	cancels := cancelAll(l, to, ids, ackBound)
	posts.Wait()
	time.Sleep(time.Second)
	for i, a := range cancels {
		if !a.is(http.StatusOK) && !a.is(http.StatusGone) {
			return "", fmt.Errorf("the cancel of %s was answered with %d", ids[i], a.status)
		}
		for _, r := range l.ledger.runs(ids[i]) {
			if late := r.begun.Sub(a.at); late > cancelBound {
				return fmt.Sprintf("UNASKED: %s starts %v after the cancel of its job was acknowledged with %d", r.task, late.Round(time.Millisecond), a.status), nil
			}
		}
	}
	return "", nil
}

// awaitRunning waits until a number of tasks run, for at most a time, and reports whether they do.
func (l *lab) awaitRunning(tasks int, patience time.Duration) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if l.countRunning() >= tasks {
			return true
		}
	}
	return false
}
