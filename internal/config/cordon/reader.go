package cordon

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/follow"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rows"
)

// Table is a table of the store that holds cordons, possibly among other rows.
type Table struct {
	Source Source
	Name   rows.Table
	// Decode returns the zone that a row cordons, or an empty zone if the row is not a cordon. It returns an error if the row should
	// be a cordon but can't be decoded.
	Decode func(r rows.Row) (ident.Zone, error)
}

// Reader turns the changes of a table into snapshots. A follow.Follower passes it the changes.
type Reader struct {
	table   Table
	publish func(Snapshot)
	log     *logrus.Entry
	// zones are the cordoned zones by the names of their rows. published is true once the first snapshot was published.
	zones     map[string]ident.Zone
	published bool
}

// NewReader returns a Reader that calls publish with the first snapshot and with each one that differs from its predecessor.
func NewReader(t Table, publish func(Snapshot), log *logrus.Entry) *Reader {
	return &Reader{table: t, publish: publish, log: log, zones: make(map[string]ident.Zone)}
}

// ApplyChanges applies changes of the table and publishes the resulting snapshot if it differs. It is a follow.Handler.
func (r *Reader) ApplyChanges(c follow.Changes) {
	before := r.sortedZones()
	if c.Complete {
		clear(r.zones) // a whole table does not list the rows that were removed
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

// applyRow applies one row. A row that can't be decoded may have been written by another program: it is logged and cordons nothing,
// and all other cordons stay in force.
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

// sortedZones returns the cordoned zones, sorted and without duplicates.
func (r *Reader) sortedZones() []ident.Zone {
	return slices.Compact(slices.Sorted(maps.Values(r.zones)))
}
