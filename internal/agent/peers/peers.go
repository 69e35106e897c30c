// Package peers chooses the entries that an agent links to. With few entries these are all; with many, each agent links to
// some of them, so that neither messages of room nor keep-alives grow with the product of entries and agents.
package peers

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Candidate is an entry that an agent could link to.
type Candidate struct {
	Address string
	// Wanted: the entry has asked for agents of this one's service, of which it is linked to few.
	Wanted bool
	// Failing: the entry could not be reached for a while.
	Failing bool
}

// Choose returns the addresses that an agent dials: those that have asked for it, and of the others so many, in an order of
// its own, that most of them can be reached. Entries are spread over agents by the hash of both names (rendezvous hashing),
// so that an entry that comes or goes changes few choices.
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

// weight ranks an entry for an agent.
func weight(agent, address string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(agent + " " + address)) //nolint:errcheck // a hash takes everything
	// The last bytes of similar names barely reach the upper bits of this hash.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
