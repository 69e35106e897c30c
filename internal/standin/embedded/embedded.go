// Package embedded runs a whole set in one process over loopback TCP: the platform stand-in, entries,
// agents and upstream stand-ins. It serves the demo, the load tool and tests.
package embedded

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	agent "hillreel/internal/agent/process"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/settings"
	"hillreel/internal/entry/job"
	entry "hillreel/internal/entry/process"
	"hillreel/internal/link/session"
	"hillreel/internal/platform/vms"
	"hillreel/internal/policy/placement"
	"hillreel/internal/standin/platform"
	"hillreel/internal/standin/upstream"
)

// anyPort lets the system choose a port on loopback.
const anyPort = "127.0.0.1:0"

// The ports of entry 0 with FixedPorts, the defaults of the settings.
const (
	firstCallersPort = 7600
	firstOpsPort     = 7500
)

// Token is the operators' token of an embedded set.
const Token = "embedded-operator-token"

// mintWait bounds the wait for the first links.
const mintWait = 10 * time.Second

// Options say how large the set is and what it does. Zero values give today's size.
type Options struct {
	Entries, Agents int
	Zones           int
	Slots           int
	Least, Most     time.Duration
	Seed            uint64
	// Lag is how far the platform's list lags.
	Lag time.Duration
	// FixedPorts puts entry i's callers on port 7600+i and its operators on 7500+i.
	FixedPorts bool
	// Tune changes the settings of every process.
	Tune func(*settings.Settings)
	// Placer makes the placement policy of entry i; nil gives the default.
	Placer func(i int) job.Placer
	// Dial replaces the dialer of the entries in one availability zone.
	Dial func(from ident.Zone) session.Dialer
	// Created is called with the set before anything in it starts; it may be nil.
	Created func(*Set)
	Log     *logrus.Entry
}

// Set is a running set.
type Set struct {
	opt       Options
	Platform  *platform.Server
	Recorder  *upstream.Recorder
	Upstreams []*upstream.Server
	Agents    []*agent.Process
	Entries   []*entry.Process
	address   string

	mu sync.Mutex
	// zones holds the availability zone of each process by the address where it listens.
	zones map[ident.Address]ident.Zone
}

func (o *Options) fill() {
	set := func(v *int, def int) {
		if *v == 0 {
			*v = def
		}
	}
	set(&o.Entries, 3)
	set(&o.Agents, 10)
	set(&o.Zones, 3)
	set(&o.Slots, 8)
	if o.Most == 0 {
		o.Least, o.Most = 50*time.Millisecond, time.Second
	}
}

// Start builds a set and waits until every entry is linked to every agent.
func Start(o Options) (*Set, error) {
	o.fill()
	s := &Set{
		opt: o, Platform: platform.New(o.Lag), Recorder: upstream.NewRecorder(),
		zones: make(map[ident.Address]ident.Zone),
	}
	if o.Created != nil {
		o.Created(s)
	}
	address, err := s.Platform.Start(anyPort)
	if err != nil {
		return nil, err
	}
	s.address = address
	for i := range o.Agents {
		if _, err := s.AddAgent(i); err != nil {
			s.Stop()
			return nil, err
		}
	}
	for i := range o.Entries {
		if _, err := s.AddEntry(i); err != nil {
			s.Stop()
			return nil, err
		}
	}
	if err := s.awaitLinks(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// Zone names the availability zone of the i-th VM of a role.
func (s *Set) Zone(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%d", i%s.opt.Zones+1)) }

func (s *Set) settings(name string, i int) (*settings.Settings, error) {
	set, err := settings.Load("")
	if err != nil {
		return nil, err
	}
	set.Node = settings.Node{Name: name, Zone: string(s.Zone(i)), Region: "region-1", Link: anyPort, Ops: anyPort}
	set.Entry.Callers = anyPort
	set.Entry.OperatorToken = Token
	set.Jobs.MACKeys = settings.Secrets{"embedded-set-mac-key"}
	set.Platform.Address = settings.Address(s.address)
	set.Platform.ListEvery = 100 * time.Millisecond
	set.Agent.Slots = s.opt.Slots
	if s.opt.Tune != nil {
		s.opt.Tune(set)
	}
	return set, nil
}

// AddAgent starts upstream i with an agent beside it.
func (s *Set) AddAgent(i int) (*agent.Process, error) {
	up := upstream.New(s.Recorder, s.opt.Least, s.opt.Most, s.opt.Seed+uint64(i))
	address, err := up.Start(anyPort)
	if err != nil {
		return nil, err
	}
	s.Upstreams = append(s.Upstreams, up)
	name := fmt.Sprintf("upstream-%d", i+1)
	set, err := s.settings(name, i)
	if err != nil {
		return nil, err
	}
	set.Agent.Upstream = address
	p, err := agent.New(set, s.opt.Log.WithFields(logrus.Fields{"role": "agent", "node": name}))
	if err != nil {
		return nil, err
	}
	if err := p.Start(context.Background()); err != nil {
		return nil, err
	}
	s.Agents = append(s.Agents, p)
	s.list(name, vms.Agent, p.Node.Address(), i)
	return p, nil
}

// AddEntry starts entry i.
func (s *Set) AddEntry(i int) (*entry.Process, error) {
	name := fmt.Sprintf("entry-%d", i+1)
	set, err := s.settings(name, i)
	if err != nil {
		return nil, err
	}
	if s.opt.FixedPorts {
		set.Entry.Callers = settings.Address(fmt.Sprintf("127.0.0.1:%d", firstCallersPort+i))
		set.Node.Ops = settings.Address(fmt.Sprintf("127.0.0.1:%d", firstOpsPort+i))
	}
	d := entry.Deps{
		Dial: session.TCP, Placer: placement.New(placement.Name(set.Policy.Placement), s.opt.Seed+uint64(i)),
		Log: s.opt.Log.WithFields(logrus.Fields{"role": "entry", "node": name}),
	}
	if s.opt.Placer != nil {
		d.Placer = s.opt.Placer(i)
	}
	if s.opt.Dial != nil {
		d.Dial = s.opt.Dial(s.Zone(i))
	}
	p, err := entry.New(set, d)
	if err != nil {
		return nil, err
	}
	if err := p.Start(context.Background()); err != nil {
		return nil, err
	}
	s.Entries = append(s.Entries, p)
	s.list(name, vms.Entry, p.Node.Address(), i)
	return p, nil
}

func (s *Set) list(name string, role vms.Role, address string, i int) {
	s.mu.Lock()
	s.zones[ident.Address(address)] = s.Zone(i)
	s.mu.Unlock()
	s.Platform.SetVM(vms.VM{
		Name: name, Role: role, Address: ident.Address(address), Zone: s.Zone(i), Region: "region-1", State: vms.Live,
	})
}

// Callers returns the callers' addresses of all entries.
func (s *Set) Callers() []string {
	var out []string
	for _, e := range s.Entries {
		out = append(out, e.Callers.Address())
	}
	return out
}

// ZoneOf returns the availability zone of the process that listens at address for links.
func (s *Set) ZoneOf(address ident.Address) ident.Zone {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.zones[address]
}

// KillAgent ends upstream i and its agent at once; the platform's list drops it after its lag.
func (s *Set) KillAgent(i int) {
	s.Agents[i].Stop()
	s.Upstreams[i].Stop()
	s.Platform.RemoveVM(fmt.Sprintf("upstream-%d", i+1))
}

// KillEntry ends entry i at once.
func (s *Set) KillEntry(i int) {
	s.Entries[i].Stop()
	s.Platform.RemoveVM(fmt.Sprintf("entry-%d", i+1))
}

// Violations returns how many tasks of the set's upstreams were started twice, and all violations in this process.
func (s *Set) Violations() int64 { return invariant.Violations() }

// PlatformAddress returns the address of the platform stand-in.
func (s *Set) PlatformAddress() string { return s.address }

func (s *Set) awaitLinks() error {
	deadline := time.Now().Add(mintWait)
	for _, e := range s.Entries {
		for {
			st := e.Node.Status()
			if st.Agents >= s.opt.Agents && st.Peers >= s.opt.Entries-1 && s.mints(e) {
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("embedded set: after %s an entry has %d links to agents and %d to entries", mintWait, st.Agents, st.Peers)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

func (s *Set) mints(e *entry.Process) bool {
	_, err := e.Node.Mint("publish", 1)
	return err == nil
}

// Stop ends the whole set.
func (s *Set) Stop() {
	for _, e := range s.Entries {
		e.Stop()
	}
	for _, a := range s.Agents {
		a.Stop()
	}
	for _, u := range s.Upstreams {
		u.Stop()
	}
	s.Platform.Stop()
}

// AgentAddress returns where agent i listens for entries.
func (s *Set) AgentAddress(i int) ident.Address { return ident.Address(s.Agents[i].Node.Address()) }
