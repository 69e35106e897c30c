// Package platform is a small stand-in for the platform: a transactional table and a list of VMs that lags.
// It can be told to be down, to be slow, or to lose an answer after the write has taken effect. It serves
// tests and the demo only.
package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"hillreel/internal/platform/table"
	"hillreel/internal/platform/vms"
)

// Fault says how the stand-in misbehaves from now on.
type Fault struct {
	// Down: every call is answered with status 503.
	Down bool `json:"down"`
	// SlowMs delays every call, in milliseconds.
	SlowMs int `json:"slow_ms"`
	// LoseAnswers counts writes whose answer is lost after the write took effect.
	LoseAnswers int `json:"lose_answers"`
}

// Counts are the calls served so far.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

type listing struct {
	at  time.Time
	vms []vms.VM
}

// Server is the stand-in.
type Server struct {
	lag    time.Duration
	server *http.Server
	ln     net.Listener

	mu     sync.Mutex
	rows   map[string]table.Row
	fault  Fault
	counts Counts
	// history holds the list as it was, oldest first; it never is empty.
	history []listing
}

// New returns a stand-in whose list lags by lag.
func New(lag time.Duration, initial ...vms.VM) *Server {
	return &Server{lag: lag, rows: make(map[string]table.Row), history: []listing{{vms: initial}}}
}

// Start listens on address and returns the one it got.
func (s *Server) Start(address string) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "platform stand-in")
	}
	s.ln = ln
	s.server = &http.Server{Handler: s.routes(), ReadHeaderTimeout: time.Second}
	go s.server.Serve(ln) //nolint:errcheck // it ends with Stop
	return ln.Addr().String(), nil
}

// Stop ends the stand-in.
func (s *Server) Stop() { s.server.Close() }

// SetFault changes how the stand-in misbehaves.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Counts returns the calls served so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetVM adds or replaces a line of the list; it shows after the lag.
func (s *Server) SetVM(vm vms.VM) {
	s.change(func(list []vms.VM) []vms.VM {
		list = slices.DeleteFunc(list, func(x vms.VM) bool { return x.Name == vm.Name })
		return append(list, vm)
	})
}

// RemoveVM removes a line of the list; it shows after the lag.
func (s *Server) RemoveVM(name string) {
	s.change(func(list []vms.VM) []vms.VM {
		return slices.DeleteFunc(list, func(x vms.VM) bool { return x.Name == name })
	})
}

func (s *Server) change(f func([]vms.VM) []vms.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.history[len(s.history)-1].vms
	s.history = append(s.history, listing{time.Now(), f(slices.Clone(last))})
}

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(s.misbehave)
		r.Get("/v1/vms", s.serveVMs)
		r.Get("/v1/rows", s.serveList)
		r.Get("/v1/row", s.serveGet)
		r.Post("/v1/txn", s.serveTxn)
	})
	r.Put("/v1/standin/fault", s.serveFault)
	r.Put("/v1/standin/vms/{name}", s.serveSetVM)
	r.Delete("/v1/standin/vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.RemoveVM(chi.URLParam(r, "name"))
	})
	return r
}

func (s *Server) misbehave(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.fault
		s.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMs) * time.Millisecond)
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) serveVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	shown := s.history[0]
	for _, h := range s.history {
		if time.Since(h.at) >= s.lag {
			shown = h
		}
	}
	s.mu.Unlock()
	reply(w, vms.List{VMs: shown.vms})
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counts.Reads++
	row, ok := s.rows[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	reply(w, row)
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	out := table.Rows{Rows: []table.Row{}}
	s.mu.Lock()
	s.counts.Reads++
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			out.Rows = append(out.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out.Rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	reply(w, out)
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t table.Txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rows, ok, lose := s.commit(t)
	switch {
	case !ok:
		http.Error(w, "conflict", http.StatusConflict)
	case lose:
		panic(http.ErrAbortHandler)
	default:
		reply(w, table.Rows{Rows: rows})
	}
}

func (s *Server) commit(t table.Txn) (rows []table.Row, ok, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	for _, x := range t.Writes {
		if s.rows[x.Key].Version != x.If {
			return nil, false, false
		}
	}
	for _, x := range t.Writes {
		row := table.Row{Key: x.Key, Version: x.If + 1, Value: x.Value}
		s.rows[x.Key] = row
		if x.Value == nil || string(x.Value) == "null" {
			delete(s.rows, x.Key)
		}
		rows = append(rows, row)
	}
	if s.fault.LoseAnswers > 0 {
		s.fault.LoseAnswers--
		lose = true
	}
	return rows, true, lose
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
}

func (s *Server) serveSetVM(w http.ResponseWriter, r *http.Request) {
	var vm vms.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.Name = chi.URLParam(r, "name")
	s.SetVM(vm)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v) //nolint:errcheck // the caller has gone
}
