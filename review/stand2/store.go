package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"hillreel/platform/standin"
)

// The times and bounds of the platform's store (SYSTEM.md, DEPLOY.md).
const (
	readTime  = 4 * time.Millisecond
	writeTime = 5 * time.Millisecond
	rowBytes  = 65536
)

// store is the project's own stand-in for the store, with the platform's times and its bound on the size of rows.
type store struct {
	*standin.Store
	address string
	rec     *recorder
}

// queueSettings is what the operator's configuration says of the only queue.
type queueSettings struct {
	Attempts int     `json:"attempts"`
	Stretch  float64 `json:"stretch"`
	TargetMs int64   `json:"target_latency_ms"`
	Timeout  int64   `json:"timeout_ms"`
}

// The only queue.
const (
	queueHost   = "jobs.example"
	queuePrefix = "/q/"
)

// newStore starts a store that holds the operator's configuration.
func newStore(rec *recorder, q queueSettings) (*store, error) {
	s := &store{Store: standin.NewStore(), rec: rec}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	route := map[string]any{
		"name": "queue", "host": queueHost, "path_prefix": queuePrefix, "service": serviceName, "priority": 1,
		"attempts": q.Attempts, "stretch": q.Stretch, "target_latency_ms": q.TargetMs, "timeout_ms": q.Timeout,
	}
	config, err := json.Marshal(map[string]any{
		"version": 1, "routes": []any{route}, "services": []any{map[string]any{"name": serviceName, "rejects_overload": false}},
		"limits": map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		return nil, err
	}
	s.Put("op", "config", config)
	go http.Serve(ln, s.limit(s.Handler())) //nolint:errcheck // it serves until the process ends
	return s, nil
}

// limit delays calls as the platform's store does, and refuses transactions with a row that is too large.
func (s *store) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			time.Sleep(readTime)
			next.ServeHTTP(w, r)
			return
		}
		time.Sleep(writeTime)
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if largest := largestRow(raw); largest > rowBytes {
			s.rec.logf("store", "400: a row of %d bytes, at most %d are allowed", largest, rowBytes)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
		next.ServeHTTP(w, r)
	})
}

// largestRow returns the size of the largest value that a transaction puts, before its encoding in base64.
func largestRow(transaction []byte) int {
	var t struct {
		Puts []struct {
			Value string `json:"value"`
		} `json:"puts"`
	}
	if json.Unmarshal(transaction, &t) != nil {
		return 0
	}
	largest := 0
	for _, p := range t.Puts {
		if value, err := base64.StdEncoding.DecodeString(p.Value); err == nil {
			largest = max(largest, len(value))
		}
	}
	return largest
}
