// Package memory stands in for the rows of the platform's store where a state machine is driven by hand.
package memory

import "hillreel/internal/core/rows"

// Store is rows in memory; one goroutine uses it.
type Store struct {
	Rows map[rows.Key]rows.Row
	// Version is that of the newest change.
	Version rows.Version
}

// New returns a Store without rows.
func New() Store { return Store{Rows: make(map[rows.Key]rows.Row)} }

// Put writes a row whatever was there.
func (s *Store) Put(k rows.Key, value []byte) {
	s.Version++
	s.Rows[k] = rows.Row{Key: k, Value: value, Version: s.Version}
}

// Commit does a transaction if its conditions hold, and tells whether they do.
func (s *Store) Commit(t rows.Txn) bool {
	for _, c := range t.If {
		if s.Rows[c.Key].Version != c.Version {
			return false
		}
	}
	s.Version++
	for _, r := range t.Put {
		r.Version = s.Version
		s.Rows[r.Key] = r
	}
	for _, k := range t.Remove {
		delete(s.Rows, k)
	}
	return true
}
