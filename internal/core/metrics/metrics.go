// Package metrics holds the counters and latency histograms of a process and publishes them through expvar.
package metrics

import (
	"expvar"
	"sync"
	"time"
)

// Counters counts events by their names.
type Counters struct{ vars *expvar.Map }

// NewCounters returns the counters published under name, and creates them if there are none. A process with several nodes calls it once
// for each node; the nodes share the counters.
func NewCounters(name string) *Counters {
	registryMu.Lock()
	defer registryMu.Unlock()
	if v, ok := expvar.Get(name).(*expvar.Map); ok {
		return &Counters{v}
	}
	return &Counters{expvar.NewMap(name)}
}

// Add adds n to the counter of event.
func (c *Counters) Add(event string, n int64) { c.vars.Add(event, n) }

// Latencies holds one histogram for each key. It is safe for concurrent use.
type Latencies struct {
	mu   sync.Mutex
	keys map[string]*Histogram
}

// NewLatencies returns the Latencies published under name, and creates them if there are none.
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

// Report publishes the result of f under name. If several nodes of a process use the same name, the newest f is reported.
func Report(name string, f func() any) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, known := reports[name]; !known {
		expvar.Publish(name, expvar.Func(func() any { return reporter(name)() }))
	}
	reports[name] = f
}

// reporter returns the function that currently reports under name.
func reporter(name string) func() any {
	registryMu.Lock()
	defer registryMu.Unlock()
	return reports[name]
}

// registryMu guards the sets below and makes the lookup and publication of a set atomic. latencySets holds the latencies by name, so that
// the nodes of one process share them.
var (
	registryMu  sync.Mutex
	latencySets = make(map[string]*Latencies)
	// reports holds the functions given to Report, by name.
	reports = make(map[string]func() any)
)

// Record adds one time to the histogram of key.
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

// summary is the published form of a histogram, in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// report returns the summary of all histograms, for expvar.
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
