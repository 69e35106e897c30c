package main

import (
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The limits of the store, as in the settings of a small deployment.
const (
	txTime       = 5 * time.Millisecond
	answerTime   = 4 * time.Millisecond
	maxTxEntries = 100
	maxTxBytes   = 1_000_000
	rowBytes     = 65536
	maxPage      = 500
	writesPerSec = 800
	readsPerSec  = 2000
)

// row is a row as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part,omitempty"`
	Key     string `json:"private_key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// table is a table of rows.
type table struct {
	parts map[string]*part
	// log holds all changes, in order. changed is closed at the next one.
	log     []row
	changed chan struct{}
}

// part is one part of a table; keys lists the keys of its rows in order.
type part struct {
	rows map[string]row
	keys []string
}

// part returns a part of the table, which it creates if necessary.
func (t *table) part(name string) *part {
	if t.parts[name] == nil {
		t.parts[name] = &part{rows: make(map[string]row)}
	}
	return t.parts[name]
}

// put adds or replaces a row.
func (p *part) put(r row) {
	if i, found := slices.BinarySearch(p.keys, r.Key); !found {
		p.keys = slices.Insert(p.keys, i, r.Key)
	}
	p.rows[r.Key] = r
}

// remove removes a row and reports whether it was there.
func (p *part) remove(key string) bool {
	i, found := slices.BinarySearch(p.keys, key)
	if found {
		p.keys = slices.Delete(p.keys, i, i+1)
		delete(p.rows, key)
	}
	return found
}

// table returns a table, which it creates if necessary. The caller holds the lock.
func (s *store) table(name string) *table {
	if s.tables[name] == nil {
		s.tables[name] = &table{parts: make(map[string]*part), changed: make(chan struct{})}
	}
	return s.tables[name]
}

type txRequest struct {
	Conditions []row `json:"expected_rev"`
	Puts       []row `json:"puts"`
	Remove     []row `json:"remove"`
}

type storeAnswer struct {
	Rows    []row  `json:"rows,omitempty"`
	HasMore bool   `json:"has_more,omitempty"`
	Version uint64 `json:"ver"`
	NowMs   int64  `json:"now_ms"`
}

// store is the platform's store of rows, in memory. Each machine reaches it at an address of its own, which tells whose call it is.
type store struct {
	start time.Time
	rec   *record

	mu      sync.Mutex
	tables  map[string]*table
	version uint64
	// parts serialises the writes of each part.
	parts map[string]*sync.Mutex
	// reads holds when each machine last read a table by its whole list.
	reads map[string]time.Time
	// second, writes and readCalls count the calls of the present second.
	second            int64
	writes, readCalls int
}

func newStore(rec *record) *store {
	return &store{
		start: time.Now(), rec: rec, tables: make(map[string]*table),
		parts: make(map[string]*sync.Mutex), reads: make(map[string]time.Time),
	}
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&txRequest{Puts: []row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)}}})
}

// lastRead returns when a machine last read a table.
func (s *store) lastRead(machine, table string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[machine+" "+table]
}

// handler serves one machine.
func (s *store) handler(machine string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.gate(true, s.tx))
	mux.HandleFunc("GET /rows-get", s.gate(false, func(w http.ResponseWriter, r *http.Request) { s.get(machine, w, r) }))
	mux.HandleFunc("GET /rows-feed", s.gate(false, s.feed))
	return mux
}

// gate applies the store's limits to a call.
func (s *store) gate(writes bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		over := s.count(writes)
		s.mu.Unlock()
		if over {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if !writes {
			time.Sleep(answerTime)
		}
		next(w, r)
	}
}

// count counts a call, and reports whether it exceeds the rate. The caller holds the lock.
func (s *store) count(writes bool) bool {
	if now := time.Now().Unix(); now != s.second {
		s.second, s.writes, s.readCalls = now, 0, 0
	}
	if writes {
		s.writes++
		return s.writes > writesPerSec
	}
	s.readCalls++
	return s.readCalls > readsPerSec
}

// tx carries out a transaction if its conditions hold.
func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t txRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTxBytes)).Decode(&t); err != nil || !t.valid() {
		s.rec.add("store", "refuses a transaction that exceeds its limits")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer := s.commit(&t)
	reply(w, status, answer)
}

// valid reports whether a transaction keeps the store's limits.
func (t *txRequest) valid() bool {
	if len(t.Conditions)+len(t.Puts)+len(t.Remove) > maxTxEntries {
		return false
	}
	for _, p := range t.Puts {
		raw, err := base64.StdEncoding.DecodeString(p.Value)
		if err != nil || len(raw) > rowBytes {
			return false
		}
	}
	parts := t.partNames()
	return len(parts) == 1
}

// partNames lists the parts of a transaction.
func (t *txRequest) partNames() []string {
	var out []string
	for _, list := range [][]row{t.Conditions, t.Puts, t.Remove} {
		for _, r := range list {
			if !slices.Contains(out, r.Part) {
				out = append(out, r.Part)
			}
		}
	}
	return out
}

// commit carries out a transaction, one after the other in its part, and returns the answer.
func (s *store) commit(t *txRequest) (int, storeAnswer) {
	s.mu.Lock()
	part := t.partNames()[0]
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	turn := s.parts[part]
	s.mu.Unlock()
	turn.Lock()
	defer turn.Unlock()
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{NowMs: s.now()}
	for _, c := range t.Conditions {
		present := s.table(c.Table).part(c.Part).rows[c.Key]
		if present.Version != c.Version {
			a.Rows, a.Version = append(a.Rows, present), s.version
		}
	}
	if len(a.Rows) > 0 {
		return http.StatusPreconditionFailed, a
	}
	s.apply(t)
	a.Version = s.version
	return http.StatusOK, a
}

// apply changes the rows. The caller holds the lock.
func (s *store) apply(t *txRequest) {
	s.version++
	touched := make(map[*table]bool)
	for _, p := range t.Puts {
		p.Version, p.Removed = s.version, false
		in := s.table(p.Table)
		in.part(p.Part).put(p)
		in.log = append(in.log, p)
		touched[in] = true
	}
	for _, r := range t.Remove {
		in := s.table(r.Table)
		if !in.part(r.Part).remove(r.Key) {
			continue
		}
		in.log = append(in.log, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Removed: true})
		touched[in] = true
	}
	for in := range touched {
		close(in.changed)
		in.changed = make(chan struct{})
	}
}

func (s *store) now() int64 { return time.Since(s.start).Milliseconds() }

// get answers with rows of one part of a table.
func (s *store) get(machine string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	s.reads[machine+" "+q.Get("table")] = time.Now()
	a := storeAnswer{Version: s.version, NowMs: s.now()}
	p := s.table(q.Get("table")).part(q.Get("part"))
	i, _ := slices.BinarySearch(p.keys, q.Get("from"))
	for ; i < len(p.keys) && (q.Get("target_version") == "" || p.keys[i] < q.Get("target_version")); i++ {
		if len(a.Rows) == limit {
			a.HasMore = true
			break
		}
		a.Rows = append(a.Rows, p.rows[p.keys[i]])
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, a)
}

// feed answers with the changes of a table as soon as there are any.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after_rev"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		a, changed := s.changes(q.Get("table"), after)
		if len(a.Rows) > 0 || ctx.Err() != nil {
			reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// changes returns the changes of a table after a version, and a channel that is closed at the next change.
func (s *store) changes(name string, after uint64) (storeAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Version: s.version, NowMs: s.now()}
	t := s.table(name)
	i, _ := slices.BinarySearchFunc(t.log, after+1, func(r row, v uint64) int { return cmp.Compare(r.Version, v) })
	a.Rows = append(a.Rows, t.log[i:min(len(t.log), i+maxPage)]...)
	if i+maxPage < len(t.log) {
		a.Version = a.Rows[len(a.Rows)-1].Version
	}
	return a, t.changed
}

// reply sends an answer with a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) //nolint:errcheck // the caller has gone
}
