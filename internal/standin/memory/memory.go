// Package memory provides an in-memory replacement for the rows of the platform's store, for tests that drive a state machine
// step by step.
package memory

import "hillreel/internal/core/rows"

// Store holds rows in memory. It is not safe for concurrent use.
type Store struct {
	Rows map[rows.Key]rows.Row
	// Version is the version of the latest write; it grows by one with each Put and each committed transaction.
	Version rows.Version
}

// New returns an empty Store.
func New() Store { return Store{Rows: make(map[rows.Key]rows.Row)} }

// Put writes a row unconditionally, under the next version.
func (s *Store) Put(k rows.Key, value []byte) {
	s.Version++
	s.Rows[k] = rows.Row{Key: k, Value: value, Version: s.Version}
}

// Commit applies a transaction if all its conditions hold, and reports whether they did.
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
