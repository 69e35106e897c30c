package breaker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/policy/breaker"
)

func TestBreaker(t *testing.T) {
	start := time.Unix(0, 0)
	for _, test := range []struct {
		name string
		do   func(b *breaker.Breaker)
		at   time.Duration
		want breaker.State
	}{
		{"fresh", func(*breaker.Breaker) {}, 0, breaker.Closed},
		{"different jobs fail", func(b *breaker.Breaker) {
			for i := range breaker.Trip {
				b.Failed(i, true, start)
			}
		}, 0, breaker.Open},
		{"one job fails often", func(b *breaker.Breaker) {
			for range 10 * breaker.Trip {
				b.Failed(1, true, start)
			}
		}, 0, breaker.Closed},
		{"jobs that fail everywhere", func(b *breaker.Breaker) {
			for i := range 10 * breaker.Trip {
				b.Failed(i, false, start)
			}
		}, 0, breaker.Closed},
		{"a success between", func(b *breaker.Breaker) {
			for i := range 10 * breaker.Trip {
				b.Failed(i, true, start)
				if i%2 == 1 {
					b.Succeeded()
				}
			}
		}, 0, breaker.Closed},
		{"pause over", func(b *breaker.Breaker) {
			for i := range breaker.Trip {
				b.Failed(i, true, start)
			}
		}, 600 * time.Millisecond, breaker.Probing},
		{"probe fails", func(b *breaker.Breaker) {
			for i := range breaker.Trip {
				b.Failed(i, true, start)
			}
			b.State(start.Add(600 * time.Millisecond))
			b.Failed(99, true, start.Add(600*time.Millisecond))
		}, 1500 * time.Millisecond, breaker.Open},
		{"probes succeed", func(b *breaker.Breaker) {
			for i := range breaker.Trip {
				b.Failed(i, true, start)
			}
			b.State(start.Add(600 * time.Millisecond))
			b.Succeeded()
			b.Succeeded()
		}, 600 * time.Millisecond, breaker.Closed},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := breaker.New()
			test.do(b)
			qt.Assert(t, b.State(start.Add(test.at)), qt.Equals, test.want)
		})
	}
}

func TestOneProbeAtATime(t *testing.T) {
	b := breaker.New()
	now := time.Unix(0, 0)
	for i := range breaker.Trip {
		b.Failed(i, true, now)
	}
	qt.Assert(t, b.Allows(now, 0), qt.IsFalse)
	now = now.Add(time.Second)
	qt.Assert(t, b.Allows(now, 0), qt.IsTrue)
	qt.Assert(t, b.Allows(now, 1), qt.IsFalse)
}
