// Package members lets hillreel's processes discover the entries. Each entry keeps a row in the platform's store, and every process follows
// that table. The table only gives the entries' addresses; the links show which of them are alive.
//
// Each entry also renews a row in a second table, from which the other entries see which rows are abandoned. No process follows the second
// table, because each renewal would wake every process of the region (90 calls a second with 10 entries and 62 agents).
package members

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/follow"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rows"
)

// The tables' rows are named by the entries' link addresses.
const (
	// Table lists the entries. Processes follow it; it changes only when an entry starts, stops or changes its Wants.
	Table rows.Table = "hillreel_entries"
	// renewals holds when each entry last renewed its row.
	renewals rows.Table = "hillreel_entry_renewals"
)

// Entry is the value of an entry's row.
type Entry struct {
	Name        string     `json:"name"`
	Incarnation string     `json:"incarnation"`
	Zone        ident.Zone `json:"zone"`
	// Wants are the services whose upstreams the entry has too few links to. Their agents then link to the entry too, where agents
	// otherwise link to only a part of the entries.
	Wants []ident.Service `json:"wants,omitempty"`
}

// Directory is the list of entries, as last read from the store.
type Directory struct {
	onChange func([]fleet.Entry)
	log      *logrus.Entry

	mu  sync.Mutex
	all map[ident.Address]fleet.Entry
}

// NewDirectory returns an empty Directory. onChange is called after each change with all entries, sorted by address.
func NewDirectory(onChange func([]fleet.Entry), log *logrus.Entry) *Directory {
	return &Directory{onChange: onChange, log: log, all: make(map[ident.Address]fleet.Entry)}
}

// Len returns the number of entries listed.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.all)
}

const (
	// batchDelayPerEntry is the time for which changes of the list are batched, for each entry listed. When a whole region starts, all
	// entries register within a second, and each row would otherwise wake all processes.
	batchDelayPerEntry = 3 * time.Millisecond
	// maxBatchDelay bounds the batch delay, because an entry that has just started gets no work until agents know it.
	maxBatchDelay = 2 * time.Second
)

// BatchDelay returns for how long a process batches changes of the list before it reads them.
func (d *Directory) BatchDelay() time.Duration {
	return min(time.Duration(d.Len())*batchDelayPerEntry, maxBatchDelay)
}

// HandleChanges applies changes of the table. It is the callback of a follow.Follower.
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
		if err := checkAddress(address); err != nil {
			d.log.WithFields(logrus.Fields{"link": address, "error": err.Error()}).Warn("member_unreadable")
			continue // not an entry's row
		}
		var e Entry
		if err := json.Unmarshal(r.Value, &e); err != nil {
			// The row's name is the address, so agents can link to the entry all the same.
			d.log.WithFields(logrus.Fields{"link": address, "error": err.Error()}).Warn("member_unreadable")
		}
		d.all[address] = fleet.Entry{Address: address, Wants: e.Wants}
	}
	entries := slices.SortedFunc(maps.Values(d.all), func(a, b fleet.Entry) int { return cmp.Compare(a.Address, b.Address) })
	d.mu.Unlock()
	d.onChange(entries)
}

// checkAddress returns an error if the name of a row is not an entry's address.
func checkAddress(a ident.Address) error {
	parsed, err := netip.ParseAddrPort(string(a))
	switch {
	case err != nil:
		return err
	case parsed.Port() == 0:
		return errors.Errorf("members: address %s: port 0", a)
	case parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast():
		return errors.Errorf("members: address %s: not of one process", a)
	}
	return nil
}

// Reader reads ranges of rows.
type Reader interface {
	Range(ctx context.Context, r rows.Range) (rows.Page, error)
}

// Addresses reads the link addresses of all entries, sorted. It sees each entry that has registered before the call, which a Directory may
// not have been told of yet.
func Addresses(ctx context.Context, store Reader) ([]ident.Address, error) {
	page, err := store.Range(ctx, rows.Range{Table: Table})
	if err != nil {
		return nil, errors.Wrap(err, "members: read the entries")
	}
	var out []ident.Address
	for _, r := range page.Rows {
		if a := ident.Address(r.Key.Name); checkAddress(a) == nil {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out, nil
}
