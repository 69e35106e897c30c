package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// cases are the cases by name.
var cases = map[string]caseSpec{
	"outages":     {clusterOptions{entries: 3, agents: 11, cpu: 16000, mem: 65536, attempts: 3}, playOutages},
	"flap":        {clusterOptions{entries: 3, agents: 20, cpu: 16000, mem: 65536, attempts: 3}, playFlap},
	"turned-away": {clusterOptions{entries: 3, agents: 11, cpu: 16000, mem: 65536, attempts: 3}, playTurnedAway},
	"entry-lost":  {clusterOptions{entries: 3, agents: 11, cpu: 16000, mem: 65536, attempts: 3}, playEntryLost},
	"first-jobs":  {clusterOptions{entries: 3, agents: 11, cpu: 16000, mem: 65536, attempts: 3}, playFirstJobs},
	"cancelled":   {clusterOptions{entries: 3, agents: 11, cpu: 16000, mem: 65536, attempts: 3}, playCancelled},
	"foreign":     {clusterOptions{entries: 3, agents: 11, cpu: 16000, mem: 65536, attempts: 3}, playForeign},
	"large-job":   {clusterOptions{entries: 3, agents: 11, cpu: 16000, mem: 65536, attempts: 3}, playLargeJob},
}

// The bounds of the small deployments.
const (
	finishTime  = 14 * time.Second
	idleTime    = 3 * time.Second
	recoverTime = 12 * time.Second
	cancelTime  = 3 * time.Second
	contactTime = 3 * time.Second
	visibleTime = 3 * time.Second
	// countAge is how old the count of waiting jobs may be.
	countAge = 2 * time.Second
)

// sampleEvery is the pause between two looks of a check.
const sampleEvery = 100 * time.Millisecond

// checkIdle looks for a time at jobs that are not ended, and returns those that had nothing running for idleTime although all their waiting
// tasks could run: less than half of the service's capacity was in use.
func (c *cluster) checkIdle(ids []string, length time.Duration, cpu int64) []string {
	capacity := c.options.cpu * int64(c.options.agents)
	idleSince := make(map[string]time.Time)
	longest := make(map[string]time.Duration)
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		now := time.Now()
		inUse := int64(c.runs.totalRunning()) * cpu
		for _, id := range ids {
			_, running, _ := c.runs.ofJob(id)
			if running > 0 || 2*inUse >= capacity {
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

// playOutages: kept jobs run while all upstreams' machines lose power twice. Then each of their tasks runs by itself.
func playOutages(c *cluster, trouble bool) ([]string, error) {
	const jobs, tasks, workMs, cpu = 30, 8, 3600, 500
	var ids []string
	for i := range jobs {
		id := jobID(i)
		if s := c.submit(c.entries[i%len(c.entries)], id, keptJob(workMs, tasks, cpu, 64), false); s/100 != 2 {
			return nil, fmt.Errorf("job %s was not accepted: %d", id, s)
		}
		ids = append(ids, id)
	}
	for range 2 {
		time.Sleep(2200 * time.Millisecond)
		if trouble {
			c.powerOff(c.agents)
		}
		time.Sleep(2 * time.Second)
		if trouble {
			if err := c.powerOn(c.agents); err != nil {
				return nil, err
			}
		}
		time.Sleep(1500 * time.Millisecond)
	}
	c.rec.printf("the traffic ends")
	time.Sleep(finishTime)
	open := c.openJobs(ids)
	broken := c.checkIdle(open, 8*time.Second, cpu)
	c.openJobs(ids)
	return broken, nil
}

// playFlap: a kept job may run in one rack only, whose two upstreams go down and up together.
func playFlap(c *cluster, trouble bool) ([]string, error) {
	const period, length = 1400 * time.Millisecond, 6500 * time.Millisecond
	pair := c.agents[len(c.agents)-2:]
	job := keptJob(2500, 1, 1000, 64)
	job["phases"].([]map[string]any)[0]["constraints"] = rackOf(len(c.agents) - 1)
	id := jobID(0)
	if s := c.submit(c.entries[0], id, job, false); s/100 != 2 {
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

// playCancelled: the store leaves one entry without answers for some seconds. A client hands a job in there, gets no answer, and cancels the
// job at another entry.
func playCancelled(c *cluster, trouble bool) ([]string, error) {
	const cutTime = 7 * time.Second
	for i, m := range c.entries[:2] {
		if s := c.submit(m, jobID(100+i), keptJob(60, 1, 1000, 64), false); s/100 != 2 {
			return nil, fmt.Errorf("a job was not accepted: %d", s)
		}
	}
	time.Sleep(2 * time.Second)
	cut, other := c.entries[0], c.entries[1]
	cutAt := time.Now()
	if trouble {
		cut.gate.silent.Store(true)
		c.rec.printf("the store leaves %s without answers", cut.name)
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
	c.rec.printf("the store answers %s again", cut.name)
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

// acceptedJob is a kept job and when it was accepted.
type acceptedJob struct {
	id string
	at time.Time
}

// countWaiting returns how many of the jobs were accepted before the time that the rule leaves, and have not begun.
func (c *cluster) countWaiting(now time.Time, jobs []acceptedJob) int {
	n := 0
	for _, j := range jobs {
		if now.Sub(j.at) <= visibleTime+countAge {
			continue
		}
		if begun, _, _ := c.runs.ofJob(j.id); begun == 0 {
			n++
		}
	}
	return n
}

// checkWaiting asks some entries for the count of waiting jobs for a time, and returns the answers that are under half of the true count. An
// answer counts only if the count was too low both before and after it.
func (c *cluster) checkWaiting(entries []*machine, jobs []acceptedJob, length time.Duration) []string {
	worst := make(map[string]string)
	answers := make(map[string]int)
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(sampleEvery) {
		for _, m := range entries {
			before := c.countWaiting(time.Now(), jobs)
			got, ok := c.waiting(m)
			after := c.countWaiting(time.Now(), jobs)
			c.rec.printf("client: GET of the queue from %s: waiting %d (answered %v); %d jobs wait", m.name, got, ok, min(before, after))
			if ok && 2*got < min(before, after) {
				answers[m.name]++
				worst[m.name] = fmt.Sprintf("MIXED: %s gives %d as waiting while %d jobs wait that were accepted over visible_ms + 2 s before", m.name, got, min(before, after))
			}
		}
	}
	var broken []string
	for _, m := range entries {
		if n := answers[m.name]; n > 0 {
			broken = append(broken, fmt.Sprintf("%s (%d answers)", worst[m.name], n))
		}
	}
	return broken
}

// fill hands in kept jobs that take all room for long.
func (c *cluster) fill(m *machine, first, count int, workMs int64) error {
	for i := range count {
		id := jobID(first + i)
		if s := c.submit(m, id, keptJob(workMs, 1, c.options.cpu, 64), false); s/100 != 2 {
			return fmt.Errorf("job %s was not accepted: %d", id, s)
		}
	}
	return nil
}

// playEntryLost: an entry that holds many waiting jobs is killed, and started again two seconds later. The other entries are asked how many
// jobs wait.
func playEntryLost(c *cluster, trouble bool) ([]string, error) {
	const jobs = 500
	owner, others := c.entries[0], c.entries[1:]
	// The other entries hand jobs in too, so that all know of each other's.
	for i, m := range c.entries {
		if s := c.submit(m, jobID(10000+i), keptJob(60, 1, 1000, 64), false); s/100 != 2 {
			return nil, fmt.Errorf("a job was not accepted: %d", s)
		}
	}
	time.Sleep(11 * time.Second)
	if err := c.fill(others[0], 20000, c.options.agents, 60000); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	var accepted []acceptedJob
	for i := range jobs {
		id := jobID(i)
		if s := c.submit(owner, id, keptJob(60, 1, 1000, 64), true); s/100 != 2 {
			return nil, fmt.Errorf("job %s was not accepted: %d", id, s)
		}
		accepted = append(accepted, acceptedJob{id, time.Now()})
	}
	c.rec.printf("client: %d jobs handed in at %s, all accepted", jobs, owner.name)
	time.Sleep(visibleTime + countAge + time.Second)
	if trouble {
		c.kill(owner)
	}
	broken := c.checkWaiting(others, accepted, 2*time.Second)
	if trouble {
		if err := c.launch(owner); err != nil {
			return nil, err
		}
	}
	return append(broken, c.checkWaiting(others, accepted, 12*time.Second)...), nil
}

// playFirstJobs: the first kept jobs come while the upstreams' machines are without power, and wait. The other entries are asked how many do.
func playFirstJobs(c *cluster, trouble bool) ([]string, error) {
	const jobs = 40
	time.Sleep(9 * time.Second)
	if trouble {
		c.powerOff(c.agents)
	}
	var accepted []acceptedJob
	for i := range jobs {
		id := jobID(i)
		if s := c.submit(c.entries[0], id, keptJob(60, 2, 1600, 64), false); s/100 != 2 {
			return nil, fmt.Errorf("job %s was not accepted: %d", id, s)
		}
		accepted = append(accepted, acceptedJob{id, time.Now()})
	}
	broken := c.checkWaiting(c.entries[1:], accepted, 9*time.Second)
	if trouble {
		if err := c.powerOn(c.agents); err != nil {
			return nil, err
		}
	}
	return broken, nil
}

// playLargeJob: all upstreams' machines lose power under a large job; later, under its second step, some lose power again.
func playLargeJob(c *cluster, trouble bool) ([]string, error) {
	const first, second, workMs, cpu = 1450, 50, 3600, 100
	id := jobID(0)
	job := keptJob(workMs, first, cpu, 16)
	job["phases"] = append(job["phases"].([]map[string]any), map[string]any{
		"count": second, "cpu": cpu, "mem_mb": 16, "estimate_ms": workMs, "after_rev": []int{0},
	})
	if s := c.submit(c.entries[0], id, job, false); s/100 != 2 {
		return nil, fmt.Errorf("job %s was not accepted: %d", id, s)
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		c.powerOff(c.agents)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := c.powerOn(c.agents); err != nil {
			return nil, err
		}
	}
	c.awaitBegun(id+".0.1.", 30*time.Second)
	time.Sleep(2 * time.Second)
	if trouble {
		c.powerOff(c.agents)
		time.Sleep(2 * time.Second)
		if err := c.powerOn(c.agents); err != nil {
			return nil, err
		}
	}
	c.rec.printf("the traffic ends; the longest value of a row so far has %d bytes", c.store.longest.Load())
	time.Sleep(finishTime)
	open := c.openJobs([]string{id})
	broken := c.checkIdle(open, 8*time.Second, cpu)
	c.openJobs([]string{id})
	c.rec.printf("the store has refused %d transactions because of a value's length", c.store.refusedRows.Load())
	c.recordLaterJobs()
	return broken, nil
}

// recordLaterJobs hands small jobs in at the first entry, for the record alone.
func (c *cluster) recordLaterJobs() {
	const jobs = 12
	var group sync.WaitGroup
	var accepted atomic.Int64
	for i := range jobs {
		group.Go(func() {
			id := jobID(1000 + i)
			status, text := c.call(c.entries[0], "POST", id, keptJob(60, 1, 1000, 64), 1500*time.Millisecond)
			c.rec.printf("client: POST %s to %s: %d %s", id, c.entries[0].name, status, text)
			if status/100 == 2 {
				accepted.Add(1)
			}
		})
	}
	group.Wait()
	c.rec.printf("%d of %d later jobs were accepted by %s", accepted.Load(), jobs, c.entries[0].name)
}

// awaitBegun waits until a task whose name begins with prefix has begun, or for a time.
func (c *cluster) awaitBegun(prefix string, limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(sampleEvery) {
		if n, _, _ := c.runs.ofJob(prefix); n > 0 {
			return
		}
	}
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
		if s := c.submit(c.entries[i%len(c.entries)], id, keptJob(3000, 8, cpu, 64), false); s/100 != 2 {
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
