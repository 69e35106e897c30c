package metrics

import (
	"expvar"
	"sync"
	"time"
)

// Margins records, for each time that a guarantee depends on, the worst value seen next to the promised bound. It is safe for concurrent
// use.
type Margins struct {
	mu   sync.Mutex
	keys map[string]*margin
}

// margin holds the values of one key.
type margin struct {
	promised, worst time.Duration
	count, over     int64
}

// NewMargins returns the Margins published under name, and creates them if there are none.
func NewMargins(name string) *Margins {
	registryMu.Lock()
	defer registryMu.Unlock()
	if m := marginSets[name]; m != nil {
		return m
	}
	m := &Margins{keys: make(map[string]*margin)}
	marginSets[name] = m
	expvar.Publish(name, expvar.Func(m.report))
	return m
}

// marginSets holds all Margins by name. registryMu guards it.
var marginSets = make(map[string]*Margins)

// Record records one value of key, and the bound that is promised for it.
func (m *Margins) Record(key string, seen, promised time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.keys[key]
	if current == nil {
		current = &margin{}
		m.keys[key] = current
	}
	current.promised, current.worst = promised, max(current.worst, seen)
	current.count++
	if seen > promised {
		current.over++
	}
}

// marginSummary is the published form of a margin.
type marginSummary struct {
	Count    int64   `json:"count"`
	Worst    float64 `json:"worst_ms"`
	Promised float64 `json:"promised_ms"`
	// Over is the number of values above the promised bound.
	Over int64 `json:"over"`
}

// report returns the summary of all keys, for expvar.
func (m *Margins) report() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]marginSummary, len(m.keys))
	for key, current := range m.keys {
		out[key] = marginSummary{current.count, milliseconds(current.worst.Microseconds()), milliseconds(current.promised.Microseconds()), current.over}
	}
	return out
}
