package main

import (
	"strings"
	"sync"
	"time"
)

// runEvent is the start of a run, and its end if it has ended.
type runEvent struct {
	executor     string
	task         string
	attempt      uint32
	begun, ended time.Time
	how          string
}

// ledger holds all runs of all executors; open has those that have not ended.
type ledger struct {
	rec  *record
	mu   sync.Mutex
	all  []*runEvent
	open map[*execRun]*runEvent
}

func newLedger(rec *record) *ledger { return &ledger{rec: rec, open: make(map[*execRun]*runEvent)} }

func (g *ledger) started(e *executor, r *execRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ev := &runEvent{executor: e.name, task: r.task, attempt: r.attempt, begun: r.begun}
	g.all = append(g.all, ev)
	g.open[r] = ev
	g.rec.add(e.name, "starts %s run %d", r.task, r.attempt)
}

func (g *ledger) ended(e *executor, r *execRun, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ev := g.open[r]; ev != nil {
		ev.ended, ev.how = time.Now(), how
		delete(g.open, r)
	}
	g.rec.add(e.name, "ends %s run %d: %s", r.task, r.attempt, how)
}

// runs returns copies of the runs of a job; of all jobs if id is empty.
func (g *ledger) runs(id string) []runEvent {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []runEvent
	for _, ev := range g.all {
		if strings.HasPrefix(ev.task, id) {
			out = append(out, *ev)
		}
	}
	return out
}
