package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"hillreel/platform/standin"
)

// The store's figures, as the sheets of the small deployments give them.
const (
	storeAnswer = 4 * time.Millisecond
	rowBytes    = 65536
)

// store is the platform's store: the project's own stand-in, with the time of an answer and the limit of a row's value. Each machine has an
// address of its own, so that the store can turn single machines away.
type store struct {
	rows *standin.Store
	rec  *recorder
	// refusedRows counts the transactions that were refused because a value was too long; longest is the length of the longest value.
	refusedRows, longest atomic.Int64
}

// gate is the address of the store for one machine.
type gate struct {
	// busy: the store answers this machine with 503. silent: it leaves the machine without an answer.
	busy, silent atomic.Bool
}

func newStore(rec *recorder) *store { return &store{rows: standin.NewStore(), rec: rec} }

// listen serves the store at an address and returns the gate there.
func (s *store) listen(address string) (*gate, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g := &gate{}
	next := s.rows.Handler()
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:errcheck // it serves until the case ends
		time.Sleep(storeAnswer)
		if g.silent.Load() {
			<-r.Context().Done()
			return
		}
		if r.Method == http.MethodPost && !s.admit(r) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if g.busy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	}))
	return g, nil
}

// admit reports whether no value of a transaction is longer than a row's limit. The limit holds for the value itself, not for its base64 form.
func (s *store) admit(r *http.Request) bool {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	var tx struct {
		Puts []struct {
			Table string `json:"table"`
			Key   string `json:"private_key"`
			Value string `json:"value"`
		} `json:"puts"`
	}
	if json.Unmarshal(raw, &tx) != nil {
		return false
	}
	for _, p := range tx.Puts {
		value, err := base64.StdEncoding.DecodeString(p.Value)
		if err != nil {
			return false
		}
		if n := int64(len(value)); n > s.longest.Load() {
			s.longest.Store(n)
		}
		if len(value) > rowBytes {
			if n := s.refusedRows.Add(1); n <= 3 {
				s.rec.printf("store: 400 to a transaction: the value of row %s/%s has %d bytes, the limit is %d", p.Table, p.Key, len(value), rowBytes)
			}
			return false
		}
	}
	return true
}
