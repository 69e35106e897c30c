package members

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/rows"
)

// maxAge is the age above which a renewal can't be true. An entry that ended earlier is still removed, only later.
const maxAge = 365 * 24 * time.Hour

// maxRemovals bounds the entries whose rows one renewal removes: each takes four entries of a transaction, which may have 100.
const maxRemovals = 20

// sighting is when rows of an entry were first seen in versions that tell no valid time of a renewal.
type sighting struct {
	entry, renewal rows.Version
	at             time.Duration
}

// findAbandoned returns the addresses of other entries that have not renewed their rows for removeAfter. Rows that tell no valid time of a
// renewal may be those of a living entry, which another program has changed: they count as abandoned once they have stayed as they are for
// that time, since a living entry would have renewed them.
func (r *Registrar) findAbandoned(read *listing) []ident.Address {
	listed := make(map[ident.Address]bool)
	for _, page := range []rows.Page{read.entries, read.renewals} {
		for _, row := range page.Rows {
			listed[ident.Address(row.Key.Name)] = true
		}
	}
	delete(listed, r.address)
	maps.DeleteFunc(r.unclear, func(a ident.Address, _ sighting) bool { return !listed[a] && read.complete })
	var out []ident.Address
	for _, a := range slices.Sorted(maps.Keys(listed)) {
		if len(out) < maxRemovals && r.isAbandoned(read, a) {
			out = append(out, a)
		}
	}
	return out
}

// isAbandoned reports whether the entry at an address has abandoned its rows.
func (r *Registrar) isAbandoned(read *listing, a ident.Address) bool {
	entry, renewed := read.entry(a), find(read.renewals, a)
	now := read.renewals.Now
	if at, ok := renewalTime(renewed, now); ok {
		delete(r.unclear, a)
		return now-at > removeAfter
	}
	seen := sighting{version(entry), version(renewed), now}
	if first, ok := r.unclear[a]; ok && first.entry == seen.entry && first.renewal == seen.renewal {
		return now-first.at > removeAfter
	}
	r.unclear[a] = seen
	return false
}

// version returns the version of a row, or zero if there is none.
func version(row *rows.Row) rows.Version {
	if row == nil {
		return 0
	}
	return row.Version
}

// renewalTime returns when an entry has renewed its rows, by the store's clock. ok is false if there is no renewal, or none that can be true.
func renewalTime(row *rows.Row, now time.Duration) (at time.Duration, ok bool) {
	if row == nil {
		return 0, false
	}
	var v renewal
	if err := json.Unmarshal(row.Value, &v); err != nil || v.AtMs > now.Milliseconds() || v.AtMs < (now-maxAge).Milliseconds() {
		return 0, false
	}
	return time.Duration(v.AtMs) * time.Millisecond, true
}
