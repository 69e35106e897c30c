package main

import (
	"strings"
	"time"
)

// eventsOf lists the starts and ends of a job's runs, at all executors.
func (w *world) eventsOf(job string) []event {
	var out []event
	for _, x := range w.executors {
		x.mu.Lock()
		for _, e := range x.events {
			if strings.HasPrefix(e.task, job+".") {
				out = append(out, e)
			}
		}
		x.mu.Unlock()
	}
	return out
}

// lastEvent returns when a run of a job last began or ended.
func (w *world) lastEvent(job string) time.Time {
	var last time.Time
	for _, e := range w.eventsOf(job) {
		if e.at.After(last) {
			last = e.at
		}
	}
	return last
}

// countDone counts the tasks of a job that have ended done.
func (w *world) countDone(job string) int {
	done := make(map[string]bool)
	for _, e := range w.eventsOf(job) {
		if e.how == "done" {
			done[e.task] = true
		}
	}
	return len(done)
}
