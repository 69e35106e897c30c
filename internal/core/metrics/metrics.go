// Package metrics holds the counters and latency histograms of a process and serves them by expvar.
package metrics

import (
	"expvar"
	"sync"
	"time"
)

// Counters counts events by name.
type Counters struct{ vars *expvar.Map }

// NewCounters publishes an empty set of counters under a name. A process that asks again, as one with several nodes
// does, gets the same set.
func NewCounters(name string) *Counters {
	registryMu.Lock()
	defer registryMu.Unlock()
	if v, ok := expvar.Get(name).(*expvar.Map); ok {
		return &Counters{v}
	}
	return &Counters{expvar.NewMap(name)}
}

// Add counts n events.
func (c *Counters) Add(event string, n int64) { c.vars.Add(event, n) }

// Latencies holds one histogram for each key. It is safe for use by many goroutines.
type Latencies struct {
	mu   sync.Mutex
	keys map[string]*Histogram
}

// NewLatencies returns an empty set of histograms, published under a name unless another set already is.
func NewLatencies(name string) *Latencies {
	registryMu.Lock()
	defer registryMu.Unlock()
	if l := latencySets[name]; l != nil {
		return l
	}
	l := &Latencies{keys: make(map[string]*Histogram)}
	latencySets[name] = l
	expvar.Publish(name, expvar.Func(l.report))
	return l
}

// Report publishes what f returns, under a name; of several nodes of one process the newest is reported.
func Report(name string, f func() any) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, known := reports[name]; !known {
		expvar.Publish(name, expvar.Func(func() any { return reporter(name)() }))
	}
	reports[name] = f
}

// reportOf returns what is reported under a name now.
func reporter(name string) func() any {
	registryMu.Lock()
	defer registryMu.Unlock()
	return reports[name]
}

// publishing lets one goroutine at a time look for a set and publish it; published holds the histograms by name, for processes
// with several nodes, which share them.
var (
	registryMu  sync.Mutex
	latencySets = make(map[string]*Latencies)
	// reports are the functions whose results are served, by name.
	reports = make(map[string]func() any)
)

// Record adds one time.
func (l *Latencies) Record(key string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.keys[key]
	if h == nil {
		h = NewHistogram()
		l.keys[key] = h
	}
	h.Record(d)
}

// summary is what is served of one histogram, in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// report summarises all histograms, for expvar.
func (l *Latencies) report() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]summary, len(l.keys))
	for key, h := range l.keys {
		out[key] = summary{
			Count: h.h.TotalCount(), P50: h.Percentile(50), P95: h.Percentile(95), P99: h.Percentile(99),
			Max: milliseconds(h.h.Max()),
		}
	}
	return out
}
