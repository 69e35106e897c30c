// Package upstream is a small stand-in for an upstream: an HTTP server that runs tasks by waiting. It counts
// every start, and can be told to straggle, to fail all it starts, or to cut connections. It serves tests
// and the demo only.
package upstream

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/invariant"
)

// Headers that an agent sends with each task.
const (
	HeaderJob   = "Hillreel-Job"
	HeaderIndex = "Hillreel-Index"
)

// Recorder counts the starts of all upstreams of a region and asserts that none comes twice.
type Recorder struct {
	mu     sync.Mutex
	starts map[string]int
	total  int64
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder { return &Recorder{starts: make(map[string]int)} }

// Started notes one start of a task that must not be repeated.
func (r *Recorder) Started(job, index string) {
	r.mu.Lock()
	r.starts[job+"/"+index]++
	n := r.starts[job+"/"+index]
	r.total++
	r.mu.Unlock()
	invariant.Check(n == 1, invariant.StartedOnce, func() logrus.Fields {
		return logrus.Fields{"job": job, "task": index, "starts": n}
	})
}

// Total returns all starts.
func (r *Recorder) Total() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Payload is what the stand-in understands of a task's payload.
type Payload struct {
	// RunMs is the run time in milliseconds; without it the stand-in draws one.
	RunMs *float64 `json:"run_ms,omitempty"`
	// Fail makes the task end with status 500.
	Fail bool `json:"fail,omitempty"`
	// Note comes back in the answer, so that a caller can see that the answer is its own.
	Note string `json:"note,omitempty"`
}

// Answer is what the stand-in answers.
type Answer struct {
	Job   string `json:"job"`
	Index string `json:"index"`
	Note  string `json:"note,omitempty"`
}

// Server is one stand-in.
type Server struct {
	recorder    *Recorder
	least, most time.Duration
	server      *http.Server
	ln          net.Listener
	slowBy      atomic.Uint64
	failAll     atomic.Bool
	cutAfter    atomic.Bool
	busyNs      atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a stand-in that draws run times between least and most, from seed.
func New(recorder *Recorder, least, most time.Duration, seed uint64) *Server {
	s := &Server{recorder: recorder, least: least, most: most, rng: rand.New(rand.NewPCG(seed, seed))}
	s.SetSlow(1)
	return s
}

// Start listens on address and returns the one it got.
func (s *Server) Start(address string) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "upstream stand-in")
	}
	s.ln = ln
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Second}
	go s.server.Serve(ln) //nolint:errcheck // it ends with Stop
	return ln.Addr().String(), nil
}

// Stop ends the stand-in and cuts what runs.
func (s *Server) Stop() { s.server.Close() }

// SetSlow multiplies run times from now on.
func (s *Server) SetSlow(factor float64) { s.slowBy.Store(uint64(factor * 1000)) }

// SetFailAll makes every task fail at once.
func (s *Server) SetFailAll(on bool) { s.failAll.Store(on) }

// SetCutAfterReading makes the stand-in start each task and then cut the connection without an answer.
func (s *Server) SetCutAfterReading(on bool) { s.cutAfter.Store(on) }

// Busy returns the summed run time of all tasks so far.
func (s *Server) Busy() time.Duration { return time.Duration(s.busyNs.Load()) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	job, index := r.Header.Get(HeaderJob), r.Header.Get(HeaderIndex)
	s.recorder.Started(job, index)
	if s.cutAfter.Load() {
		panic(http.ErrAbortHandler)
	}
	var p Payload
	if len(body) > 0 && json.Unmarshal(body, &p) != nil {
		http.Error(w, "payload is not JSON", http.StatusBadRequest)
		return
	}
	if s.failAll.Load() {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	run := s.runTime(p)
	s.busyNs.Add(int64(run))
	select {
	case <-time.After(run):
	case <-r.Context().Done():
		return
	}
	if p.Fail {
		http.Error(w, "told to fail", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(Answer{job, index, p.Note}) //nolint:errcheck // the agent has gone
}

func (s *Server) runTime(p Payload) time.Duration {
	slow := float64(s.slowBy.Load()) / 1000
	if p.RunMs != nil {
		return time.Duration(*p.RunMs * slow * float64(time.Millisecond))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	spread := s.rng.Float64() * float64(s.most-s.least)
	return time.Duration((float64(s.least) + spread) * slow)
}
