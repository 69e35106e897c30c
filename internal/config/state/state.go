// Package state holds the configuration as processes carry it: immutable states with a version that only
// grows, and the full snapshots and deltas by which they travel.
package state

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"hillreel/internal/config/object"
	"hillreel/internal/core/ident"
)

// State is all objects at one version. It is never changed once made.
type State struct {
	version ident.ConfigVersion
	objects map[object.Ref]object.Object
}

// Empty is the state before any change.
func Empty() *State { return &State{objects: make(map[object.Ref]object.Object)} }

// New returns a state of the objects given.
func New(version ident.ConfigVersion, objects []object.Object) *State {
	s := &State{version, make(map[object.Ref]object.Object, len(objects))}
	for _, o := range objects {
		s.objects[o.Ref] = o
	}
	return s
}

// Version returns the state's version.
func (s *State) Version() ident.ConfigVersion { return s.version }

// Get returns an object, or false.
func (s *State) Get(r object.Ref) (object.Object, bool) {
	o, ok := s.objects[r]
	return o, ok
}

// List returns the objects of a kind in order of their names; an empty kind gives all.
func (s *State) List(k object.Kind) []object.Object {
	var out []object.Object
	for r, o := range s.objects {
		if k == "" || r.Kind == k {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b object.Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// Checksum digests version and objects.
func (s *State) Checksum() []byte {
	h := sha256.New()
	json.NewEncoder(h).Encode(s.version)  //nolint:errcheck // a hash takes everything
	json.NewEncoder(h).Encode(s.List("")) //nolint:errcheck // a hash takes everything
	return h.Sum(nil)[:16]
}

// Delta leads from one state to a later one. From zero it is a full snapshot.
type Delta struct {
	From    ident.ConfigVersion `json:"from"`
	To      ident.ConfigVersion `json:"to"`
	Changed []object.Object     `json:"changed"`
	Deleted []object.Ref        `json:"deleted,omitempty"`
	// Sum is the checksum of the state that it leads to.
	Sum []byte `json:"sum"`
}

// ErrGap says that the delta does not begin at this state.
var ErrGap = errors.New("config: the delta begins at another version")

// ErrSum says that the result is not what the sender had.
var ErrSum = errors.New("config: checksum differs")

// Full returns the whole state as a delta from nothing.
func (s *State) Full() Delta {
	return Delta{To: s.version, Changed: s.List(""), Sum: s.Checksum()}
}

// Since returns the delta from an earlier state to this one.
func (s *State) Since(old *State) Delta {
	d := Delta{From: old.version, To: s.version, Sum: s.Checksum()}
	for _, o := range s.List("") {
		if before, ok := old.objects[o.Ref]; !ok || before.Version != o.Version || !bytes.Equal(before.Spec, o.Spec) {
			d.Changed = append(d.Changed, o)
		}
	}
	for r := range old.objects {
		if _, ok := s.objects[r]; !ok {
			d.Deleted = append(d.Deleted, r)
		}
	}
	return d
}

// Apply returns the state that a delta leads to. A delta to a version that is not higher changes nothing.
func (s *State) Apply(d Delta) (*State, error) {
	if d.To <= s.version {
		return s, nil
	}
	base := s
	if d.From == 0 {
		base = Empty()
	}
	if d.From != base.version {
		return s, ErrGap
	}
	next := &State{d.To, make(map[object.Ref]object.Object, len(base.objects)+len(d.Changed))}
	for r, o := range base.objects {
		next.objects[r] = o
	}
	for _, o := range d.Changed {
		next.objects[o.Ref] = o
	}
	for _, r := range d.Deleted {
		delete(next.objects, r)
	}
	if !bytes.Equal(next.Checksum(), d.Sum) {
		return s, ErrSum
	}
	return next, nil
}
