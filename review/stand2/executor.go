package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// executor is a stand-in for an executor (PROTOCOL.md, "Running tasks"). It starts whatever it is told.
type executor struct {
	name, address, control string
	kind                   kind
	rec                    *recorder
	server                 *http.Server
	stopped                chan struct{}

	mu         sync.Mutex
	born       time.Time
	clockStart time.Duration
	leaseUntil time.Duration
	token      uint64
	sequence   uint64
	runs       map[string]*taskRun
	// last has the highest attempt of each task that ended here or was stopped.
	last map[string]uint32
	// finished lists the ends that are not acknowledged; ends is the number of the last one. changed is closed and replaced at each end.
	finished []end
	ends     uint64
	changed  chan struct{}
	// failing: all runs that start now fail at their end.
	failing bool
	// events lists the starts and ends of all runs.
	events []event
}

// taskRun is one run.
type taskRun struct {
	task    string
	attempt uint32
	text    spec
	// begun is when the work begins, which is later than the start if a checkpoint is restored.
	begun time.Time
	// done is the work that a checkpoint has brought, work the whole work, both as times.
	done, work time.Duration
	timer      *time.Timer
}

// end is a listed end.
type end struct {
	number  uint64
	task    string
	attempt uint32
	how     string
	saved   string
}

// event is the start of a run, or its end if how is set.
type event struct {
	at   time.Time
	task string
	how  string
}

// clockRate is the rate of the executors' clocks, which may run 2% slow.
const clockRate = 0.99

// newExecutor starts an executor.
func newExecutor(name, ip, control string, k kind, rec *recorder) (*executor, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	x := &executor{
		name: name, address: ln.Addr().String(), control: control, kind: k, rec: rec, stopped: make(chan struct{}),
		born: time.Now(), clockStart: rand.N(time.Hour), runs: make(map[string]*taskRun), last: make(map[string]uint32), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", x.serve(x.start))
	mux.HandleFunc("POST /run-stop", x.serve(x.stop))
	mux.HandleFunc("POST /hold", x.serve(x.hold))
	x.server = &http.Server{Handler: mux}
	go x.server.Serve(ln) //nolint:errcheck // it serves until close
	go x.beat()
	return x, nil
}

// close ends the executor.
func (x *executor) close() {
	close(x.stopped)
	x.server.Close() //nolint:errcheck // the case is over
}

// setFailing makes all runs that start from now on fail at their end, or ends that.
func (x *executor) setFailing(failing bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.failing = failing
	x.rec.logf(x.name, "fails what it starts: %v", failing)
}

// id returns the executor's id.
func (x *executor) id() string { return "i-" + x.name }

// clock returns the executor's steady clock.
func (x *executor) clock() time.Duration {
	return x.clockStart + time.Duration(float64(time.Since(x.born))*clockRate)
}

// heartbeatRetry is the pause after a heartbeat that was not acknowledged: the agent may be starting.
const heartbeatRetry = 100 * time.Millisecond

// beat sends heartbeats until the executor is closed.
func (x *executor) beat() {
	for {
		pause := heartbeatEvery
		if !x.sendHeartbeat() {
			pause = heartbeatRetry
		}
		select {
		case <-x.stopped:
			return
		case <-time.After(pause):
		}
	}
}

// sendHeartbeat sends a heartbeat and reports whether it was acknowledged.
func (x *executor) sendHeartbeat() bool {
	x.mu.Lock()
	x.sequence++
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": x.address, "zone": zoneName, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": x.kind.room, "labels": x.kind.labels, "clock_ms": x.clock().Milliseconds(), "sequence": x.sequence,
	})
	x.mu.Unlock()
	if err != nil {
		return false
	}
	c := http.Client{Timeout: time.Second}
	res, err := c.Post("http://"+x.control+"/instances/"+x.id()+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	res.Body.Close() //nolint:errcheck // only the status counts
	return res.StatusCode/100 == 2
}

// call is the body of every call.
type call struct {
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	Spec    string `json:"spec"`
	Until   int64  `json:"deadline_ms"`
	Token   uint64 `json:"fencing_token"`
	Saved   string `json:"checkpointed"`
	Seen    uint64 `json:"seen_upto"`
	Wait    int64  `json:"wait_ms"`
}

// serve returns the handler of one kind of call. handle runs under the lock.
func (x *executor) serve(handle func(c *call, r *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		var c call
		if err != nil || json.Unmarshal(raw, &c) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		x.mu.Lock()
		status, body := http.StatusMisdirectedRequest, map[string]any{}
		switch {
		case r.Header.Get("Expect-Instance") != x.id():
		case c.Token < x.token:
			status, body["reason"] = http.StatusConflict, "fence"
		default:
			x.token = c.Token
			status, body = handle(&c, r)
		}
		body["clock_ms"] = x.clock().Milliseconds()
		x.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(body) //nolint:errcheck // the caller may have gone
	}
}

// extend extends the lease of everything that runs. The caller holds the lock.
func (x *executor) extend(ms int64) {
	until := min(time.Duration(ms)*time.Millisecond, x.clock()+longestLease)
	if until <= x.leaseUntil {
		return
	}
	x.leaseUntil = until
	time.AfterFunc(time.Duration(float64(until-x.clock())/clockRate)+time.Millisecond, x.lapse)
}

// lapse kills everything if the lease is over.
func (x *executor) lapse() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.clock() < x.leaseUntil {
		return
	}
	for _, r := range x.runs {
		x.finish(r, "lapsed")
	}
}

// start starts a run.
func (x *executor) start(c *call, _ *http.Request) (int, map[string]any) {
	if time.Duration(c.Until)*time.Millisecond <= x.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	x.extend(c.Until)
	if r := x.runs[c.Task]; r != nil && r.attempt == c.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if x.runs[c.Task] != nil || c.Attempt <= x.last[c.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	r := &taskRun{task: c.Task, attempt: c.Attempt, begun: time.Now()}
	if json.Unmarshal([]byte(c.Spec), &r.text) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	r.work = time.Duration(r.text.RunMs) * time.Millisecond
	if done, ok := readCheckpoint(c.Saved); ok {
		r.done, r.begun = done, r.begun.Add(restoreTime)
	}
	how := "done"
	if r.text.Fails || x.failing {
		how = "failed"
	}
	x.runs[c.Task] = r
	x.events = append(x.events, event{at: time.Now(), task: c.Task})
	x.rec.logf(x.name, "start %s attempt %d checkpoint %q", c.Task, c.Attempt, c.Saved)
	r.timer = time.AfterFunc(time.Until(r.begun)+r.work-r.done, func() { x.endRun(r, how) })
	return http.StatusOK, map[string]any{}
}

// stop stops a run, or prevents it.
func (x *executor) stop(c *call, _ *http.Request) (int, map[string]any) {
	x.last[c.Task] = max(x.last[c.Task], c.Attempt)
	if r := x.runs[c.Task]; r != nil && r.attempt <= c.Attempt {
		time.AfterFunc(stopTime/2, func() { x.endRun(r, "stopped") })
	}
	return http.StatusOK, map[string]any{}
}

// endRun ends a run if it is still there.
func (x *executor) endRun(r *taskRun, how string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.runs[r.task] == r {
		x.finish(r, how)
	}
}

// finish ends a run and lists its end. The caller holds the lock.
func (x *executor) finish(r *taskRun, how string) {
	r.timer.Stop()
	delete(x.runs, r.task)
	x.last[r.task] = max(x.last[r.task], r.attempt)
	saved := ""
	if how != "done" {
		saved = r.saved()
	}
	x.ends++
	x.finished = append(x.finished, end{x.ends, r.task, r.attempt, how, saved})
	x.events = append(x.events, event{time.Now(), r.task, how})
	x.rec.logf(x.name, "end %s attempt %d %s", r.task, r.attempt, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

// progress returns the work that is done. While a checkpoint is restored, that is what the checkpoint has brought.
func (r *taskRun) progress() time.Duration {
	return min(r.done+max(time.Since(r.begun), 0), r.work)
}

// saved returns the checkpoint, which is renewed with each checkpointWork: 16 digits, as in the examples on the platform's pages.
func (r *taskRun) saved() string {
	at := r.progress().Truncate(checkpointWork)
	if !r.text.Checkpoint || at == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%.8s", at.Milliseconds(), strings.ReplaceAll(r.task, ".", ""))
}

// readCheckpoint returns the work that a checkpoint brings, and whether there is one.
func readCheckpoint(text string) (time.Duration, bool) {
	var ms int64
	if _, err := fmt.Sscanf(text, "%08x", &ms); err != nil {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// listLimit is how many ends are listed at once.
const listLimit = 500

// hold extends the lease, forgets ends, and answers with what runs and what has ended.
func (x *executor) hold(c *call, r *http.Request) (int, map[string]any) {
	if c.Until > 0 {
		x.extend(c.Until)
	}
	for len(x.finished) > 0 && x.finished[0].number <= c.Seen {
		x.finished = x.finished[1:]
	}
	if len(x.finished) == 0 && c.Wait > 0 {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(c.Wait) * time.Millisecond):
		}
		x.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range x.runs {
		percent := int(100 * run.progress() / max(run.work, 1))
		running = append(running, []any{run.task, run.attempt, run.saved(), percent})
	}
	for _, e := range x.finished[:min(len(x.finished), listLimit)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}
