package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The figures of upstreams, as the sheets of the small deployments give them.
const (
	heartbeatEvery = 1500 * time.Millisecond
	maxHold        = time.Second
	stopTime       = 10 * time.Millisecond
	maxListed      = 500
	maxHoldWait    = 2 * time.Second
)

// taskText is the text of a task: for how long it works.
type taskText struct {
	WorkMs int64 `json:"work_ms"`
}

// runState is a run at an upstream.
type runState struct {
	task    string
	attempt uint32
	begun   time.Time
	work    time.Duration
}

// upstream is the executor on one machine. Its lives have different ids, as on the small deployments.
type upstream struct {
	name, service, agent string
	labels               []string
	cpu, mem             int64
	log                  *runLog

	mu sync.Mutex
	// life counts the lives, from 1. down is true while the machine has no power or the process has ended.
	life       int
	down       bool
	born       time.Time
	token      uint64
	leaseUntil time.Duration
	runs       map[string]*runState
	attempts   map[string]uint32
	ends       [][]any
	lastEnd    uint64
	sequence   uint64
	changed    chan struct{}
}

// newUpstream returns an upstream that serves at an address and sends its heartbeats to an agent.
func newUpstream(name, service, address, agent string, labels []string, cpu, mem int64, log *runLog) (*upstream, error) {
	u := &upstream{name: name, service: service, agent: agent, labels: labels, cpu: cpu, mem: mem, log: log, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u.mu.Lock()
	u.beginLife()
	u.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", u.serve(u.start))
	mux.HandleFunc("POST /run-stop", u.serve(u.stop))
	mux.HandleFunc("POST /hold", u.serve(u.hold))
	go http.Serve(ln, mux) //nolint:errcheck // it serves until the case ends
	return u, nil
}

// id returns the id of the present life. The caller holds the lock.
func (u *upstream) id() string { return fmt.Sprintf("i-%s-%d", u.name, u.life) }

// clock returns the upstream's steady clock. The caller holds the lock.
func (u *upstream) clock() time.Duration { return time.Since(u.born) + time.Hour }

// beginLife begins a new life, which runs nothing and has seen no token, and sends its heartbeats. The caller holds the lock.
func (u *upstream) beginLife() {
	u.life++
	u.down, u.born, u.token, u.leaseUntil = false, time.Now(), 0, 0
	u.runs, u.attempts = make(map[string]*runState), make(map[string]uint32)
	u.ends, u.lastEnd, u.sequence = nil, 0, 0
	go u.sendHeartbeats(u.life)
}

// crash ends the present life with all that runs there.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down = true
	for _, r := range u.runs {
		u.log.end(u.name, r.task, r.attempt, "crashed")
	}
	u.runs = make(map[string]*runState)
	u.wake()
}

// restart begins the next life.
func (u *upstream) restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.beginLife()
}

// wake ends the waits of holds. The caller holds the lock.
func (u *upstream) wake() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// order is the body of every call.
type order struct {
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"deadline_ms"`
	Token   uint64 `json:"fencing_token"`
	Seen    uint64 `json:"seen_upto"`
	WaitMs  int64  `json:"wait_ms"`
}

// serve returns the handler of a call: it checks instance and token, and calls handle under the lock.
func (u *upstream) serve(handle func(o *order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, body := u.answer(&o, r.Header.Get("Expect-Instance"), handle)
		if status == 0 {
			panic(http.ErrAbortHandler) // the process has ended
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(body) //nolint:errcheck // the caller has gone
	}
}

// answer returns the answer to a call; a zero status is none.
func (u *upstream) answer(o *order, instance string, handle func(o *order) (int, map[string]any)) (int, map[string]any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	life := u.life
	status, body := http.StatusMisdirectedRequest, map[string]any{}
	switch {
	case u.down:
		return 0, nil
	case instance != "" && instance != u.id():
	case o.Token < u.token:
		status, body = http.StatusConflict, map[string]any{"reason": "fence"}
	default:
		u.token = o.Token
		status, body = handle(o)
	}
	if u.down || u.life != life {
		return 0, nil
	}
	body["clock_ms"] = u.clock().Milliseconds()
	return status, body
}

// extend extends the lease of everything that runs; it never shortens it.
func (u *upstream) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, u.clock()+maxHold)
	if until <= u.leaseUntil {
		return
	}
	u.leaseUntil = until
	life := u.life
	time.AfterFunc(until-u.clock(), func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.life != life || u.down || u.clock() < u.leaseUntil {
			return
		}
		for _, r := range u.runs {
			u.finish(r, "lapsed")
		}
	})
}

// start starts a run.
func (u *upstream) start(o *order) (int, map[string]any) {
	if time.Duration(o.UntilMs)*time.Millisecond <= u.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	u.extend(o.UntilMs)
	if r := u.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if o.Attempt <= u.attempts[o.Task] || u.runs[o.Task] != nil {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	var text taskText
	if err := json.Unmarshal([]byte(o.Spec), &text); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	r := &runState{task: o.Task, attempt: o.Attempt, begun: time.Now(), work: time.Duration(text.WorkMs) * time.Millisecond}
	u.runs[o.Task] = r
	u.log.begin(u.name, o.Task, o.Attempt)
	time.AfterFunc(r.work, func() { u.finishLater(r, "done") })
	return http.StatusOK, map[string]any{}
}

// stop stops a run, or prevents it from starting.
func (u *upstream) stop(o *order) (int, map[string]any) {
	u.attempts[o.Task] = max(u.attempts[o.Task], o.Attempt)
	if r := u.runs[o.Task]; r != nil && r.attempt <= o.Attempt {
		time.AfterFunc(stopTime, func() { u.finishLater(r, "stopped") })
	}
	return http.StatusOK, map[string]any{}
}

// finishLater is finish for callers that don't hold the lock.
func (u *upstream) finishLater(r *runState, how string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.finish(r, how)
}

// finish ends a run, unless it has ended. The caller holds the lock.
func (u *upstream) finish(r *runState, how string) {
	if u.runs[r.task] != r {
		return
	}
	delete(u.runs, r.task)
	u.attempts[r.task] = max(u.attempts[r.task], r.attempt)
	u.lastEnd++
	u.ends = append(u.ends, []any{u.lastEnd, r.task, r.attempt, how, ""})
	u.log.end(u.name, r.task, r.attempt, how)
	u.wake()
}

// hold extends the lease and lists what runs and what has ended. It gives up the lock while it waits for an end.
func (u *upstream) hold(o *order) (int, map[string]any) {
	u.extend(o.UntilMs)
	for len(u.ends) > 0 && u.ends[0][0].(uint64) <= o.Seen {
		u.ends = u.ends[1:]
	}
	if len(u.ends) == 0 && o.WaitMs > 0 {
		changed := u.changed
		u.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait)):
		}
		u.mu.Lock()
	}
	running := [][]any{}
	for _, r := range u.runs {
		percent := 100
		if r.work > 0 {
			percent = min(int(100*time.Since(r.begun)/r.work), 99)
		}
		running = append(running, []any{r.task, r.attempt, "", percent})
	}
	listed := u.ends[:min(len(u.ends), maxListed)]
	return http.StatusOK, map[string]any{"running": running, "finished": append([][]any{}, listed...)}
}

// heartbeatClient sends heartbeats; their acknowledgement counts if it comes within a second.
var heartbeatClient = &http.Client{Timeout: time.Second}

// sendHeartbeats sends the heartbeats of a life until it ends.
func (u *upstream) sendHeartbeats(life int) {
	for {
		u.mu.Lock()
		if u.life != life || u.down {
			u.mu.Unlock()
			return
		}
		u.sequence++
		id := u.id()
		raw, err := json.Marshal(map[string]any{
			"service": u.service, "address": "127.0.0.1:1", "zone": "z", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int64{"cpu": u.cpu, "mem_mb": u.mem, "gpu": 0}, "labels": u.labels,
			"clock_ms": u.clock().Milliseconds(), "sequence": u.sequence,
		})
		u.mu.Unlock()
		if err == nil {
			res, err := heartbeatClient.Post("http://"+u.agent+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(raw))
			if err == nil {
				io.Copy(io.Discard, res.Body) //nolint:errcheck // only the status counts
				res.Body.Close()              //nolint:errcheck // as above
			}
		}
		time.Sleep(heartbeatEvery)
	}
}

// runLog records the starts and ends of runs at all upstreams.
type runLog struct {
	rec *recorder

	mu sync.Mutex
	// running counts the runs of each task that run now, begun has the times of its starts, and ends how its runs have ended.
	running map[string]int
	begun   map[string][]time.Time
	ends    map[string][]string
}

func newRunLog(rec *recorder) *runLog {
	return &runLog{rec: rec, running: make(map[string]int), begun: make(map[string][]time.Time), ends: make(map[string][]string)}
}

func (l *runLog) begin(upstream, task string, attempt uint32) {
	l.mu.Lock()
	l.running[task]++
	l.begun[task] = append(l.begun[task], time.Now())
	l.mu.Unlock()
	l.rec.printf("%s: run %s/%d starts", upstream, task, attempt)
}

func (l *runLog) end(upstream, task string, attempt uint32, how string) {
	l.mu.Lock()
	l.running[task]--
	l.ends[task] = append(l.ends[task], how)
	l.mu.Unlock()
	l.rec.printf("%s: run %s/%d ends: %s", upstream, task, attempt, how)
}

// ofJob sums up the tasks of a job: how many have begun, how many run now, and how their runs ended.
func (l *runLog) ofJob(id string) (begun, running int, ends map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends = make(map[string]int)
	for task := range l.begun {
		if strings.HasPrefix(task, id) {
			begun++
			running += l.running[task]
			for _, how := range l.ends[task] {
				ends[how]++
			}
		}
	}
	return begun, running, ends
}

// startsOf returns when runs of a job have started.
func (l *runLog) startsOf(id string) (out []time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task, all := range l.begun {
		if strings.HasPrefix(task, id) {
			out = append(out, all...)
		}
	}
	return out
}

// totalRunning returns how many runs there are now.
func (l *runLog) totalRunning() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.running {
		n += r
	}
	return n
}

// presentID returns the id of the present life.
func (u *upstream) presentID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id()
}

// runCount returns how many runs there are.
func (u *upstream) runCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.runs)
}

// postHeartbeat sends a heartbeat to an agent and returns the status of the answer.
func postHeartbeat(agent, id string, body any) (int, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	res, err := heartbeatClient.Post("http://"+agent+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	return res.StatusCode, nil
}
