package metrics_test

import (
	"expvar"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/metrics"
)

// TestMargins checks that the worst value and the number of values above the promised bound are reported.
func TestMargins(t *testing.T) {
	for i, test := range []struct {
		name string
		seen []time.Duration
		want string
	}{
		{"within", []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 0}, `{"tick":{"count":3,"worst_ms":50,"promised_ms":50,"over":0}}`},
		{"beyond", []time.Duration{60 * time.Millisecond, time.Second, 0}, `{"tick":{"count":3,"worst_ms":1000,"promised_ms":50,"over":2}}`},
		{"none", nil, `{}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			name := fmt.Sprintf("margins%d.%d", time.Now().UnixNano(), i) // published sets can't be removed
			m := metrics.NewMargins(name)
			for _, d := range test.seen {
				m.Record("tick", d, 50*time.Millisecond)
			}
			qt.Assert(t, expvar.Get(name).String(), qt.Equals, test.want)
			qt.Assert(t, metrics.NewMargins(name), qt.Equals, m)
		})
	}
}
