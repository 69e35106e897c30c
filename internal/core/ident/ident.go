// Package ident defines the named types for the ids and units that hillreel's processes share.
package ident

import (
	"math/rand/v2"
	"strconv"
)

// Named types for the things that a process must not mix up.
type (
	// UpstreamName is an upstream's name in settings and configuration.
	UpstreamName string
	// UpstreamID is one life of an upstream; after a crash it has another.
	UpstreamID string
	// Zone is an availability zone.
	Zone string
	// Service is the kind of work that a pool of upstreams serves.
	Service string
	// Address is an IP number and port, as in "127.0.0.1:7400".
	Address string
	// Incarnation is one life of one process, drawn at random when it starts. Zero is none.
	Incarnation uint64
	// ConfigVersion orders configurations; it only grows.
	ConfigVersion uint64
)

// String prints an incarnation as fixed-width hexadecimal.
func (i Incarnation) String() string {
	s := strconv.FormatUint(uint64(i), 16)
	return "0000000000000000"[len(s):] + s
}

// NewIncarnation draws an incarnation that no other process has, but for chance in 2^64.
func NewIncarnation() Incarnation {
	for {
		if i := Incarnation(rand.Uint64()); i != 0 {
			return i
		}
	}
}
