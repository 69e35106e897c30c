// Package process builds and runs the services of an agent.
package process

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/node"
	"hillreel/internal/agent/snapshot"
	"hillreel/internal/config/cordon"
	"hillreel/internal/config/store"
	"hillreel/internal/core/bus"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/follow"
	"hillreel/internal/core/kernel"
	"hillreel/internal/core/metrics"
	"hillreel/internal/core/ops"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/web"
	"hillreel/internal/link/members"
	"hillreel/internal/link/session"
)

// The names under which the services are registered.
const (
	nameNode       = "agent"
	nameHeartbeats = "heartbeats"
	nameEntries    = "entries"
	nameCordons    = "cordons"
	nameObjects    = "objects"
	nameMetrics    = "metrics"
)

// Store is what an agent needs of the platform's store.
type Store interface {
	follow.Store
	snapshot.Rows
}

// Deps are the dependencies of an agent.
type Deps struct {
	Store    Store
	Upstream node.Upstream
	// Heartbeats returns the handler of the upstream's heartbeats.
	Heartbeats func(n *node.Node) http.Handler
	Dial       session.Dialer
	// Cordons is the table of the platform's store in which the platform's operators cordon availability zones.
	Cordons cordon.Table
	Log     *logrus.Entry
}

// Process is one agent.
type Process struct {
	settings *settings.Settings
	log      *logrus.Entry
	kernel   *kernel.Kernel
	Node     *node.Node
	bus      *bus.Bus
}

// New builds the services of an agent. It returns an error if the settings name no upstream.
func New(set *settings.Settings, d Deps) (*Process, error) {
	if set.Agent.Upstream == "" {
		return nil, errors.New("settings: [agent] upstream: must be set")
	}
	p := &Process{settings: set, log: d.Log, kernel: kernel.New(d.Log), bus: bus.New()}
	p.Node = node.New(set, d.Upstream, snapshot.New(d.Store, set.Node.Name), d.Dial, d.Log)
	metrics.Report("reservations", func() any { return p.Node.Reservations() })
	metrics.Report("runs", func() any { return p.Node.Runs() })
	dir := members.NewDirectory(func(entries []fleet.Entry) {
		if err := p.bus.Publish(bus.Entries, entries); err != nil {
			p.log.WithField("error", err.Error()).Error("event_not_published")
		}
	}, d.Log)
	for _, s := range []struct {
		name    string
		service kernel.Service
	}{
		{nameNode, p.Node},
		{nameHeartbeats, web.New("heartbeats", set.Agent.Control, d.Heartbeats(p.Node), web.Internal)},
		{nameEntries, follow.New(d.Store, members.Table, follow.SinglePart, set.Platform.ListWait, dir.HandleChanges, d.Log).With(follow.Options{
			BatchDelay: dir.BatchDelay, Idle: p.relayedByEntries(time.Now(), entriesGrace),
		})},
		{nameCordons, p.followCordons(d, d.Cordons)},
		{nameObjects, p.followCordons(d, store.Cordons)},
		{nameMetrics, web.New("metrics", set.Node.Metrics, ops.Handler(nil, p.Node.Ready, nil), web.Operators)},
	} {
		if err := p.kernel.Register(s.name, s.service); err != nil {
			return nil, err
		}
	}
	return p, bus.Subscribe(context.Background(), p.bus, bus.Entries, p.Node.SetEntries)
}

// followCordons returns a Follower of a table of cordons.
func (p *Process) followCordons(d Deps, t cordon.Table) *follow.Follower {
	r := cordon.NewReader(t, p.Node.SetCordons, d.Log)
	return follow.New(d.Store, t.Name, follow.SinglePart, p.settings.Platform.ListWait, r.ApplyChanges, d.Log).With(follow.Options{
		Idle: p.relayedByEntries(time.Now(), cordonsGrace),
	})
}

// Entries tell their agents about changes in the store's tables that agents need. An agent reads these tables itself only while it hears
// too few entries that do so. Otherwise all processes of a region would read each change, and many would read configurations that they
// don't use.
const (
	// entriesGrace and cordonsGrace are how long an agent that starts waits for links to entries before it reads the tables itself.
	// entriesGrace is shorter, because without the list of entries the agent may find no entry at all.
	entriesGrace = 300 * time.Millisecond
	cordonsGrace = time.Second
)

// relayedByEntries returns a function that reports whether entries relay the store's tables to the agent, or may soon do so after a start.
func (p *Process) relayedByEntries(start time.Time, grace time.Duration) func() bool {
	return func() bool { return p.Node.FollowingEntries() >= node.MinFollowingEntries || time.Since(start) < grace }
}

// Start starts all services in order.
func (p *Process) Start(ctx context.Context) error { return p.kernel.Start(ctx) }

// Stop ends all services at once. Runs on the upstream are killed when their lease lapses.
func (p *Process) Stop() {
	p.kernel.Stop()
	if err := p.bus.Close(); err != nil {
		p.log.WithField("error", err.Error()).Warn("bus_not_closed")
	}
}

const (
	// leaveMargin is the part of the grace that is reserved for sending the last ends and for stopping the services.
	leaveMargin = 400 * time.Millisecond
	// leavePoll is how often a leaving agent checks whether any runs remain.
	leavePoll = 20 * time.Millisecond
	// finalSendTime is how long the last ends have to reach their entries.
	finalSendTime = 50 * time.Millisecond
)

// Drain accepts no new work, waits until the active runs have ended, and stops all services. It takes at most the grace of the settings.
func (p *Process) Drain() {
	began := time.Now()
	p.log.WithField("runs", p.Node.Runs()).Info("leaving")
	p.Node.Leave()
	until := began.Add(p.settings.Agent.Grace - leaveMargin)
	for p.Node.Runs() > 0 && time.Now().Before(until) {
		time.Sleep(leavePoll)
	}
	time.Sleep(finalSendTime)
	left := p.Node.Runs()
	p.Stop()
	p.log.WithFields(logrus.Fields{"took_ms": time.Since(began).Milliseconds(), "runs_left": left}).Info("left")
}
