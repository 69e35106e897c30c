package shares

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
)

const (
	// window is the time over which demand is averaged: shorter than callers notice a shortage, longer than the gaps between jobs.
	window = time.Second
	// maxReportAge is how long an entry's report counts. Several reports must be lost before an entry is taken to be gone.
	maxReportAge = 3 * time.Second
	// maxRoutes bounds the routes of a report, maxCores the demand on one of them. Both are far above any region's.
	maxRoutes = 1000
	maxCores  = 1e7
	// minCores is the demand below which a route is forgotten.
	minCores = 1e-4
)

// meter measures a rate as an exponential average over window.
type meter struct {
	rate float64
	at   time.Time
}

// add adds an amount at the time now.
func (m *meter) add(now time.Time, amount float64) {
	m.rate, m.at = m.level(now)+amount/window.Seconds(), now
}

// level returns the rate at the time now.
func (m *meter) level(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-max(now.Sub(m.at), 0).Seconds()/window.Seconds())
}

// routeMeters measures the demand on one route at this entry, in cores.
type routeMeters struct{ asked, refused meter }

// report is what another entry has told of its demand.
type report struct {
	at     time.Time
	routes []fleet.RouteDemand
}

// book holds the demand on this entry and what the others have told of theirs.
type book struct {
	own    map[route.Name]*routeMeters
	others map[ident.Incarnation]report
}

func newBook() book {
	return book{own: make(map[route.Name]*routeMeters), others: make(map[ident.Incarnation]report)}
}

// meters returns the meters of a route at this entry.
func (b *book) meters(r route.Name) *routeMeters {
	m := b.own[r]
	if m == nil {
		m = &routeMeters{}
		b.own[r] = m
	}
	return m
}

// expire forgets the reports that are too old and the routes that nobody asks for any more.
func (b *book) expire(now time.Time) {
	maps.DeleteFunc(b.others, func(_ ident.Incarnation, r report) bool { return now.Sub(r.at) > maxReportAge })
	maps.DeleteFunc(b.own, func(_ route.Name, m *routeMeters) bool {
		return m.asked.level(now) < minCores && m.refused.level(now) < minCores
	})
}

// ownDemand returns the demand on this entry, sorted by route.
func (b *book) ownDemand(now time.Time) []fleet.RouteDemand {
	out := make([]fleet.RouteDemand, 0, len(b.own))
	for _, name := range slices.Sorted(maps.Keys(b.own)) {
		m := b.own[name]
		out = append(out, fleet.RouteDemand{Route: name, Asked: m.asked.level(now), Refused: m.refused.level(now)})
	}
	return out[:min(len(out), maxRoutes)]
}

// CheckDemand returns an error if a report can't be true.
func CheckDemand(d fleet.Demand) error {
	if d.Entry == 0 {
		return errors.New("no entry")
	}
	if len(d.Routes) > maxRoutes {
		return errors.Errorf("%d routes, at most %d are allowed", len(d.Routes), maxRoutes)
	}
	for _, r := range d.Routes {
		if r.Route == "" {
			return errors.New("a route without a name")
		}
		if !isPlausible(r.Asked) || !isPlausible(r.Refused) {
			return errors.Errorf("route %.64q: asked %v, refused %v", r.Route, r.Asked, r.Refused)
		}
	}
	return nil
}

// isPlausible reports whether a demand is a number of cores.
func isPlausible(cores float64) bool { return cores >= 0 && cores <= maxCores } // false for NaN
