// Package embedded runs a whole cluster in one process over loopback: agents and entries, with stand-ins for the platform's store
// and for the upstreams. The demo and the tests use it.
package embedded

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	agentnode "hillreel/internal/agent/node"
	agent "hillreel/internal/agent/process"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/web"
	"hillreel/internal/entry/node"
	entry "hillreel/internal/entry/process"
	"hillreel/internal/link/session"
	"hillreel/internal/standin/loopback"
	"hillreel/platform"
	"hillreel/platform/standin"
)

// Token is the operator token that the entries of an embedded cluster accept.
const Token = "embedded-operator-token"

// Options configures a Cluster.
type Options struct {
	// Entries and Agents are the numbers of entries and agents to start. Each agent has one upstream.
	Entries, Agents int
	// Service is the service that all upstreams run.
	Service ident.Service
	// Cores is the CPU capacity of each upstream, in cores.
	Cores int64
	Log   *logrus.Entry
	// FixedPorts makes the first entry listen at the ports from the examples in hillreel.ini: 7600 for callers and 7500 for metrics.
	FixedPorts bool
	// OmitBorn makes upstreams leave the start times of their lives out of heartbeats and answers.
	OmitBorn bool
	// Adjust changes the settings of a process before it starts. The role is "entry" or "agent". Adjust may be nil.
	Adjust func(role string, s *settings.Settings)
	// Proxy returns the address, normally of a proxy, through which other processes connect to the given address. It may be nil;
	// connections are then direct.
	Proxy func(kind ConnKind, address string) string
}

// ConnKind is a kind of connection between the parts of a cluster.
type ConnKind string

// The kinds of connections inside a cluster.
const (
	// ConnStore is from an entry or agent to the platform's store.
	ConnStore ConnKind = "store"
	// ConnLink is from an agent to an entry.
	ConnLink ConnKind = "link"
	// ConnUpstream is from an agent to its upstream.
	ConnUpstream ConnKind = "upstream"
	// ConnHeartbeats is from an upstream to its agent.
	ConnHeartbeats ConnKind = "heartbeats"
)

// proxied returns the address through which other processes connect to the given address: Options.Proxy's, or the address itself.
func (c *Cluster) proxied(kind ConnKind, address settings.Address) settings.Address {
	if c.options.Proxy == nil {
		return address
	}
	return settings.Address(c.options.Proxy(kind, string(address)))
}

// Cluster is a running cluster. Upstreams[i] is the upstream of Agents[i]; Ledger records what all upstreams run.
type Cluster struct {
	options     Options
	Store       *standin.Store
	Ledger      *standin.Ledger
	Entries     []*entry.Process
	Agents      []*agent.Process
	Upstreams   []*standin.Upstream
	storeServer *web.Server
	stops       []func()
}

// The ports of the first entry under Options.FixedPorts.
const (
	fixedCallersPort = 7600
	fixedMetricsPort = 7500
)

// Start starts a cluster and waits until every entry has been ready, with the upstreams of all agents, for a stable period. If the
// cluster fails to start within startTimeout, Start stops it and returns an error.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{options: o, Store: standin.NewStore(), Ledger: standin.NewLedger()}
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	c.Configure(1)
	c.storeServer = web.New("the store", newAddress(), c.Store.Handler(), web.Internal)
	if err := c.serve(c.storeServer); err != nil {
		return err
	}
	for i := range c.options.Entries {
		if _, err := c.StartEntry(i, settings.Address(c.storeServer.Address())); err != nil {
			return err
		}
	}
	for i := range c.options.Agents {
		if err := c.StartAgent(i); err != nil {
			return err
		}
	}
	return c.awaitLinked()
}

// serve starts a server and registers it to be stopped with the cluster.
func (c *Cluster) serve(w *web.Server) error {
	if err := w.Start(context.Background()); err != nil {
		return err
	}
	c.stops = append(c.stops, w.Stop)
	return nil
}

// Configure writes a routing configuration with one queue for the platform's clients to the store.
func (c *Cluster) Configure(version uint64) {
	raw, err := standin.Routes(version, string(c.options.Service), 2, 100*time.Millisecond)
	if err != nil {
		panic("embedded: " + err.Error()) // all inputs except the version are constants
	}
	c.Store.Put(string(platform.ConfigKey.Table), platform.ConfigKey.Name, raw)
}

// newAddress returns an unused address for a server.
func newAddress() settings.Address {
	return settings.Address(loopback.Draw(loopback.Embedded, embeddedPort))
}

// embeddedPort is the port of all servers of a cluster. Each server has its own IP address.
const embeddedPort = 7400

// settings returns the settings of the i-th process of a role.
func (c *Cluster) settings(role string, i int) (*settings.Settings, error) {
	cfg, err := settings.Load("")
	if err != nil {
		return nil, err
	}
	cfg.Node.Name = fmt.Sprintf("%s-%d", role, i)
	cfg.Node.Zone = fmt.Sprintf("zone-%d", 1+i%3)
	cfg.Platform.Store = c.proxied(ConnStore, settings.Address(c.storeServer.Address()))
	cfg.Entry.OperatorToken = Token
	for _, a := range []*settings.Address{&cfg.Node.Link, &cfg.Node.Metrics, &cfg.Entry.Callers, &cfg.Entry.Front, &cfg.Agent.Control, &cfg.Agent.Upstream} {
		*a = newAddress()
	}
	if c.options.FixedPorts && role == "entry" && i == 0 {
		cfg.Entry.Callers = settings.Address(fmt.Sprintf("127.0.0.1:%d", fixedCallersPort))
		cfg.Node.Metrics = settings.Address(fmt.Sprintf("127.0.0.1:%d", fixedMetricsPort))
	}
	if c.options.Adjust != nil {
		c.options.Adjust(role, cfg)
	}
	return cfg, nil
}

func (c *Cluster) storeClient(cfg *settings.Settings) *platform.Store {
	return platform.NewStore(ident.Address(cfg.Platform.Store), cfg.Platform.Timeout)
}

// StartEntry starts one more entry that uses the store at the given address. If that is not the address of the cluster's store,
// the entry cannot register itself, so StartEntry gives its address to the agents directly.
func (c *Cluster) StartEntry(i int, store settings.Address) (*entry.Process, error) {
	cfg, err := c.settings("entry", i)
	if err != nil {
		return nil, err
	}
	if string(store) != c.storeServer.Address() {
		cfg.Platform.Store = store
	}
	cfg.Node.Advertise = c.proxied(ConnLink, cfg.Node.Link)
	log := c.options.Log.WithFields(logrus.Fields{"role": "entry", "node": cfg.Node.Name})
	p, err := entry.New(cfg, entry.Deps{
		Store: c.storeClient(cfg), Config: platform.ConfigKey, Cordons: platform.Cordons, Decode: platform.ReadConfig, Log: log,
		Front: func(n *node.Node) http.Handler { return platform.NewClientHandler(n, int64(cfg.Entry.MaxBody), log) },
	})
	if err != nil {
		return nil, err
	}
	if err := p.Start(context.Background()); err != nil {
		return nil, err
	}
	c.Entries = append(c.Entries, p)
	if string(store) != c.storeServer.Address() {
		for _, g := range c.Agents {
			g.Node.SetEntries([]fleet.Entry{
				{Address: ident.Address(c.Entries[0].Node.Address())}, {Address: ident.Address(p.Node.Address())},
			})
		}
	}
	return p, nil
}

// StartAgent starts an upstream and its agent.
func (c *Cluster) StartAgent(i int) error {
	cfg, err := c.settings("agent", i)
	if err != nil {
		return err
	}
	log := c.options.Log.WithFields(logrus.Fields{"role": "agent", "node": cfg.Node.Name})
	u := standin.NewUpstream(standin.UpstreamOptions{
		Name: fmt.Sprintf("upstream-%d", i), Service: string(c.options.Service), Agent: string(c.proxied(ConnHeartbeats, cfg.Agent.Control)),
		CPU: c.options.Cores * 1000, MemMB: 64 << 10, Labels: []string{fmt.Sprintf("rack-%d", i/3)}, HeartbeatInterval: 200 * time.Millisecond,
		Ledger: c.Ledger, OmitBorn: c.options.OmitBorn,
	})
	c.stops = append(c.stops, u.Close)
	c.Upstreams = append(c.Upstreams, u)
	if err := c.serve(web.New("the upstream", cfg.Agent.Upstream, u.Handler(), web.Internal)); err != nil {
		return err
	}
	calls := platform.NewUpstream(ident.Address(c.proxied(ConnUpstream, cfg.Agent.Upstream)), cfg.Agent.Connections, cfg.Agent.CallTimeout)
	p, err := agent.New(cfg, agent.Deps{
		Store: c.storeClient(cfg), Upstream: calls, Cordons: platform.Cordons, Dial: session.TCP, Log: log,
		Heartbeats: func(n *agentnode.Node) http.Handler { return platform.NewHeartbeatHandler(n, c.options.Service, log) },
	})
	if err != nil {
		return err
	}
	if err := p.Start(context.Background()); err != nil {
		return err
	}
	c.Agents = append(c.Agents, p)
	return nil
}

// startTimeout bounds how long a cluster may take to come up.
const startTimeout = 20 * time.Second

const (
	// pollInterval is the pause between two checks whether the cluster has come up.
	pollInterval = 10 * time.Millisecond
	// stablePeriod is how long every check must succeed before the cluster counts as up. A single check does not suffice: for up to
	// 250 ms (Links.LinkTimeout with the default settings) an entry still counts a link that its agent has abandoned or that has
	// gone silent, and a check reads the entries one after another while links may be moving between them.
	stablePeriod = 300 * time.Millisecond
)

// awaitLinked waits until allLinked has held for stablePeriod. It returns an error after startTimeout.
func (c *Cluster) awaitLinked() error {
	if !staysLinked(c.allLinked, time.Now().Add(startTimeout)) {
		return errors.Errorf("embedded: the cluster did not come up within %v", startTimeout)
	}
	return nil
}

// staysLinked polls linked and reports whether it returned true at every check for stablePeriod before the time until.
func staysLinked(linked func() bool, until time.Time) bool {
	since := time.Now()
	for now := since; now.Before(until); now = time.Now() {
		if !linked() {
			since = time.Now()
		}
		if time.Since(since) >= stablePeriod {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// allLinked reports whether every entry is ready and has as many ready upstreams as the cluster has agents.
func (c *Cluster) allLinked() bool {
	for _, e := range c.Entries {
		if ready, _ := e.Node.Ready(); !ready || e.Node.UpstreamsReady() < c.options.Agents {
			return false
		}
	}
	return true
}

// Callers returns the address of each entry's own API for callers.
func (c *Cluster) Callers() []string {
	var out []string
	for _, e := range c.Entries {
		out = append(out, e.Callers.Address())
	}
	return out
}

// Stop stops all processes, stand-ins and servers immediately, without draining.
func (c *Cluster) Stop() {
	for _, e := range c.Entries {
		e.Stop()
	}
	for _, a := range c.Agents {
		a.Stop()
	}
	for _, stop := range c.stops {
		stop()
	}
}
