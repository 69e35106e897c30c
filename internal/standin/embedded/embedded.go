// Package embedded runs a whole set in one process, over loopback: the stand-ins for the platform's store and for
// upstreams, agents and entries. The demo and the tests use it.
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

// Token is the operators' token of an embedded set.
const Token = "embedded-operator-token"

// Options describe a set.
type Options struct {
	Entries, Agents int
	// Service is what all upstreams serve.
	Service ident.Service
	// Cores of each upstream.
	Cores int64
	Log   *logrus.Entry
	// FixedPorts puts the first entry's APIs at the ports of hillreel.ini's examples: 7600 and 7500.
	FixedPorts bool
	// Unborn: upstreams do not tell when their lives began.
	OmitBorn bool
	// Adjust changes the settings of a process before it starts; it may be nil.
	Adjust func(role string, s *settings.Settings)
	// Through returns the address under which others reach an address of the set: that of a proxy. It may be nil.
	Proxy func(kind ConnKind, address string) string
}

// Path is a kind of connection.
type ConnKind string

// The kinds of connections inside a set.
const (
	ConnStore      ConnKind = "store"
	ConnLink       ConnKind = "link"
	ConnUpstream   ConnKind = "upstream"
	ConnHeartbeats ConnKind = "heartbeats"
)

// through returns the address under which others reach an address of the set.
func (s *Cluster) proxied(kind ConnKind, address settings.Address) settings.Address {
	if s.options.Proxy == nil {
		return address
	}
	return settings.Address(s.options.Proxy(kind, string(address)))
}

// Set is a running set.
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

// fixed ports of the first entry of a set that is kept.
const (
	fixedCallersPort = 7600
	fixedMetricsPort = 7500
)

// Start starts a set and waits until every agent is linked to every entry and stays so.
func Start(o Options) (*Cluster, error) {
	s := &Cluster{options: o, Store: standin.NewStore(), Ledger: standin.NewLedger()}
	if err := s.start(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Cluster) start() error {
	s.Configure(1)
	s.storeServer = web.New("the store", newAddress(), s.Store.Handler(), web.Internal)
	if err := s.serve(s.storeServer); err != nil {
		return err
	}
	for i := range s.options.Entries {
		if _, err := s.StartEntry(i, settings.Address(s.storeServer.Address())); err != nil {
			return err
		}
	}
	for i := range s.options.Agents {
		if err := s.StartAgent(i); err != nil {
			return err
		}
	}
	return s.awaitLinked()
}

// serve starts a server that ends with the set.
func (s *Cluster) serve(w *web.Server) error {
	if err := w.Start(context.Background()); err != nil {
		return err
	}
	s.stops = append(s.stops, w.Stop)
	return nil
}

// Configure puts a configuration with one queue, for the platform's clients, into the store.
func (s *Cluster) Configure(version uint64) {
	raw, err := standin.Routes(version, string(s.options.Service), 2, 100*time.Millisecond)
	if err != nil {
		panic("embedded: " + err.Error()) // it is made of constants
	}
	s.Store.Put(string(platform.ConfigKey.Table), platform.ConfigKey.Name, raw)
}

// freeAddress draws an address for a server.
func newAddress() settings.Address {
	return settings.Address(loopback.Draw(loopback.Embedded, embeddedPort))
}

// embeddedPort is the port of all servers of a set.
const embeddedPort = 7400

// settings returns a process's settings.
func (s *Cluster) settings(role string, i int) (*settings.Settings, error) {
	set, err := settings.Load("")
	if err != nil {
		return nil, err
	}
	set.Node.Name = fmt.Sprintf("%s-%d", role, i)
	set.Node.Zone = fmt.Sprintf("zone-%d", 1+i%3)
	set.Platform.Store = s.proxied(ConnStore, settings.Address(s.storeServer.Address()))
	set.Entry.OperatorToken = Token
	for _, a := range []*settings.Address{&set.Node.Link, &set.Node.Metrics, &set.Entry.Callers, &set.Entry.Front, &set.Agent.Control, &set.Agent.Upstream} {
		*a = newAddress()
	}
	if s.options.FixedPorts && role == "entry" && i == 0 {
		set.Entry.Callers = settings.Address(fmt.Sprintf("127.0.0.1:%d", fixedCallersPort))
		set.Node.Metrics = settings.Address(fmt.Sprintf("127.0.0.1:%d", fixedMetricsPort))
	}
	if s.options.Adjust != nil {
		s.options.Adjust(role, set)
	}
	return set, nil
}

func (s *Cluster) storeClient(set *settings.Settings) *platform.Store {
	return platform.NewStore(ident.Address(set.Platform.Store), set.Platform.Timeout)
}

// StartEntry starts one more entry, which finds the store at an address. Without a store, nobody learns of it but
// the agents, which are told here.
func (s *Cluster) StartEntry(i int, store settings.Address) (*entry.Process, error) {
	set, err := s.settings("entry", i)
	if err != nil {
		return nil, err
	}
	if string(store) != s.storeServer.Address() {
		set.Platform.Store = store
	}
	set.Node.Advertise = s.proxied(ConnLink, set.Node.Link)
	log := s.options.Log.WithFields(logrus.Fields{"role": "entry", "node": set.Node.Name})
	p, err := entry.New(set, entry.Deps{
		Store: s.storeClient(set), Config: platform.ConfigKey, Cordons: platform.Cordons, Decode: platform.ReadConfig, Log: log,
		Front: func(n *node.Node) http.Handler { return platform.NewFront(n, int64(set.Entry.MaxBody), log) },
	})
	if err != nil {
		return nil, err
	}
	if err := p.Start(context.Background()); err != nil {
		return nil, err
	}
	s.Entries = append(s.Entries, p)
	if string(store) != s.storeServer.Address() {
		for _, g := range s.Agents {
			g.Node.SetEntries([]fleet.Entry{
				{Address: ident.Address(s.Entries[0].Node.Address())}, {Address: ident.Address(p.Node.Address())},
			})
		}
	}
	return p, nil
}

// StartAgent starts an upstream and the agent beside it.
func (s *Cluster) StartAgent(i int) error {
	set, err := s.settings("agent", i)
	if err != nil {
		return err
	}
	log := s.options.Log.WithFields(logrus.Fields{"role": "agent", "node": set.Node.Name})
	u := standin.NewUpstream(standin.UpstreamOptions{
		Name: fmt.Sprintf("upstream-%d", i), Service: string(s.options.Service), Agent: string(s.proxied(ConnHeartbeats, set.Agent.Control)),
		CPU: s.options.Cores * 1000, MemMB: 64 << 10, Labels: []string{fmt.Sprintf("rack-%d", i/3)}, Beat: 200 * time.Millisecond,
		Ledger: s.Ledger, Unborn: s.options.OmitBorn,
	})
	s.stops = append(s.stops, u.Close)
	s.Upstreams = append(s.Upstreams, u)
	if err := s.serve(web.New("the upstream", set.Agent.Upstream, u.Handler(), web.Internal)); err != nil {
		return err
	}
	calls := platform.NewUpstream(ident.Address(s.proxied(ConnUpstream, set.Agent.Upstream)), set.Agent.Connections, set.Agent.CallTimeout)
	p, err := agent.New(set, agent.Deps{
		Store: s.storeClient(set), Upstream: calls, Cordons: platform.Cordons, Dial: session.TCP, Log: log,
		Heartbeats: func(n *agentnode.Node) http.Handler { return platform.Beats(n, s.options.Service, log) },
	})
	if err != nil {
		return err
	}
	if err := p.Start(context.Background()); err != nil {
		return err
	}
	s.Agents = append(s.Agents, p)
	return nil
}

// startLimit bounds the start of a set.
const startTimeout = 20 * time.Second

const (
	// lookEvery is the pause between two looks at whether a set has come up.
	pollInterval = 10 * time.Millisecond
	// staysUp is for how long all looks must find a set linked. An entry counts a link that its agent has given up, or that
	// has fallen silent, for up to 250 ms (Links.Quiet by default), and a set whose links move is looked at entry by entry.
	stablePeriod = 300 * time.Millisecond
)

// await waits until all agents are linked to all entries and have their upstreams, and stay so.
func (s *Cluster) awaitLinked() error {
	if !staysLinked(s.allLinked, time.Now().Add(startTimeout)) {
		return errors.New("embedded: the set did not come up")
	}
	return nil
}

// staysLinked looks again and again, and tells whether all looks of a while found the set linked before a moment.
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

func (s *Cluster) allLinked() bool {
	for _, e := range s.Entries {
		if ready, _ := e.Node.Ready(); !ready || e.Node.UpstreamsReady() < s.options.Agents {
			return false
		}
	}
	return true
}

// Callers lists the addresses of the entries' own APIs.
func (s *Cluster) Callers() []string {
	var out []string
	for _, e := range s.Entries {
		out = append(out, e.Callers.Address())
	}
	return out
}

// Stop ends everything at once.
func (s *Cluster) Stop() {
	for _, e := range s.Entries {
		e.Stop()
	}
	for _, a := range s.Agents {
		a.Stop()
	}
	for _, stop := range s.stops {
		stop()
	}
}
