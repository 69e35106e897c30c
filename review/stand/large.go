package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playLarge: clients hand in kept jobs whose steps follow each other, and cancel them later. With the disruption, one large job with
// checkpoints has come meanwhile.
func playLarge(l *lab, trouble bool) (string, error) {
	const jobs, steps, stepTime = 24, 9, 5 * time.Second
	c := &client{"client-1", l.rec}
	home := l.edges[0]
	chain := jobBody{Spec: work(stepTime)}
	for s := range steps {
		next := step{Count: 1, CPU: 400, MemMB: 64, EstimateMs: stepTime.Milliseconds()}
		if s > 0 {
			next.After = []int{s - 1}
		}
		chain.Phases = append(chain.Phases, next)
	}
	ids := make([]string, jobs)
	for i := range jobs {
		ids[i] = newID()
		if a := c.submit(home, ids[i], chain, ackBound); !a.is(http.StatusOK) {
			return "", fmt.Errorf("a job was answered with %d", a.status)
		}
	}
	large := newID()
	if trouble {
		if err := handInLarge(l, c, large); err != nil {
			return "", err
		}
	}
	time.Sleep(22 * time.Second)
	for range 20 {
		if !trouble || l.countDone(large) == largeTasks {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	sent := time.Now()
	acks := cancelAll(l, home, ids, cancelPatience)
	if trouble {
		c.state(home, large, 2*time.Second)
		l.rec.add("case", "of the large job's tasks, %d have ended done", l.countDone(large))
	}
	return judgeCancels(l, ids, sent, acks), nil
}

// The large job: as many tasks as the users' first letter names for one job, in steps that follow each other. Its work, 90 core seconds, is
// less than what a burst of the site's largest kind of job (x 1.8 for 4 s, 115 core seconds more than usual) brings.
const (
	largeSteps    = 15
	largeWidth    = 100
	largeTasks    = largeSteps * largeWidth
	largeTaskTime = 600 * time.Millisecond
	largeTaskCPU  = 100
)

// handInLarge hands in a job of largeTasks tasks that checkpoint their progress.
func handInLarge(l *lab, c *client, id string) error {
	body := jobBody{Spec: fmt.Sprintf(`{"ms":[%d],"checkpoint":true}`, largeTaskTime.Milliseconds())}
	for s := range largeSteps {
		next := step{Count: largeWidth, CPU: largeTaskCPU, MemMB: 64, EstimateMs: largeTaskTime.Milliseconds(), Checkpoint: true}
		if s > 0 {
			next.After = []int{s - 1}
		}
		body.Phases = append(body.Phases, next)
	}
	l.rec.add("clients", "burst: a large job comes")
	if a := c.submit(l.edges[0], id, body, ackBound); !a.is(http.StatusOK) {
		return fmt.Errorf("the large job was answered with %d", a.status)
	}
	return nil
}

// cancelPatience is how long clients wait for the acknowledgement of a cancel: longer than both bounds together.
const cancelPatience = ackBound + cancelBound + 6*time.Second

// cancelAll cancels jobs at one entry, each on a connection of its own, and returns the answers once all have come or the clients' patience is
// over.
func cancelAll(l *lab, at *machine, ids []string, patience time.Duration) []answer {
	answers := make([]answer, len(ids))
	var group sync.WaitGroup
	for i, id := range ids {
		c := &client{fmt.Sprintf("client-%d", i+1), l.rec}
		group.Go(func() { answers[i] = c.cancel(at, id, patience) })
	}
	group.Wait()
	return answers
}

// judgeCancels returns how cancels that were sent at a time break UNASKED, or an empty text. It also records what Acks asks for.
func judgeCancels(l *lab, ids []string, sent time.Time, acks []answer) string {
	unacked, broken := 0, ""
	for i, a := range acks {
		from, how := a.at, fmt.Sprintf("was acknowledged with %d", a.status)
		acked := a.is(http.StatusOK) || a.is(http.StatusGone)
		if !acked || a.at.Sub(sent) > ackBound {
			unacked++
			from, how = sent.Add(ackBound), "had waited ack_ms for its acknowledgement"
		}
		for _, r := range l.ledger.runs(ids[i]) {
			if late := r.begun.Sub(from); late > cancelBound && broken == "" {
				broken = fmt.Sprintf("UNASKED: %s starts %v after the cancel of its job %s", r.task, late.Round(time.Millisecond), how)
			}
		}
	}
	l.rec.add("case", "%d of %d cancels have no 2xx or 410 after ack_ms", unacked, len(ids))
	if broken == "" && unacked >= 3 && 10*unacked > len(ids) {
		broken = fmt.Sprintf("Acks: %d of %d cancels have no 2xx or 410 after ack_ms", unacked, len(ids))
	}
	return broken
}

// countDone counts the tasks of a job that have ended done.
func (l *lab) countDone(id string) int {
	done := make(map[string]bool)
	for _, r := range l.ledger.runs(id) {
		if r.how == "done" {
			done[r.task] = true
		}
	}
	return len(done)
}
