package cordon

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/follow"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rows"
)

// Table is a table of the store that holds cordons, perhaps beside other rows.
type Table struct {
	Source Source
	Name   rows.Table
	// Decode returns the zone that a row cordons; an empty one is a row about something else. Its error says why a row that should
	// name a zone names none.
	Decode func(r rows.Row) (ident.Zone, error)
}

// Reader makes snapshots of a table's changes. A follow.Follower feeds it.
type Reader struct {
	table   Table
	publish func(Snapshot)
	log     *logrus.Entry
	// zones are the cordons by their rows' names; published is false until the table was read.
	zones     map[string]ident.Zone
	published bool
}

// NewReader returns a Reader that publishes the first snapshot and each one that differs from the one before.
func NewReader(t Table, publish func(Snapshot), log *logrus.Entry) *Reader {
	return &Reader{table: t, publish: publish, log: log, zones: make(map[string]ident.Zone)}
}

// Change takes in changes of the table; it is a follow.Change.
func (r *Reader) ApplyChanges(c follow.Changes) {
	before := r.sortedZones()
	if c.Complete {
		clear(r.zones) // rows that have gone are not told again
	}
	for _, row := range c.Rows {
		r.applyRow(row)
	}
	now := r.sortedZones()
	if r.published && slices.Equal(before, now) {
		return
	}
	r.published = true
	r.publish(Snapshot{Source: r.table.Source, Version: c.Version, Zones: now})
}

// take takes in one row. One that can't be read may be another writer's: it cordons nothing, and the others hold.
func (r *Reader) applyRow(row rows.Row) {
	delete(r.zones, row.Key.Name)
	if row.Removed {
		return
	}
	zone, err := r.table.Decode(row)
	if err != nil {
		r.log.WithFields(logrus.Fields{"row": row.Key.Name, "error": err.Error()}).Warn("cordon_unreadable")
		return
	}
	if zone != "" {
		r.zones[row.Key.Name] = zone
	}
}

// list returns the zones that are cordoned, in order and each once.
func (r *Reader) sortedZones() []ident.Zone {
	return slices.Compact(slices.Sorted(maps.Values(r.zones)))
}
