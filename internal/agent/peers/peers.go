// Package peers chooses the entries that an agent links to. If there are few entries, the agent links to all of them; if there are many, to
// a subset, so that the number of room messages and keep-alives does not grow with the product of entries and agents.
package peers

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Candidate is an entry to which an agent could link.
type Candidate struct {
	Address string
	// Wanted: the entry has asked for agents of this service, because it is linked to few of them.
	Wanted bool
	// Failing: the entry has been unreachable for a while.
	Failing bool
}

// Choose returns the addresses that an agent dials. It chooses all entries that have asked for the agent, and further entries until the
// number of chosen entries that are not failing reaches most. Entries are ranked for each agent by a hash of both names (rendezvous
// hashing), so that an entry that joins or leaves changes few choices.
func Choose(agent string, most int, all []Candidate) map[string]bool {
	ranked := slices.Clone(all)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(weight(agent, b.Address), weight(agent, a.Address)), cmp.Compare(a.Address, b.Address))
	})
	chosen := make(map[string]bool)
	reached := 0
	for _, c := range ranked {
		if !c.Wanted && reached >= most {
			continue
		}
		chosen[c.Address] = true
		if !c.Failing {
			reached++
		}
	}
	return chosen
}

// weight returns the rank of an entry for an agent; higher comes first.
func weight(agent, address string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(agent + " " + address)) //nolint:errcheck // a hash never returns an error
	// FNV hardly mixes the last bytes of similar names into the upper bits, so they are mixed in here.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
