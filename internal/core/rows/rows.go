// Package rows defines the rows of the platform's store as hillreel's services use them.
package rows

import (
	"time"

	"github.com/pkg/errors"
)

// Table is a table's name.
type Table string

// Version is the version of a row, or the newest version of the whole store. It only grows; zero is no row.
type Version uint64

// Key names a row.
type Key struct {
	Table Table
	// Part groups rows that are written together; it may be empty.
	Part string
	Name string
}

// Row is one row.
type Row struct {
	Key     Key
	Value   []byte
	Version Version
	// Removed rows appear only among changes.
	Removed bool
}

// Range says which rows of one part of a table are wanted.
type Range struct {
	Table Table
	Part  string
	// From is the first name, To the first one that is left out; empty is no bound.
	From, To string
	// Limit is how many are wanted at most; zero is all.
	Limit int
}

// Page is what a reading brings.
type Page struct {
	Rows []Row
	// Version is the newest version of the store at that moment.
	Version Version
	// Now is the store's steady clock.
	Now time.Duration
}

// Condition is the version that a row must have; zero means that there must be none.
type Condition struct {
	Key     Key
	Version Version
}

// Txn is done as a whole or not at all. All its rows have the same part.
type Txn struct {
	If     []Condition
	Put    []Row
	Remove []Key
}

// The errors of the store that say something certain.
var (
	// ErrConflict: a condition did not hold, and nothing was done.
	ErrConflict = errors.New("store: a condition does not hold")
	// ErrRefused: the store did nothing.
	ErrRefused = errors.New("store: refused")
	// ErrHistoryGone: changes since the version asked for are no longer known.
	ErrHistoryGone = errors.New("store: history gone")
)
