package metrics

import (
	"expvar"
	"sync"
	"time"
)

// Margins holds, for each time that a promise rests on, the worst that was seen beside what is promised. It is safe for use by many
// goroutines.
type Margins struct {
	mu   sync.Mutex
	keys map[string]*margin
}

// margin is what is kept of one time.
type margin struct {
	promised, worst time.Duration
	count, over     int64
}

// NewMargins returns an empty set, published under a name unless another set already is.
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

// margins are the sets by name; publishing guards them.
var marginSets = make(map[string]*Margins)

// Record adds one time to those of a key, and what is promised of it.
func (m *Margins) Record(key string, seen, promised time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	have := m.keys[key]
	if have == nil {
		have = &margin{}
		m.keys[key] = have
	}
	have.promised, have.worst = promised, max(have.worst, seen)
	have.count++
	if seen > promised {
		have.over++
	}
}

// marginSummary is what is served of one time.
type marginSummary struct {
	Count    int64   `json:"count"`
	Worst    float64 `json:"worst_ms"`
	Promised float64 `json:"promised_ms"`
	// Over counts the times beyond what is promised.
	Over int64 `json:"over"`
}

// report summarises all times, for expvar.
func (m *Margins) report() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]marginSummary, len(m.keys))
	for key, have := range m.keys {
		out[key] = marginSummary{have.count, milliseconds(have.worst.Microseconds()), milliseconds(have.promised.Microseconds()), have.over}
	}
	return out
}
