// Package cordon keeps which availability zones operators have cordoned: no upstream of such a zone is given new work until the
// cordon is lifted, while what runs there goes on to its end.
//
// Cordons are rows of the platform's store. What a process knows of one table is a Snapshot: all cordons in it as of one version of
// the store. That version only grows, and at one version a table has one content. So a process believes the snapshot with
// the highest version, whoever has told it: news that a cordon was asked for, lifted and asked for again are told in
// the right order however they travel.
package cordon

import (
	"cmp"
	"maps"
	"slices"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/rule"
)

// Source names a table that holds cordons.
type Source string

// The sources. A zone is cordoned while any of them says so.
const (
	// Platform: the platform's operators ask for it.
	Platform Source = "platform"
	// Objects: an object of hillreel's own configuration.
	Objects Source = "objects"
)

// Sources lists the sources that must be known before work is given to an upstream.
var Sources = []Source{Platform, Objects}

// Snapshot is all that one source says at one version of the store.
type Snapshot struct {
	Source  Source
	Version rows.Version
	// Zones are the zones that are cordoned, in order and each once.
	Zones []ident.Zone
}

// Set is what one process knows. One goroutine uses it.
type Set struct {
	// by has at most one snapshot of each source, and its version only grows.
	newest  map[Source]Snapshot
	without rule.Set
}

// NewSet returns a Set that knows nothing. without leaves out safety rules, for experiments only.
func NewSet(without rule.Set) *Set { return &Set{make(map[Source]Snapshot), without} }

// Adopt takes in a snapshot, and tells whether it was news: an older one, or one of a source that isn't known, changes nothing, and
// one that says the same is believed from its version on.
func (s *Set) Adopt(n Snapshot) bool {
	have, known := s.newest[n.Source]
	older := n.Version < have.Version && !s.without.Has(rule.CordonOrder)
	if !slices.Contains(Sources, n.Source) || known && (older || n.Version == have.Version) {
		return false
	}
	s.newest[n.Source] = n
	return !known || !slices.Equal(n.Zones, have.Zones)
}

// Known tells whether every source was heard of.
func (s *Set) Complete() bool { return len(s.newest) == len(Sources) }

// Cordoned tells whether a zone is cordoned, as far as is known.
func (s *Set) Cordoned(z ident.Zone) bool {
	for _, have := range s.newest {
		if slices.Contains(have.Zones, z) {
			return true
		}
	}
	return false
}

// Zones lists the zones that are cordoned, as far as is known, in order.
func (s *Set) Zones() []ident.Zone {
	var out []ident.Zone
	for _, have := range s.newest {
		out = append(out, have.Zones...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// All lists the snapshots in the order of their sources.
func (s *Set) Snapshots() []Snapshot {
	return slices.SortedFunc(maps.Values(s.newest), func(a, b Snapshot) int { return cmp.Compare(a.Source, b.Source) })
}
