package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of an executor, as in the bounds of a small deployment.
const (
	heartbeatEvery = 1500 * time.Millisecond
	holdMax        = time.Second
	stopTime       = 20 * time.Millisecond
	leaseCheck     = 5 * time.Millisecond
	maxListed      = 500
)

// workText is the text of a job: how long the tasks of each step work, in milliseconds, and whether they checkpoint their progress. The
// last length holds for all further steps.
type workText struct {
	Ms         []int64 `json:"ms"`
	Checkpoint bool    `json:"checkpoint,omitempty"`
}

// length returns how long a task works. task is its name, ID.K.STEP.INDEX.
func (w *workText) length(task string) time.Duration {
	parts := strings.Split(task, ".")
	if len(parts) != 4 || len(w.Ms) == 0 {
		return 0
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil {
		return 0
	}
	return time.Duration(w.Ms[min(n, len(w.Ms)-1)]) * time.Millisecond
}

// checkpointEvery is checkpoint_s of a small deployment.
const checkpointEvery = 500 * time.Millisecond

// execRun is one run at an executor.
type execRun struct {
	task    string
	attempt uint32
	begun   time.Time
	length  time.Duration
	ended   bool
	// checkpoints is set if the task checkpoints its progress.
	checkpoints bool
}

// saved returns the run's newest checkpoint: a text, empty when there is none, renewed with each checkpointEvery of work.
func (r *execRun) saved() string {
	n := time.Since(r.begun) / checkpointEvery
	if !r.checkpoints || n == 0 {
		return ""
	}
	h := fnv.New32a()
	fmt.Fprint(h, r.task) //nolint:errcheck // a hash takes everything
	return fmt.Sprintf("%08x%08x", int64(n), h.Sum32())
}

// executor is one executor on a side machine. It starts whatever it is told and does not guard its capacity.
type executor struct {
	name, service, zone string
	address, control    string
	cpu                 int64
	labels              []string
	rec                 *record
	ledger              *ledger

	mu sync.Mutex
	// down is set while the machine has no power. Each life has an id and a clock of its own.
	down     bool
	life     int
	id       string
	born     time.Time
	base     time.Duration
	lease    time.Duration
	token    uint64
	sequence uint64
	runs     map[string]*execRun
	last     map[string]uint32
	finished [][]any
	lastEnd  uint64
	changed  chan struct{}
	closed   chan struct{}
}

func newExecutor(name string) *executor {
	e := &executor{name: name, changed: make(chan struct{}), closed: make(chan struct{})}
	e.beginLife()
	return e
}

// beginLife begins a life that runs nothing and has seen no token. The caller holds the lock, or is the only user.
func (e *executor) beginLife() {
	e.life++
	e.id, e.born, e.base = fmt.Sprintf("i-%s-%d", e.name, e.life), time.Now(), rand.N(time.Hour)
	e.lease, e.token, e.sequence, e.lastEnd = 0, 0, 0, 0
	e.runs, e.last, e.finished = make(map[string]*execRun), make(map[string]uint32), nil
}

// losePower ends the executor and all that runs there. It is back after the time down, as another life.
func (e *executor) losePower(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.add(e.name, "loses power for %v", down)
	for _, r := range e.runs {
		r.ended = true
		e.ledger.ended(e, r, "lost")
	}
	e.down = true
	e.wake()
	e.beginLife()
	time.AfterFunc(down, func() {
		e.mu.Lock()
		e.down, e.born = false, time.Now()
		e.mu.Unlock()
		e.beat()
	})
}

// clock returns the executor's own steady clock.
func (e *executor) clock() time.Duration { return e.base + time.Since(e.born) }

// run sends heartbeats and kills what has lost its lease, until stop is called.
func (e *executor) run() {
	beat := time.NewTicker(heartbeatEvery)
	check := time.NewTicker(leaseCheck)
	defer beat.Stop()
	defer check.Stop()
	e.beat()
	for {
		select {
		case <-e.closed:
			return
		case <-beat.C:
			go e.beat()
		case <-check.C:
			e.checkLease()
		}
	}
}

func (e *executor) stop() { close(e.closed) }

// beat sends one heartbeat.
func (e *executor) beat() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.sequence++
	body, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": e.cpu, "mem_mb": 65536, "gpu": 0}, "labels": e.labels,
		"clock_ms": e.clock().Milliseconds(), "sequence": e.sequence,
	})
	id := e.id
	e.mu.Unlock()
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	res, err := client.Post("http://"+e.control+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err == nil {
		res.Body.Close() //nolint:errcheck // nothing is read
	}
}

// wake wakes the holds that wait. The caller holds the lock.
func (e *executor) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// checkLease kills everything once the lease is over.
func (e *executor) checkLease() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.clock() < e.lease {
		return
	}
	for _, r := range e.runs {
		e.endRun(r, "lapsed")
	}
}

// endRun ends a run and lists its end. The caller holds the lock.
func (e *executor) endRun(r *execRun, how string) {
	if r.ended {
		return
	}
	r.ended = true
	if e.runs[r.task] == r {
		delete(e.runs, r.task)
	}
	e.last[r.task] = max(e.last[r.task], r.attempt)
	e.lastEnd++
	e.finished = append(e.finished, []any{e.lastEnd, r.task, r.attempt, how, r.saved()})
	e.ledger.ended(e, r, how)
	e.wake()
}

// order is the body of any call.
type order struct {
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"deadline_ms"`
	Token   uint64 `json:"fencing_token"`
	Seen    uint64 `json:"seen_upto"`
	WaitMs  int64  `json:"wait_ms"`
}

func (e *executor) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.serve(e.startRun))
	mux.HandleFunc("POST /run-stop", e.serve(e.stopRun))
	mux.HandleFunc("POST /hold", e.serve(e.hold))
	return mux
}

// serve checks the instance and the fencing token of a call before it is handled under the lock.
func (e *executor) serve(handle func(*order, *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.down {
			panic(http.ErrAbortHandler)
		}
		status, body := http.StatusMisdirectedRequest, map[string]any{}
		if r.Header.Get("Expect-Instance") == e.id {
			if o.Token < e.token {
				status, body = http.StatusConflict, map[string]any{"reason": "fence"}
			} else {
				e.token = o.Token
				status, body = handle(&o, r)
			}
		}
		body["clock_ms"] = e.clock().Milliseconds()
		reply(w, status, body)
	}
}

// extend extends the lease, by no more than the longest one.
func (e *executor) extend(untilMs int64) {
	e.lease = max(e.lease, min(time.Duration(untilMs)*time.Millisecond, e.clock()+holdMax))
}

func (e *executor) startRun(o *order, _ *http.Request) (int, map[string]any) {
	if time.Duration(o.UntilMs)*time.Millisecond <= e.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	e.extend(o.UntilMs)
	if r := e.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if o.Attempt <= e.last[o.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	var text workText
	if err := json.Unmarshal([]byte(o.Spec), &text); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	r := &execRun{task: o.Task, attempt: o.Attempt, begun: time.Now(), length: text.length(o.Task), checkpoints: text.Checkpoint}
	e.runs[o.Task] = r
	e.ledger.started(e, r)
	time.AfterFunc(r.length, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.endRun(r, "done")
	})
	return http.StatusOK, map[string]any{}
}

func (e *executor) stopRun(o *order, _ *http.Request) (int, map[string]any) {
	e.last[o.Task] = max(e.last[o.Task], o.Attempt)
	if r := e.runs[o.Task]; r != nil && r.attempt <= o.Attempt {
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.endRun(r, "stopped")
		})
	}
	return http.StatusOK, map[string]any{}
}

// hold extends the lease and answers both lists. It gives the lock away while it waits for an end.
func (e *executor) hold(o *order, r *http.Request) (int, map[string]any) {
	e.extend(o.UntilMs)
	for len(e.finished) > 0 && e.finished[0][0].(uint64) <= o.Seen {
		e.finished = e.finished[1:]
	}
	life := e.life
	if len(e.finished) == 0 && o.WaitMs > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
		e.mu.Lock()
	}
	if e.life != life {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, run := range e.runs {
		percent := min(int(100*time.Since(run.begun)/max(run.length, time.Millisecond)), 99)
		running = append(running, []any{run.task, run.attempt, run.saved(), percent, 0})
	}
	listed := slices.Clone(e.finished[:min(len(e.finished), maxListed)])
	return http.StatusOK, map[string]any{"running": running, "finished": append([][]any{}, listed...)}
}
