package state

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/invariant"
	"hillreel/internal/link/wire"
)

// maxKept is how many earlier states an Adopter keeps to make deltas from.
const maxKept = 32

// Adopter holds the configuration that a process runs. It takes higher versions only. One goroutine uses it.
type Adopter struct {
	current *State
	// kept holds the newest states by version, the current one among them.
	kept  map[ident.ConfigVersion]*State
	order []ident.ConfigVersion
}

// NewAdopter returns an Adopter of the empty state.
func NewAdopter() *Adopter {
	return &Adopter{current: Empty(), kept: make(map[ident.ConfigVersion]*State)}
}

// Current returns the state in force.
func (a *Adopter) Current() *State { return a.current }

// Adopt puts a state in force if its version is higher, and tells whether it did.
func (a *Adopter) Adopt(s *State) bool {
	if s.version <= a.current.version {
		return false
	}
	a.set(s)
	return true
}

// set asserts what Adopt has made sure of.
func (a *Adopter) set(s *State) {
	invariant.Check(s.version > a.current.version, invariant.ConfigOnlyGrows, func() logrus.Fields {
		return logrus.Fields{"before": a.current.version, "now": s.version}
	})
	a.current = s
	a.kept[s.version] = s
	a.order = append(a.order, s.version)
	if len(a.order) > maxKept {
		delete(a.kept, a.order[0])
		a.order = a.order[1:]
	}
}

// Receive takes a message from another process and tells whether a higher version was adopted.
func (a *Adopter) Receive(m *wire.Config) (bool, error) {
	var d Delta
	if err := json.Unmarshal(m.GetBody(), &d); err != nil {
		return false, errors.Wrap(err, "config: message")
	}
	next, err := a.current.Apply(d)
	if err != nil {
		return false, err
	}
	return a.Adopt(next), nil
}

// MessageFor returns what a process that runs version has to be sent: a delta, or everything if its
// version is unknown here; nil if it has no lower version.
func (a *Adopter) MessageFor(version ident.ConfigVersion) (*wire.Msg, error) {
	if version >= a.current.version {
		return nil, nil
	}
	d := a.current.Full()
	if old := a.kept[version]; old != nil {
		d = a.current.Since(old)
	}
	body, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "config: encode")
	}
	return &wire.Msg{Kind: &wire.Msg_Config{Config: &wire.Config{
		Version: uint64(d.To), Body: body, Checksum: d.Sum,
	}}}, nil
}

// Running says which version this process runs.
func (a *Adopter) Running() *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_ConfigRunning{ConfigRunning: &wire.ConfigRunning{
		Version: uint64(a.current.version),
	}}}
}
