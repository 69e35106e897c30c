// Package cordon tracks which availability zones operators have cordoned. No upstream of a cordoned zone is given new work until the
// cordon is lifted; work that is running there continues to its end.
//
// Cordons are rows of the platform's store. A Snapshot holds all cordons of one table at one version of the store. Versions only
// grow, and a table has exactly one content at each version. A process therefore adopts the snapshot with the highest version,
// whoever sent it. If a cordon is set, lifted and set again, all processes end with the last state, in whatever order the
// snapshots arrive.
package cordon

import (
	"cmp"
	"maps"
	"slices"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/rule"
)

// Source identifies a table that holds cordons.
type Source string

// The sources. A zone is cordoned if at least one source cordons it.
const (
	// Platform: cordons that operators of the platform set.
	Platform Source = "platform"
	// Objects: cordons in objects of hillreel's own configuration.
	Objects Source = "objects"
)

// Sources lists the sources. A snapshot of each must be known before work is given to an upstream.
var Sources = []Source{Platform, Objects}

// Snapshot holds all cordons of one source at one version of the store.
type Snapshot struct {
	Source  Source
	Version rows.Version
	// Zones are the cordoned zones, sorted and without duplicates.
	Zones []ident.Zone
}

// Set holds the newest snapshots that one process knows. One goroutine uses it.
type Set struct {
	// newest holds the newest known snapshot of each source. Its version only grows.
	newest  map[Source]Snapshot
	without rule.Set
}

// NewSet returns a Set without snapshots. without disables safety rules, for experiments only.
func NewSet(without rule.Set) *Set { return &Set{make(map[Source]Snapshot), without} }

// Adopt stores a snapshot if it is newer than the known one of its source. It reports whether the cordons of the source are known
// for the first time or have changed. A snapshot that is not newer, or whose source is not in Sources, is ignored. A newer one with
// the same content only raises the version.
func (s *Set) Adopt(n Snapshot) bool {
	have, known := s.newest[n.Source]
	older := n.Version < have.Version && !s.without.Has(rule.CordonOrder)
	if !slices.Contains(Sources, n.Source) || known && (older || n.Version == have.Version) {
		return false
	}
	s.newest[n.Source] = n
	return !known || !slices.Equal(n.Zones, have.Zones)
}

// Complete reports whether a snapshot of every source is known.
func (s *Set) Complete() bool { return len(s.newest) == len(Sources) }

// Cordoned reports whether a zone is cordoned by any known snapshot.
func (s *Set) Cordoned(z ident.Zone) bool {
	for _, have := range s.newest {
		if slices.Contains(have.Zones, z) {
			return true
		}
	}
	return false
}

// Zones returns the zones that the known snapshots cordon, sorted and without duplicates.
func (s *Set) Zones() []ident.Zone {
	var out []ident.Zone
	for _, have := range s.newest {
		out = append(out, have.Zones...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Snapshots returns the known snapshots, sorted by source.
func (s *Set) Snapshots() []Snapshot {
	return slices.SortedFunc(maps.Values(s.newest), func(a, b Snapshot) int { return cmp.Compare(a.Source, b.Source) })
}
