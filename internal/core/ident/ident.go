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
	// UpstreamID names an upstream. One that starts again may have another, or the same: only an UpstreamLife is certain.
	UpstreamID string
	// Born is when a life of an upstream began, in Unix milliseconds by its own VM's time of day: lives of one id differ in it, but
	// only the upstream itself can tell which is the later. Zero is not told.
	Born int64
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

// UpstreamLife is one life of an upstream: nothing that it has counted, been told or run outlasts it.
type UpstreamLife struct {
	ID   UpstreamID
	Born Born
}

// String prints a life as its id and its start.
func (l UpstreamLife) String() string {
	return string(l.ID) + "@" + strconv.FormatInt(int64(l.Born), 10)
}

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
