// Package process builds, starts and stops the services of an entry.
package process

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/config/cordon"
	"hillreel/internal/config/object"
	"hillreel/internal/config/store"
	"hillreel/internal/config/view"
	"hillreel/internal/core/bus"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/follow"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/keepalive"
	"hillreel/internal/core/kernel"
	"hillreel/internal/core/metrics"
	"hillreel/internal/core/ops"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/core/web"
	"hillreel/internal/entry/burn"
	"hillreel/internal/entry/caller"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/node"
	"hillreel/internal/entry/operator"
	"hillreel/internal/entry/shares"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/record"
	"hillreel/internal/link/members"
)

// The names under which the services register in the kernel.
const (
	nameNode      = "entry"
	nameConfig    = "config"
	nameObjects   = "objects"
	nameCancels   = "cancellations"
	nameCoverage  = "coverage"
	nameEntries   = "entries"
	nameRegister  = "register"
	nameCallers   = "callers"
	nameFront     = "front"
	nameReadiness = "readiness"
	nameMetrics   = "metrics"
)

// Store is the part of the platform's store that an entry uses.
type Store interface {
	follow.Store
	store.Rows
	jobstore.Store
}

// Deps holds the dependencies of an entry.
type Deps struct {
	Store Store
	// Config is the key of the row with the operator's configuration, which Decode decodes. Cordons describes how to read the cordons
	// in the same table.
	Config  rows.Key
	Decode  node.Decoder
	Cordons cordon.Table
	// Front returns the handler that serves the platform's clients.
	Front func(n *node.Node) http.Handler
	Log   *logrus.Entry
}

// Process is one entry.
type Process struct {
	set    *settings.Settings
	log    *logrus.Entry
	kernel *kernel.Kernel
	Node   *node.Node
	// Front serves the platform's clients.
	Front *web.Server
	// Metrics serves metrics and the operators' API.
	Metrics *web.Server
	// Callers serves hillreel's own API for callers.
	Callers *web.Server
	bus     *bus.Bus
}

// New builds and registers an entry's services.
func New(set *settings.Settings, d Deps) (*Process, error) {
	p := &Process{set: set, log: d.Log, kernel: kernel.New(d.Log), bus: bus.New()}
	objects := store.NewReplica(func(v *view.View) {
		p.Node.SetAllowed(v.Serves)
		p.Node.SetShares(shares.FromView(v))
	}, d.Log)
	recorder := burn.New(time.Now, func() []object.Objective { return objects.View().Objectives() })
	p.Node = node.New(set, d.Store, d.Decode, node.NewObserver(d.Log, recordBurn(recorder)), d.Log)
	changes := store.New(d.Store, time.Now)
	api := operator.New(changes, objects, p.Node, recorder, d.Log)
	dir := members.NewDirectory(func(entries []fleet.Entry) { p.publish(bus.Entries, entries) }, d.Log)
	entry := members.Entry{Name: set.Node.Name, Incarnation: p.Node.Incarnation().String(), Zone: ident.Zone(set.Node.Zone)}
	register := members.NewRegistrar(d.Store, set.Node.AdvertisedLink(), entry, dir.Len, d.Log)
	p.Front = web.New("clients", set.Entry.Front, d.Front(p.Node), callerLimits(set))
	servicesInForce := func() caller.Services { return objects.View() }
	p.Callers = web.New("callers", set.Entry.Callers, caller.New(p.Node, servicesInForce, int64(set.Entry.MaxBody), d.Log), callerLimits(set))
	p.Metrics = web.New("metrics", set.Node.Metrics, ops.Handler(ops.Tokens(set.Entry), p.Node.Ready, api.Routes), web.Operators)
	metrics.Report("claims", func() any { return p.Node.Claims() })
	metrics.Report("zones", func() any { return p.Node.Zones() })
	metrics.Report("shares", func() any { return p.Node.Shares() })
	metrics.Report("near_waits", func() any { return p.Node.NearWaits() })
	configFollower := follow.New(d.Store, d.Config.Table, follow.SinglePart, set.Platform.ConfigWait, p.configReader(d), d.Log).With(follow.Options{
		WatchTimeout: func() time.Duration { return configWait(set, dir.Len()) },
	})
	objectsFollower := follow.New(d.Store, store.Objects, follow.SinglePart, set.Platform.ListWait, p.objectsReader(objects), d.Log)
	entriesFollower := follow.New(d.Store, members.Table, follow.SinglePart, set.Platform.ListWait, dir.HandleChanges, d.Log).With(follow.Options{BatchDelay: dir.BatchDelay})
	p.Node.SetFollows(func() bool { return configFollower.Current() && objectsFollower.Current() && entriesFollower.Current() })
	services := []namedService{
		{nameNode, p.Node},
		{nameConfig, configFollower},
		{nameCancels, follow.New(d.Store, record.Cancels, p.Node.CancellationParts(), set.Platform.ListWait, p.Node.HandleCancellations, d.Log)},
		{nameObjects, objectsFollower},
		{nameEntries, entriesFollower},
		{nameRegister, register},
		{nameCoverage, newCoverage(p.Node, dir, register, set.Links.Entries)},
	}
	services = append(services, p.servers()...)
	for _, s := range services {
		if err := p.kernel.Register(s.name, s.service); err != nil {
			return nil, err
		}
	}
	return p, p.subscribe()
}

// pollsPerWait is how many entries of a region, on average, poll the configuration anew within Platform.ConfigWait. An entry notices only
// at the end of its wait that the store will never answer its call. Meanwhile it gets a new configuration from agents, which have it from
// entries whose calls are answered. Therefore the region's total rate of calls need not grow with the number of its entries.
const pollsPerWait = 6

// configWait returns how long one call waits for a change of the configuration, in a region with the given number of entries.
func configWait(set *settings.Settings, entries int) time.Duration {
	shared := max(entries, pollsPerWait)
	return min(set.Platform.ConfigWait*time.Duration(shared)/pollsPerWait, max(set.Platform.ListWait, set.Platform.ConfigWait))
}

// servers lists the servers that have an address in the settings. They start last, after the services that they need.
func (p *Process) servers() []namedService {
	var out []namedService
	if p.set.Entry.Front != "" {
		out = append(out, namedService{nameFront, p.Front})
	}
	if p.set.Entry.Callers != "" {
		out = append(out, namedService{nameCallers, p.Callers})
	}
	if p.set.Entry.Readiness != "" {
		checks := web.New("readiness checks", p.set.Entry.Readiness, web.Readiness(p.Node.Ready), web.Internal)
		out = append(out, namedService{nameReadiness, checks})
	}
	return append(out, namedService{nameMetrics, p.Metrics})
}

// recordBurn returns a function that records answers for the burn report.
func recordBurn(r *burn.Recorder) func(*route.Route, dispatch.Answer, dispatch.Summary) {
	return func(queue *route.Route, a dispatch.Answer, s dispatch.Summary) {
		r.RecordJob(burn.Job{
			Service: queue.Service, Complete: a.State == verdict.Complete, Took: s.Took, Longest: s.Longest, Upstreams: s.Blamed,
		})
	}
}

// namedService is a service with the name under which it registers.
type namedService struct {
	name    string
	service kernel.Service
}

// callerLimits returns the limits of the servers for clients and callers.
func callerLimits(set *settings.Settings) web.Options {
	return web.Options{
		HeaderTimeout: set.Entry.HeaderTimeout, ReadTimeout: set.Entry.ReadTimeout, IdleTimeout: set.Entry.IdleTimeout,
		MaxHeader: maxHeader, MaxConnections: set.Entry.MaxConnections, KeepAlive: keepalive.Long,
	}
}

// maxHeader bounds a request's headers, in bytes.
const maxHeader = 16 << 10

// configReader returns a handler that passes the operator's cordons and configuration to the node. The cordons come first, because a
// configuration lets the entry accept jobs.
func (p *Process) configReader(d Deps) follow.Handler {
	cordons := cordon.NewReader(d.Cordons, p.Node.SetCordons, p.log)
	return func(c follow.Changes) {
		cordons.ApplyChanges(c)
		for _, r := range c.Rows {
			if r.Key != d.Config || r.Removed {
				continue
			}
			t, err := d.Decode(r.Value)
			if err != nil {
				p.log.WithFields(logrus.Fields{"row_version": r.Version, "error": err.Error()}).Error("config_unusable")
				continue
			}
			p.Node.Configure(t)
		}
	}
}

// objectsReader returns a handler that applies hillreel's own configuration objects and passes the cordons in them to the node.
func (p *Process) objectsReader(objects *store.Replica) follow.Handler {
	cordons := cordon.NewReader(store.Cordons, p.Node.SetCordons, p.log)
	return func(c follow.Changes) {
		cordons.ApplyChanges(c)
		objects.ApplyChanges(c)
	}
}

// publish publishes an event on the process's bus.
func (p *Process) publish(t bus.Topic, event any) {
	if err := p.bus.Publish(t, event); err != nil {
		p.log.WithFields(logrus.Fields{"topic": t, "error": err.Error()}).Error("event_not_published")
	}
}

// subscribe connects the events on the process's bus to their handlers.
func (p *Process) subscribe() error {
	return bus.Subscribe(context.Background(), p.bus, bus.Entries, p.Node.SetEntries)
}

// Start starts all services in order.
func (p *Process) Start(ctx context.Context) error { return p.kernel.Start(ctx) }

// Stop stops all services at once. Requests in progress are cut.
func (p *Process) Stop() {
	p.kernel.Stop()
	if err := p.bus.Close(); err != nil {
		p.log.WithField("error", err.Error()).Warn("bus_not_closed")
	}
}
