package main

import (
	"fmt"
	"time"
)

// cases are the cases by name.
var cases = map[string]caseSpec{
	"flap":        {clusterOptions{entries: 3, agents: 20, cpu: 16000, mem: 65536, attempts: 3}, playFlap},
	"turned-away": {clusterOptions{entries: 3, agents: 11, cpu: 16000, mem: 65536, attempts: 3}, playTurnedAway},
	"cancelled":   {clusterOptions{entries: 3, agents: 11, cpu: 16000, mem: 65536, attempts: 3}, playCancelled},
	"foreign":     {clusterOptions{entries: 3, agents: 11, cpu: 16000, mem: 65536, attempts: 3}, playForeign},
	"no-estimate": {clusterOptions{entries: 3, agents: 11, cpu: 16000, mem: 65536, attempts: 3}, playNoEstimate},
}

// The bounds of the small deployments.
const (
	finishTime  = 14 * time.Second
	idleTime    = 3 * time.Second
	recoverTime = 12 * time.Second
	cancelTime  = 3 * time.Second
	contactTime = 3 * time.Second
)

// sampleEvery is the pause between two looks of a check.
const sampleEvery = 100 * time.Millisecond

// checkIdle looks for a time at jobs of some tasks each, and returns those that had nothing running for idleTime although tasks of them were left
// and could run: less than half of the service's capacity was in use, if each task that runs takes cpu.
func (c *cluster) checkIdle(ids []string, tasks int, length time.Duration, cpu int64) []string {
	capacity := c.options.cpu * int64(c.options.agents)
	idleSince := make(map[string]time.Time)
	longest := make(map[string]time.Duration)
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		now := time.Now()
		inUse := int64(c.runs.totalRunning()) * cpu
		for _, id := range ids {
			_, running, ends := c.runs.ofJob(id)
			if running > 0 || ends["done"] >= tasks || 2*inUse >= capacity {
				delete(idleSince, id)
				continue
			}
			if idleSince[id].IsZero() {
				idleSince[id] = now
			}
			longest[id] = max(longest[id], now.Sub(idleSince[id]))
		}
		time.Sleep(sampleEvery)
	}
	var broken []string
	for _, id := range ids {
		if longest[id] >= idleTime {
			broken = append(broken, fmt.Sprintf("LOST: job %s had nothing running for %.1f s while its tasks could run", id, longest[id].Seconds()))
		}
	}
	return broken
}

// openJobs asks for the states of jobs, and returns those that have not ended.
func (c *cluster) openJobs(ids []string) []string {
	var open []string
	for i, id := range ids {
		status, state := c.state(c.entries[i%len(c.entries)], id)
		begun, running, ends := c.runs.ofJob(id)
		c.rec.printf("client: GET %s: %d %s; its tasks: %d begun, %d running, ends %v", id, status, state, begun, running, ends)
		if state != "completed" && state != "failed" {
			open = append(open, id)
		}
	}
	return open
}

// playFlap: a kept job may run in one rack only, whose two upstreams go down and up together.
func playFlap(c *cluster, trouble bool) ([]string, error) {
	const period, length = 1400 * time.Millisecond, 6500 * time.Millisecond
	pair := c.agents[len(c.agents)-2:]
	job := keptJob(2500, 1, 1000, 64)
	job["phases"].([]map[string]any)[0]["constraints"] = rackOf(len(c.agents) - 1)
	id := jobID(0)
	if s := c.submit(c.entries[0], id, job); s/100 != 2 {
		return nil, fmt.Errorf("job %s was not accepted: %d", id, s)
	}
	time.Sleep(period / 2)
	for stop := time.Now().Add(length); trouble && time.Now().Before(stop); time.Sleep(period / 2) {
		for _, m := range pair {
			m.upstream.crash()
		}
		c.rec.printf("%s and %s: the executors go down", pair[0].name, pair[1].name)
		time.Sleep(period / 2)
		for _, m := range pair {
			m.upstream.restart()
		}
		c.rec.printf("%s and %s: the executors come up", pair[0].name, pair[1].name)
	}
	c.rec.printf("the executors stay up; the traffic ends")
	time.Sleep(finishTime)
	var broken []string
	for _, m := range c.entries {
		status, state := c.state(m, id)
		_, _, ends := c.runs.ofJob(id)
		c.rec.printf("client: GET %s from %s: %d %s; ends %v", id, m.name, status, state, ends)
		if state == "failed" && ends["failed"] < c.options.attempts {
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed by %s; its runs ended so: %v", id, m.name, ends))
		}
	}
	return broken, nil
}

// playTurnedAway: the store turns one entry away for some seconds and serves it again. Its clients go on to hand kept jobs in there.
func playTurnedAway(c *cluster, trouble bool) ([]string, error) {
	const jobEvery = 400 * time.Millisecond
	entry := c.entries[0]
	n := 0
	hand := func(length time.Duration, every time.Duration) (served, sent int) {
		for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(every) {
			status, text := c.call(entry, "POST", jobID(n), keptJob(60, 2, 1600, 64), 1500*time.Millisecond)
			c.rec.printf("client: POST %s to %s: %d %s", jobID(n), entry.name, status, text)
			n++
			sent++
			if status/100 == 2 {
				served++
			}
		}
		return served, sent
	}
	served, sent := hand(15*time.Second, jobEvery)
	c.rec.printf("before the disruption: %d of %d accepted", served, sent)
	if 4*served < sent {
		return nil, fmt.Errorf("too few jobs were accepted before the disruption")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		entry.gate.busy.Store(true)
		c.rec.printf("the store turns %s away with 503", entry.name)
	}
	during, sentDuring := hand(9*time.Second, jobEvery)
	c.rec.printf("during it: %d of %d accepted", during, sentDuring)
	entry.gate.busy.Store(false)
	c.rec.printf("the store serves %s again", entry.name)
	hand(recoverTime, jobEvery)
	served, sent = hand(25*time.Second, jobEvery)
	c.rec.printf("from recover_s after it: %d of %d accepted", served, sent)
	if 4*served < sent {
		return []string{fmt.Sprintf("RECOVER: of %d requests sent later than recover_s after the disruption, %d were served", sent, served)}, nil
	}
	return nil, nil
}

// playCancelled: one entry is cut off from the store for some seconds. A client hands a job in there, gets no answer, and cancels the
// job at another entry.
func playCancelled(c *cluster, trouble bool) ([]string, error) {
	const cutTime = 5500 * time.Millisecond
	for i, m := range c.entries[:2] {
		if s := c.submit(m, jobID(100+i), keptJob(60, 1, 1000, 64)); s/100 != 2 {
			return nil, fmt.Errorf("a job was not accepted: %d", s)
		}
	}
	time.Sleep(2 * time.Second)
	cut, other := c.entries[0], c.entries[1]
	cutAt := time.Now()
	if trouble {
		cut.gate.silent.Store(true)
		c.rec.printf("%s is cut off from the store", cut.name)
	}
	time.Sleep(200 * time.Millisecond)
	id := jobID(0)
	status, text := c.call(cut, "POST", id, keptJob(900, 4, 1600, 64), 1500*time.Millisecond)
	c.rec.printf("client: POST %s to %s: %d %s", id, cut.name, status, text)
	var cancelledAt time.Time
	for cancelledAt.IsZero() && time.Since(cutAt) < cutTime {
		status, text = c.call(other, "DELETE", id, nil, 1500*time.Millisecond)
		c.rec.printf("client: DELETE %s to %s: %d %s", id, other.name, status, text)
		if status/100 == 2 || status == 410 {
			cancelledAt = time.Now()
		}
		time.Sleep(500 * time.Millisecond)
	}
	if cancelledAt.IsZero() {
		c.rec.printf("the cancellation was not acknowledged")
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	cut.gate.silent.Store(false)
	healedAt := time.Now()
	c.rec.printf("%s reaches the store again", cut.name)
	time.Sleep(25 * time.Second)
	for _, m := range c.entries {
		status, state := c.state(m, id)
		c.rec.printf("client: GET %s from %s: %d %s", id, m.name, status, state)
	}
	late := 0
	for _, at := range c.runs.startsOf(id) {
		if !cancelledAt.IsZero() && at.After(cancelledAt.Add(cancelTime)) && at.After(healedAt.Add(contactTime)) {
			late++
		}
	}
	if late == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("UNASKED: %d tasks of job %s started later than cancel_ms after its cancelling was acknowledged, and contact_ms after the disruption", late, id)}, nil
}

// playForeign: a heartbeat of another writer, with fields missing, comes for one executor.
func playForeign(c *cluster, trouble bool) ([]string, error) {
	const cpu = 1000
	m := c.agents[0]
	if trouble {
		id := m.upstream.presentID()
		status, err := postHeartbeat(m.upstream.agent, id, map[string]any{
			"service": service, "state": "ready", "capacity": map[string]int64{"cpu": 64000, "mem_mb": 262144, "gpu": 0}, "clock_ms": 1, "sequence": 1000,
		})
		c.rec.printf("another writer: heartbeat of %s without address, zone, version, slots, labels and cold_left_ms: %d %v", id, status, err)
	}
	time.Sleep(2 * time.Second)
	for i := range 40 {
		id := jobID(i)
		if s := c.submit(c.entries[i%len(c.entries)], id, keptJob(3000, 8, cpu, 64)); s/100 != 2 {
			return nil, fmt.Errorf("job %s was not accepted: %d", id, s)
		}
	}
	most := 0
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(sampleEvery) {
		most = max(most, m.upstream.runCount())
	}
	c.rec.printf("%s: at most %d runs of one core each, its room is %d cores", m.name, most, c.options.cpu/cpu)
	if int64(most)*cpu > c.options.cpu {
		return []string{fmt.Sprintf("LIMIT: %s has run %d cores' worth of tasks, its capacity is %d", m.name, most, c.options.cpu/cpu)}, nil
	}
	return nil, nil
}

// playNoEstimate: among small jobs comes a large one whose client gives no estimate.
func playNoEstimate(c *cluster, trouble bool) ([]string, error) {
	const jobs, tasks, workMs, cpu = 80, 2, 200, 1600
	var ids []string
	for i := range jobs {
		if trouble && i == jobs/4 {
			large := keptJob(7000, 20, 800, 64)
			delete(large["phases"].([]map[string]any)[0], "estimate_ms")
			if s := c.submit(c.entries[0], jobID(9000), large); s/100 != 2 {
				return nil, fmt.Errorf("the large job was not accepted: %d", s)
			}
		}
		id := jobID(i)
		if s := c.submit(c.entries[i%len(c.entries)], id, keptJob(workMs, tasks, cpu, 64)); s/100 != 2 {
			return nil, fmt.Errorf("job %s was not accepted: %d", id, s)
		}
		ids = append(ids, id)
		time.Sleep(125 * time.Millisecond)
	}
	c.rec.printf("the traffic ends")
	time.Sleep(finishTime)
	open := c.openJobs(ids)
	broken := c.checkIdle(open, tasks, 8*time.Second, cpu)
	c.openJobs(append(ids, jobID(9000)))
	return broken, nil
}
