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
	Unborn bool
	// Adjust changes the settings of a process before it starts; it may be nil.
	Adjust func(role string, s *settings.Settings)
	// Through returns the address under which others reach an address of the set: that of a proxy. It may be nil.
	Through func(kind Path, address string) string
}

// Path is a kind of connection.
type Path string

// The kinds of connections inside a set.
const (
	PathStore    Path = "store"
	PathLink     Path = "link"
	PathUpstream Path = "upstream"
	PathBeats    Path = "heartbeats"
)

// through returns the address under which others reach an address of the set.
func (s *Set) through(kind Path, address settings.Address) settings.Address {
	if s.o.Through == nil {
		return address
	}
	return settings.Address(s.o.Through(kind, string(address)))
}

// Set is a running set.
type Set struct {
	o         Options
	Store     *standin.Store
	Ledger    *standin.Ledger
	Entries   []*entry.Process
	Agents    []*agent.Process
	Upstreams []*standin.Upstream
	store     *web.Server
	stops     []func()
}

// fixed ports of the first entry of a set that is kept.
const (
	fixedCallers = 7600
	fixedMetrics = 7500
)

// Start starts a set and waits until every agent is linked to every entry and stays so.
func Start(o Options) (*Set, error) {
	s := &Set{o: o, Store: standin.NewStore(), Ledger: standin.NewLedger()}
	if err := s.start(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Set) start() error {
	s.Configure(1)
	s.store = web.New("the store", freeAddress(), s.Store.Handler(), web.Internal)
	if err := s.serve(s.store); err != nil {
		return err
	}
	for i := range s.o.Entries {
		if _, err := s.StartEntry(i, settings.Address(s.store.Address())); err != nil {
			return err
		}
	}
	for i := range s.o.Agents {
		if err := s.StartAgent(i); err != nil {
			return err
		}
	}
	return s.await()
}

// serve starts a server that ends with the set.
func (s *Set) serve(w *web.Server) error {
	if err := w.Start(context.Background()); err != nil {
		return err
	}
	s.stops = append(s.stops, w.Stop)
	return nil
}

// Configure puts a configuration with one queue, for the platform's clients, into the store.
func (s *Set) Configure(version uint64) {
	raw, err := standin.Routes(version, string(s.o.Service), 2, 100*time.Millisecond)
	if err != nil {
		panic("embedded: " + err.Error()) // it is made of constants
	}
	s.Store.Put(string(platform.ConfigKey.Table), platform.ConfigKey.Name, raw)
}

// freeAddress draws an address for a server.
func freeAddress() settings.Address {
	return settings.Address(loopback.Draw(loopback.Embedded, embeddedPort))
}

// embeddedPort is the port of all servers of a set.
const embeddedPort = 7400

// settings returns a process's settings.
func (s *Set) settings(role string, i int) (*settings.Settings, error) {
	set, err := settings.Load("")
	if err != nil {
		return nil, err
	}
	set.Node.Name = fmt.Sprintf("%s-%d", role, i)
	set.Node.Zone = fmt.Sprintf("zone-%d", 1+i%3)
	set.Platform.Store = s.through(PathStore, settings.Address(s.store.Address()))
	set.Entry.OperatorToken = Token
	for _, a := range []*settings.Address{&set.Node.Link, &set.Node.Metrics, &set.Entry.Callers, &set.Entry.Front, &set.Agent.Control, &set.Agent.Upstream} {
		*a = freeAddress()
	}
	if s.o.FixedPorts && role == "entry" && i == 0 {
		set.Entry.Callers = settings.Address(fmt.Sprintf("127.0.0.1:%d", fixedCallers))
		set.Node.Metrics = settings.Address(fmt.Sprintf("127.0.0.1:%d", fixedMetrics))
	}
	if s.o.Adjust != nil {
		s.o.Adjust(role, set)
	}
	return set, nil
}

func (s *Set) client(set *settings.Settings) *platform.Store {
	return platform.NewStore(ident.Address(set.Platform.Store), set.Platform.Timeout)
}

// StartEntry starts one more entry, which finds the store at an address. Without a store, nobody learns of it but
// the agents, which are told here.
func (s *Set) StartEntry(i int, store settings.Address) (*entry.Process, error) {
	set, err := s.settings("entry", i)
	if err != nil {
		return nil, err
	}
	if string(store) != s.store.Address() {
		set.Platform.Store = store
	}
	set.Node.Advertise = s.through(PathLink, set.Node.Link)
	log := s.o.Log.WithFields(logrus.Fields{"role": "entry", "node": set.Node.Name})
	p, err := entry.New(set, entry.Deps{
		Store: s.client(set), Config: platform.ConfigKey, Cordons: platform.Cordons, Decode: platform.ReadConfig, Log: log,
		Front: func(n *node.Node) http.Handler { return platform.NewClientHandler(n, int64(set.Entry.MaxBody), log) },
	})
	if err != nil {
		return nil, err
	}
	if err := p.Start(context.Background()); err != nil {
		return nil, err
	}
	s.Entries = append(s.Entries, p)
	if string(store) != s.store.Address() {
		for _, g := range s.Agents {
			g.Node.SetEntries([]fleet.Entry{
				{Address: ident.Address(s.Entries[0].Node.Address())}, {Address: ident.Address(p.Node.Address())},
			})
		}
	}
	return p, nil
}

// StartAgent starts an upstream and the agent beside it.
func (s *Set) StartAgent(i int) error {
	set, err := s.settings("agent", i)
	if err != nil {
		return err
	}
	log := s.o.Log.WithFields(logrus.Fields{"role": "agent", "node": set.Node.Name})
	u := standin.NewUpstream(standin.UpstreamOptions{
		Name: fmt.Sprintf("upstream-%d", i), Service: string(s.o.Service), Agent: string(s.through(PathBeats, set.Agent.Control)),
		CPU: s.o.Cores * 1000, MemMB: 64 << 10, Labels: []string{fmt.Sprintf("rack-%d", i/3)}, HeartbeatInterval: 200 * time.Millisecond,
		Ledger: s.Ledger, OmitBorn: s.o.Unborn,
	})
	s.stops = append(s.stops, u.Close)
	s.Upstreams = append(s.Upstreams, u)
	if err := s.serve(web.New("the upstream", set.Agent.Upstream, u.Handler(), web.Internal)); err != nil {
		return err
	}
	calls := platform.NewUpstream(ident.Address(s.through(PathUpstream, set.Agent.Upstream)), set.Agent.Connections, set.Agent.CallTimeout)
	p, err := agent.New(set, agent.Deps{
		Store: s.client(set), Upstream: calls, Cordons: platform.Cordons, Dial: session.TCP, Log: log,
		Heartbeats: func(n *agentnode.Node) http.Handler { return platform.NewHeartbeatHandler(n, s.o.Service, log) },
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
const startLimit = 20 * time.Second

const (
	// lookEvery is the pause between two looks at whether a set has come up.
	lookEvery = 10 * time.Millisecond
	// staysUp is for how long all looks must find a set linked. An entry counts a link that its agent has given up, or that
	// has fallen silent, for up to 250 ms (Links.Quiet by default), and a set whose links move is looked at entry by entry.
	staysUp = 300 * time.Millisecond
)

// await waits until all agents are linked to all entries and have their upstreams, and stay so.
func (s *Set) await() error {
	if !staysLinked(s.linked, time.Now().Add(startLimit)) {
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
		if time.Since(since) >= staysUp {
			return true
		}
		time.Sleep(lookEvery)
	}
	return false
}

func (s *Set) linked() bool {
	for _, e := range s.Entries {
		if ready, _ := e.Node.Ready(); !ready || e.Node.UpstreamsReady() < s.o.Agents {
			return false
		}
	}
	return true
}

// Callers lists the addresses of the entries' own APIs.
func (s *Set) Callers() []string {
	var out []string
	for _, e := range s.Entries {
		out = append(out, e.Callers.Address())
	}
	return out
}

// Stop ends everything at once.
func (s *Set) Stop() {
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
