package demand_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/route"
	"hillreel/internal/entry/demand"
)

const second = time.Second

// TestSentBefore checks the classification of the last of a series of callers.
func TestSentBefore(t *testing.T) {
	repeat := func(n int, d time.Duration) (out []time.Duration) {
		for range n {
			out = append(out, d)
		}
		return out
	}
	const short, long = 200 * time.Millisecond, 1500 * time.Millisecond
	for _, test := range []struct {
		name      string
		before    []time.Duration
		objective time.Duration
		patience  time.Duration
		want      bool
	}{
		{"no jobs before", nil, short, second / 10, false},
		{"too few before", repeat(7, 2*second), short, second / 10, false},
		{"as long as usual", repeat(8, 2*second), short, 2 * second, false},
		{"two thirds of the usual time", repeat(8, 2*second), short, 1300 * time.Millisecond, false},
		{"less than that", repeat(8, 2*second), short, 1299 * time.Millisecond, true},
		{"half of the jobs were resubmitted", append(repeat(16, 2*second), repeat(16, second/2)...), short, second, true},
		{"four in five were resubmitted", append(repeat(6, 2*second), repeat(26, second/2)...), short, second / 2, false},
		{"callers wait for less time than before", append(repeat(40, 2*second), repeat(32, second)...), short, second, false},
		{"long jobs", repeat(8, 8*second), long, 2 * second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := demand.NewResendDetector()
			for _, d := range test.before {
				c.Observe("q", test.objective, d)
				c.Observe("other", test.objective, second/100)
			}
			qt.Assert(t, c.Observe("q", test.objective, test.patience), qt.Equals, test.want)
		})
	}
}

// TestShortJobAmongLong: in a queue of long jobs, a caller that waits for less time has a shorter job and has not
// resubmitted one.
func TestShortJobAmongLong(t *testing.T) {
	c := demand.NewResendDetector()
	for range 20 {
		c.Observe("q", 2*second, 8*second)
	}
	qt.Assert(t, c.Observe("q", second, 3*second), qt.IsFalse)
}

// TestPressure: the level is proportional to the fraction of recently refused jobs up to one tenth, and decays with time.
func TestPressure(t *testing.T) {
	for _, test := range []struct {
		name              string
		complete, refused int
		later             time.Duration
		least, most       float64
	}{
		{"no jobs", 0, 0, 0, 0, 0},
		{"none refused", 100, 0, 0, 0, 0},
		{"one refused after a quiet time", 4, 1, 0, 0.9, 1},
		{"one in fifty", 98, 2, 0, 0.15, 0.2},
		{"one in ten", 180, 20, 0, 0.95, 1},
		{"half", 50, 50, 0, 1, 1},
		{"half, a while ago", 50, 50, 30 * second, 0, 0.01},
	} {
		t.Run(test.name, func(t *testing.T) {
			var p demand.Pressure
			now := time.Unix(1000, 0)
			for range test.complete {
				p.Record(now, false)
			}
			for range test.refused {
				p.Record(now, true)
			}
			got := p.Level(now.Add(test.later))
			qt.Assert(t, got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("%.3f", got))
		})
	}
}

// BenchmarkObserve measures the check that an entry makes for each job.
func BenchmarkObserve(b *testing.B) {
	c := demand.NewResendDetector()
	n := 0
	for b.Loop() {
		n++
		c.Observe(route.Name("q"), second/5, time.Duration(n*7919%2000)*time.Millisecond)
	}
}
