// Package ident defines the named types for the ids and units that hillreel's processes share,
// and mints and checks job ids.
package ident

import (
	"cmp"
	"math/rand/v2"
	"strconv"

	"hillreel/internal/link/wire"
)

// Named types for the things that a process must not mix up.
type (
	// UpstreamName is an upstream's name in settings and configuration.
	UpstreamName string
	// Zone is an availability zone.
	Zone string
	// Region is a group of availability zones that share entries and agents.
	Region string
	// Service is the kind of work that a pool of upstreams serves.
	Service string
	// Team is a group of callers with a quota.
	Team string
	// Address is an IP number and port, as in "127.0.0.1:7400".
	Address string
	// Incarnation is one life of one process, drawn at random when it starts. Zero is none.
	Incarnation uint64
	// TaskIndex is a task's place in its job, from zero.
	TaskIndex uint32
	// ConfigVersion counts accepted changes of configuration; it only grows.
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

// Key names a job inside hillreel. Two ids never share a key, because an incarnation never repeats.
type Key struct {
	Owner Incarnation
	Seq   uint64
}

// String prints the key as it stands in logs.
func (k Key) String() string {
	return k.Owner.String() + "-" + strconv.FormatUint(k.Seq, 10)
}

// Wire returns the key's message form.
func (k Key) Wire() *wire.Key { return &wire.Key{Owner: uint64(k.Owner), Seq: k.Seq} }

// KeyOf reads a key from its message form; nil gives the zero key.
func KeyOf(k *wire.Key) Key {
	return Key{Owner: Incarnation(k.GetOwner()), Seq: k.GetSeq()}
}

// Generation orders those who may act for a job. The owner has counter 1, each adopter a higher one.
type Generation struct {
	Counter uint32
	// Holder breaks ties between adopters that chose the same counter.
	Holder Incarnation
}

// OwnerCounter is the counter of the entry that minted the id.
const OwnerCounter = 1

// OwnerGeneration is the generation under which the minter of an id, or its successor, acts.
func OwnerGeneration(owner Incarnation) Generation {
	return Generation{Counter: OwnerCounter, Holder: owner}
}

// Less tells whether g is older than o.
func (g Generation) Less(o Generation) bool {
	return cmp.Or(cmp.Compare(g.Counter, o.Counter), cmp.Compare(g.Holder, o.Holder)) < 0
}

// Wire returns the generation's message form.
func (g Generation) Wire() *wire.Generation {
	return &wire.Generation{Counter: g.Counter, Holder: uint64(g.Holder)}
}

// GenerationOf reads a generation from its message form; nil gives the zero generation.
func GenerationOf(g *wire.Generation) Generation {
	return Generation{Counter: g.GetCounter(), Holder: Incarnation(g.GetHolder())}
}
