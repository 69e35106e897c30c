// Package members lets hillreel's processes find the entries: each entry keeps a row in the platform's store, and
// everybody follows that table. Links tell who is alive, the table only where to look.
//
// Each entry also renews a row of a second table, which nobody follows: a renewal would otherwise wake every
// process of the region (90 calls a second with 10 entries and 62 agents). It tells which rows were left behind.
package members

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/follow"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rows"
)

// The tables, by link address.
const (
	// Table is followed: it changes only when an entry comes or goes.
	Table rows.Table = "hillreel_entries"
	// renewals holds when each entry was last there.
	renewals rows.Table = "hillreel_entry_renewals"
)

// Entry is the value of an entry's row.
type Entry struct {
	Name        string     `json:"name"`
	Incarnation string     `json:"incarnation"`
	Zone        ident.Zone `json:"zone"`
	// Wants are services of whose upstreams the entry is linked to few, while agents link to a part of the entries only.
	Wants []ident.Service `json:"wants,omitempty"`
}

// Directory is the list of entries as the store has it.
type Directory struct {
	onChange func([]fleet.Entry)
	log      *logrus.Entry

	mu  sync.Mutex
	all map[ident.Address]fleet.Entry
}

// NewDirectory returns an empty Directory; changed is called with all entries each time one comes, goes or changes.
func NewDirectory(changed func([]fleet.Entry), log *logrus.Entry) *Directory {
	return &Directory{onChange: changed, log: log, all: make(map[ident.Address]fleet.Entry)}
}

// Len returns how many entries are listed.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.all)
}

const (
	// gatherEach is for how long changes of the list are gathered, for each entry in it. Where a whole region starts, all entries come
	// within a second, and each of their rows would else wake all processes.
	batchDelayPerEntry = 3 * time.Millisecond
	// gatherMost bounds it: an entry that has just started gets no work before agents have heard of it.
	maxBatchDelay = 2 * time.Second
)

// Gather is for how long a process gathers changes of the list before it reads them.
func (d *Directory) BatchDelay() time.Duration {
	return min(time.Duration(d.Len())*batchDelayPerEntry, maxBatchDelay)
}

// Change takes in changes of the table; it is a follow.Change.
func (d *Directory) HandleChanges(c follow.Changes) {
	d.mu.Lock()
	if c.Complete {
		clear(d.all)
	}
	for _, r := range c.Rows {
		address := ident.Address(r.Key.Name)
		if r.Removed {
			delete(d.all, address)
			continue
		}
		if _, err := netip.ParseAddrPort(string(address)); err != nil {
			d.log.WithFields(logrus.Fields{"link": address, "error": err.Error()}).Warn("member_unreadable")
			continue // somebody else's row
		}
		var e Entry
		if err := json.Unmarshal(r.Value, &e); err != nil {
			// The address is in the name, so that agents find the entry all the same.
			d.log.WithFields(logrus.Fields{"link": address, "error": err.Error()}).Warn("member_unreadable")
		}
		d.all[address] = fleet.Entry{Address: address, Wants: e.Wants}
	}
	live := slices.SortedFunc(maps.Values(d.all), func(a, b fleet.Entry) int { return cmp.Compare(a.Address, b.Address) })
	d.mu.Unlock()
	d.onChange(live)
}
