package metrics

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The bounds of a histogram in microseconds, 0.1 ms and 2 min, and its precision in decimal digits.
const (
	lowestUs  = 100
	highestUs = 120_000_000
	digits    = 2
)

// Histogram counts times between 0.1 ms and 2 min; times outside are counted as the nearer bound. It must be used by one goroutine only.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram { return &Histogram{hdrhistogram.New(lowestUs, highestUs, digits)} }

// Record adds one time.
func (h *Histogram) Record(d time.Duration) {
	us := min(max(d.Microseconds(), lowestUs), highestUs)
	if err := h.h.RecordValue(us); err != nil {
		panic("metrics: " + err.Error()) // can't happen: us is within the bounds
	}
}

// Percentile returns the time in milliseconds that the given percentage of the recorded times do not exceed.
func (h *Histogram) Percentile(percent float64) float64 {
	return milliseconds(h.h.ValueAtQuantile(percent))
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(us int64) float64 { return float64(us) / 1000 }
