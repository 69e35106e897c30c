// Package ident defines named types for the IDs and versions that hillreel's processes share.
package ident

import (
	"math/rand/v2"
	"strconv"
)

// Distinct types keep values of different kinds from being mixed up.
type (
	// UpstreamName is the name of an upstream in settings and configuration.
	UpstreamName string
	// UpstreamID is the ID of an upstream. An upstream that restarts may have a new ID or the same one; only an UpstreamLife is unique.
	UpstreamID string
	// Born is the time at which a life of an upstream began, in Unix milliseconds by the clock of its VM. Lives with the same ID differ in
	// Born, but only the upstream itself knows which one is later. Zero is unknown.
	Born int64
	// Zone is the name of an availability zone.
	Zone string
	// Service is the kind of work that a pool of upstreams does.
	Service string
	// Address is an IP address and port, as in "127.0.0.1:7400".
	Address string
	// Incarnation identifies one start of a process. It is a random number; zero is none.
	Incarnation uint64
	// ConfigVersion is the version of a configuration; it only grows.
	ConfigVersion uint64
)

// UpstreamLife is one life of an upstream, from start to end. Its counters, its runs and everything that was sent to it end with it.
type UpstreamLife struct {
	ID   UpstreamID
	Born Born
}

// MayBe reports whether two lives are, or may be, the same: a birth that is not known may be any.
func (l UpstreamLife) MayBe(o UpstreamLife) bool {
	return l.ID == o.ID && (l.Born == o.Born || l.Born == 0 || o.Born == 0)
}

// String returns the ID and the start of the life.
func (l UpstreamLife) String() string {
	return string(l.ID) + "@" + strconv.FormatInt(int64(l.Born), 10)
}

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string {
	s := strconv.FormatUint(uint64(i), 16)
	return "0000000000000000"[len(s):] + s
}

// NewIncarnation returns a random incarnation. The chance that another process has the same one is 1 in 2^64.
func NewIncarnation() Incarnation {
	for {
		if i := Incarnation(rand.Uint64()); i != 0 {
			return i
		}
	}
}
