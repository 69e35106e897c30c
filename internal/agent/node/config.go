package node

import (
	"github.com/sirupsen/logrus"

	"hillreel/internal/config/state"
	"hillreel/internal/core/ident"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// handleConfig adopts a higher version and tells every entry which version is in force here.
func (n *Node) handleConfig(from ident.Incarnation, m *wire.Config) {
	adopted, err := n.config.Receive(m)
	if err != nil {
		// The sender hears which version this is, and sends everything.
		n.log.WithFields(logrus.Fields{"version": m.GetVersion(), "error": err.Error()}).Warn("config_refused")
	}
	if !adopted {
		(*sender)(n).Send(from, n.config.Running())
		return
	}
	n.applyConfig()
	for _, l := range n.links {
		l.session.Send(n.config.Running())
	}
}

func (n *Node) applyConfig() {
	view := state.NewView(n.config.Current())
	name, zone := ident.UpstreamName(n.set.Node.Name), ident.Zone(n.set.Node.Zone)
	n.ledger.SetAllow(func(s ident.Service) bool { return view.Serves(name, zone, s) })
	n.log.WithField("version", view.Version).Info("config_adopted")
}

// greetConfig tells a newly linked entry which version runs here.
func (n *Node) greetConfig(s *session.Session) { s.Send(n.config.Running()) }
