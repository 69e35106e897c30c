package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/config/object"
	"hillreel/internal/config/state"
	"hillreel/internal/core/bus"
	"hillreel/internal/core/ident"
	"hillreel/internal/entry/job"
	"hillreel/internal/link/wire"
	"hillreel/internal/platform/vms"
)

// maxTimed is how many versions' times into force are kept.
const maxTimed = 256

// configControl is the part of the control state that delivers configuration.
type configControl struct {
	adopter *state.Adopter
	// running is the version that each linked process has told.
	running map[ident.Incarnation]ident.ConfigVersion
	names   map[ident.Incarnation]processName
	// adopted is when this entry adopted a version; force is how long all linked processes then took.
	adopted map[ident.ConfigVersion]time.Time
	force   map[ident.ConfigVersion]time.Duration
}

type processName struct{ name, role string }

func newConfigControl() *configControl {
	return &configControl{
		adopter: state.NewAdopter(),
		running: make(map[ident.Incarnation]ident.ConfigVersion),
		names:   make(map[ident.Incarnation]processName),
		adopted: make(map[ident.ConfigVersion]time.Time),
		force:   make(map[ident.ConfigVersion]time.Duration),
	}
}

// adopted is posted when the store has a newer state.
type newState struct{ state *state.State }

// AdoptState puts a state in force that was read from the store; a lower version changes nothing.
func (n *Node) AdoptState(s *state.State) { n.loop.Post(newState{s}) }

// State returns the configuration in force here.
func (n *Node) State() *state.State {
	var s *state.State
	n.loop.Call(func() { s = n.config.adopter.Current() })
	return s
}

// Objectives returns the objectives in force, without waiting for the control goroutine.
func (n *Node) Objectives() []object.Objective {
	if o := n.objectives.Load(); o != nil {
		return *o
	}
	return nil
}

// publishObjectives makes a snapshot for those who only read.
func (n *Node) publishObjectives(s *state.State) {
	var out []object.Objective
	for _, o := range s.List(object.KindObjective) {
		if v, err := object.As[object.Objective](o); err == nil {
			out = append(out, v)
		}
	}
	n.objectives.Store(&out)
}

func (n *Node) handleNewState(s *state.State) {
	if n.config.adopter.Adopt(s) {
		n.applyConfig()
	}
}

// applyConfig puts the adopted state in force and passes it on.
func (n *Node) applyConfig() {
	c := n.config
	version := c.adopter.Current().Version()
	c.adopted[version] = n.now()
	delete(c.adopted, version-maxTimed)
	delete(c.force, version-maxTimed)
	n.table.SetView(state.NewView(c.adopter.Current()))
	n.publishObjectives(c.adopter.Current())
	n.log.WithField("version", version).Info("config_adopted")
	for inc := range n.agents {
		n.pushConfig(inc)
	}
	for inc := range n.peers {
		n.pushConfig(inc)
		(*links)(n).ToPeer(inc, c.adopter.Running())
	}
	n.checkForce()
}

// pushConfig sends a process what it lacks.
func (n *Node) pushConfig(to ident.Incarnation) {
	m, err := n.config.adopter.MessageFor(n.config.running[to])
	if err != nil {
		n.log.WithField("error", err.Error()).Error("config_push_failed")
		return
	}
	if m == nil {
		return
	}
	(*links)(n).ToAgent(to, m)
	(*links)(n).ToPeer(to, m)
}

func (n *Node) handleConfig(from ident.Incarnation, m *wire.Config) {
	adopted, err := n.config.adopter.Receive(m)
	if err != nil {
		n.log.WithFields(logrus.Fields{"version": m.GetVersion(), "error": err.Error()}).Warn("config_refused")
	}
	if adopted {
		n.applyConfig()
		return
	}
	(*links)(n).ToPeer(from, n.config.adopter.Running())
}

// handleConfigRunning notes what a process runs, and sends what it lacks.
func (n *Node) handleConfigRunning(from ident.Incarnation, m *wire.ConfigRunning) {
	n.config.running[from] = ident.ConfigVersion(m.GetVersion())
	n.pushConfig(from)
	n.checkForce()
}

// greetConfig begins the exchange on a new link.
func (n *Node) greetConfig(from ident.Incarnation, h *wire.Hello) {
	n.config.names[from] = processName{h.GetName(), h.GetRole()}
	if h.GetRole() == string(vms.Entry) {
		(*links)(n).ToPeer(from, n.config.adopter.Running())
	}
}

func (n *Node) forgetConfig(from ident.Incarnation) {
	delete(n.config.running, from)
	delete(n.config.names, from)
	n.checkForce()
}

// checkForce notes when the newest version is in force at every process that is linked here.
func (n *Node) checkForce() {
	c := n.config
	version := c.adopter.Current().Version()
	if _, done := c.force[version]; done || version == 0 {
		return
	}
	for inc := range c.names {
		if c.running[inc] < version {
			return
		}
	}
	took := n.now().Sub(c.adopted[version])
	c.force[version] = took
	n.log.WithFields(logrus.Fields{"version": version, "took_ms": took.Milliseconds(), "processes": len(c.names) + 1}).Info("config_in_force")
}

// Behind is a process that runs a lower version.
type Behind struct {
	Name    string              `json:"name"`
	Role    string              `json:"role"`
	Version ident.ConfigVersion `json:"version"`
}

// ConfigStatus says how far the newest configuration is in force.
type ConfigStatus struct {
	Version ident.ConfigVersion `json:"version"`
	// Processes counts this entry and all that are linked to it; InForce those that run Version.
	Processes int      `json:"processes"`
	InForce   int      `json:"in_force"`
	Behind    []Behind `json:"behind,omitempty"`
	// TookMs is how long it took until all did, from this entry's adopting it; -1 while not all do.
	TookMs int64 `json:"took_ms"`
}

// ConfigStatus returns how far the newest configuration is in force.
func (n *Node) ConfigStatus() ConfigStatus {
	var s ConfigStatus
	n.loop.Call(func() {
		c := n.config
		s = ConfigStatus{Version: c.adopter.Current().Version(), Processes: len(c.names) + 1, InForce: 1, TookMs: -1}
		for inc, p := range c.names {
			if c.running[inc] >= s.Version {
				s.InForce++
				continue
			}
			s.Behind = append(s.Behind, Behind{p.name, p.role, c.running[inc]})
		}
		if took, ok := c.force[s.Version]; ok {
			s.TookMs = took.Milliseconds()
		}
	})
	return s
}

// subscribeConfig adopts what the store's reader publishes.
func (n *Node) subscribeConfig() error {
	return bus.Subscribe(n.ctx, n.bus, bus.Config, func(d state.Delta) {
		s, err := state.Empty().Apply(d)
		if err != nil {
			n.log.WithField("error", err.Error()).Error("config_unreadable")
			return
		}
		n.AdoptState(s)
	})
}

// Upstreams lists the upstreams whose agents are linked here.
func (n *Node) Upstreams() (out []job.Upstream) {
	n.loop.Call(func() { out = n.table.Upstreams() })
	return out
}
