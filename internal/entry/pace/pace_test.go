package pace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/pace"
)

// upstream is an upstream of a test.
type upstream struct {
	pace   float64
	labels []job.Label
}

// newPaces returns Paces of upstreams, which belong to the agents 1, 2, ...
func newPaces(upstreams []upstream) *pace.Paces {
	p := pace.New()
	for i, u := range upstreams {
		p.Set(ident.Incarnation(i+1), u.labels, u.pace)
	}
	return p
}

// TestOf: agent 1 is asked for. The others are of kinds a and b, in racks r-1 and r-2.
func TestOf(t *testing.T) {
	a1, a2, b1, b2 := []job.Label{"a", "r-1"}, []job.Label{"a", "r-2"}, []job.Label{"b", "r-1"}, []job.Label{"b", "r-2"}
	for _, c := range []struct {
		name      string
		upstreams []upstream
		prefers   job.Label
		want      float64
		from      pace.Source
	}{
		{"alone", []upstream{{0, a1}}, "", 1, pace.All},
		{"its own pace", []upstream{{1.3, a1}, {1, a1}, {1, a1}}, "", 1.3, pace.Own},
		{"its kind's median", []upstream{{0, b1}, {0.6, a1}, {0.6, a1}, {0.6, a2}, {1.5, b2}, {1.6, b2}, {1.7, b2}}, "", 1.6, pace.Kind},
		{"none of its kind has a pace", []upstream{{0, b1}, {0.6, a2}, {0.6, a2}, {0, b2}, {0, b2}}, "", 0.6, pace.All},
		{"one of its kind has a pace", []upstream{{0, b1}, {0.6, a2}, {0.6, a2}, {1.6, b2}, {0, b2}}, "", 0.6, pace.All},
		{"its rack says less than its kind", []upstream{{0, b1}, {0.6, a1}, {0.6, a1}, {1.6, b2}, {1.6, b2}, {1.6, b2}}, "", 1.6, pace.Kind},
		{"never the rack that a step prefers", []upstream{{0, b1}, {0.6, a1}, {0.6, a1}, {0.6, a1}, {1.6, b2}, {1.6, b2}}, "r-1", 1.6, pace.Kind},
		{"a label that all have", []upstream{
			{0, []job.Label{"x", "b"}}, {0.6, []job.Label{"x", "a"}}, {0.6, []job.Label{"x", "a"}}, {1.6, []job.Label{"x", "b"}}, {1.7, []job.Label{"b", "x"}},
		}, "", 1.7, pace.Kind},
		{"no labels", []upstream{{0, nil}, {0.6, nil}, {1, nil}, {1.6, nil}}, "", 1, pace.All},
		{"paces that are none", []upstream{{0, b1}, {-1, b2}, {math.NaN(), b2}, {1.5, a1}}, "", 1.5, pace.All},
		{"the same label twice", []upstream{{0, []job.Label{"b", "b"}}, {0.6, a1}, {0.6, a1}, {1.6, []job.Label{"b", "b"}}}, "", 0.6, pace.All},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, from := newPaces(c.upstreams).Of(1, c.prefers)
			qt.Assert(t, got, qt.Equals, c.want)
			qt.Assert(t, from, qt.Equals, c.from)
		})
	}
}

// TestChanges: after any changes, paces are what they would be if only the last state of each upstream had been recorded.
func TestChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	p, last := pace.New(), make(map[ident.Incarnation]upstream)
	for range 3000 {
		id := ident.Incarnation(1 + rng.IntN(20))
		if rng.IntN(5) == 0 {
			p.Remove(id)
			delete(last, id)
			continue
		}
		u := upstream{float64(rng.IntN(4)) / 2, []job.Label{job.Label(fmt.Sprint("kind-", rng.IntN(3))), job.Label(fmt.Sprint("rack-", rng.IntN(6)))}}
		p.Set(id, u.labels, u.pace)
		last[id] = u
		fresh := pace.New()
		for id, u := range last {
			fresh.Set(id, u.labels, u.pace)
		}
		qt.Assert(t, p.Median(), qt.Equals, fresh.Median())
		for id := range last {
			got, from := p.Of(id, "")
			want, wantFrom := fresh.Of(id, "")
			qt.Assert(t, got, qt.Equals, want)
			qt.Assert(t, from, qt.Equals, wantFrom)
		}
	}
}

// TestLabelsAreCopied guards against paces that are counted under labels that their owner has changed since.
func TestLabelsAreCopied(t *testing.T) {
	labels := []job.Label{"a", "r-1"}
	p := newPaces([]upstream{{0, []job.Label{"a", "r-2"}}, {1.6, slices.Clone(labels)}, {1.6, labels}, {0.6, []job.Label{"b", "r-3"}}})
	labels[0] = "b"
	p.Remove(3)
	_, from := p.Of(1, "")
	qt.Assert(t, from, qt.Equals, pace.All)
}

// BenchmarkOf measures the estimate for an upstream without a pace in the largest region that hillreel is built for.
func BenchmarkOf(b *testing.B) {
	p := pace.New()
	for i := range 2100 {
		p.Set(ident.Incarnation(i+1), []job.Label{job.Label(fmt.Sprint("kind-", i%3)), job.Label(fmt.Sprint("rack-", i%100))}, float64(i%7)/2)
	}
	for b.Loop() {
		p.Of(1, "rack-5")
	}
}

// BenchmarkSet measures a change of a pace in such a region.
func BenchmarkSet(b *testing.B) {
	p := pace.New()
	labels := []job.Label{"kind-1", "rack-1"}
	for i := range 2100 {
		p.Set(ident.Incarnation(i+1), labels, 1+float64(i)/2100)
	}
	i := 0
	for b.Loop() {
		i++
		p.Set(1, labels, 1+float64(i%2))
	}
}
