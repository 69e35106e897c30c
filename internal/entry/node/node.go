// Package node is the entry process's control part: it keeps the table of jobs on one control goroutine,
// holds the links to the agents of its region and to the other entries, and follows the platform's list.
package node

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/config/object"
	"hillreel/internal/core/bus"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/loop"
	"hillreel/internal/core/settings"
	"hillreel/internal/entry/burn"
	"hillreel/internal/entry/job"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
	"hillreel/internal/platform/vms"
	"hillreel/internal/policy/estimate"
	"hillreel/internal/policy/order"
)

// Node is one entry.
type Node struct {
	set    *settings.Settings
	inc    ident.Incarnation
	log    *logrus.Entry
	bus    *bus.Bus
	dial   session.Dialer
	signer *ident.Signer
	placer job.Placer
	ended  func(burn.Job)
	now    func() time.Time
	loop   *loop.Loop
	ln     net.Listener
	ctx    context.Context
	cancel context.CancelFunc
	// objectives is a snapshot that any goroutine may read.
	objectives atomic.Pointer[[]object.Objective]

	// The fields below belong to the control goroutine.
	table   *job.Table
	config  *configControl
	agents  map[ident.Incarnation]link
	peers   map[ident.Incarnation]link
	counter uint64
	// dialled holds the addresses that a goroutine keeps a link to.
	dialled map[ident.Address]context.CancelFunc
}

type link struct {
	number  uint64
	session *session.Session
	address ident.Address
}

type linkUp struct {
	session *session.Session
	// ended is closed once the link is down; it may be nil.
	ended chan struct{}
}

type linkDown struct {
	role   string
	from   ident.Incarnation
	number uint64
}

type received struct {
	role   string
	from   ident.Incarnation
	number uint64
	msgs   []*wire.Msg
}

type members struct{ list vms.List }

// Deps are what an entry needs of its surroundings.
type Deps struct {
	Bus    *bus.Bus
	Dial   session.Dialer
	Signer *ident.Signer
	Placer job.Placer
	Now    func() time.Time
	// Ended is told of every job that the entry ends; it may be nil.
	Ended func(burn.Job)
	Log   *logrus.Entry
}

// New returns an entry that has not started.
func New(set *settings.Settings, d Deps) *Node {
	return &Node{
		set: set, inc: ident.NewIncarnation(), log: d.Log, bus: d.Bus, dial: d.Dial, signer: d.Signer,
		ended: d.Ended, placer: d.Placer, now: d.Now, loop: loop.New(), config: newConfigControl(),
		agents:  make(map[ident.Incarnation]link),
		peers:   make(map[ident.Incarnation]link),
		dialled: make(map[ident.Address]context.CancelFunc),
	}
}

// Start listens for other entries and begins to follow the platform's list.
func (n *Node) Start(context.Context) error {
	ln, err := net.Listen("tcp", string(n.set.Node.Link))
	if err != nil {
		return errors.Wrap(err, "entry: listen for entries")
	}
	n.ln = ln
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.table = job.New(job.Options{
		Self: n.inc, Address: ident.Address(n.Address()),
		Zone: ident.Zone(n.set.Node.Zone), Region: ident.Region(n.set.Node.Region), Signer: n.signer,
		Retention: n.set.Jobs.Retention, AnswerWait: n.set.Jobs.AnswerWait,
		SuspectAfter: n.set.Links.SuspectAfter, GoneAfter: n.set.Links.GoneAfter,
		QueueLimit: n.set.Entry.QueueLimit, AnswerBytes: int(n.set.Entry.AnswerBytes),
		Now: n.now, Log: n.log,
		Order: order.New(order.Name(n.set.Policy.Order), n.set.Policy.Ageing), LongestFirst: n.set.Policy.LongestFirst,
		Estimate: estimate.New(n.set.Policy.Learn), Prefetch: n.set.Policy.Prefetch, MaxWait: n.set.Policy.MaxWait, MaxRoster: n.set.Jobs.MaxRoster, Guard: n.set.Policy.Guard,
		Ended: n.ended,
	}, (*links)(n), n.placer)
	go n.loop.Run(n.set.Links.Tick, n.handle, n.table.Tick)
	if err := bus.Subscribe(n.ctx, n.bus, bus.Members, func(l vms.List) { n.loop.Post(members{l}) }); err != nil {
		return err
	}
	if err := n.subscribeConfig(); err != nil {
		return err
	}
	go n.accept()
	n.log.WithFields(logrus.Fields{"incarnation": n.inc, "link": ln.Addr()}).Info("entry_started")
	return nil
}

// Address returns where the entry listens for other entries.
func (n *Node) Address() string { return n.ln.Addr().String() }

// Incarnation returns this entry's incarnation.
func (n *Node) Incarnation() ident.Incarnation { return n.inc }

// Stop ends at once.
func (n *Node) Stop() {
	n.ln.Close()
	n.cancel()
	n.loop.Call(func() {
		for _, l := range n.agents {
			l.session.Close()
		}
		for _, l := range n.peers {
			l.session.Close()
		}
	})
	n.loop.Stop()
}

// Drain hands the unused ids over, and returns when this entry's jobs have ended or ctx ends.
func (n *Node) Drain(ctx context.Context) {
	n.loop.Call(n.table.Drain)
	n.log.Info("entry_leaving")
	for ctx.Err() == nil {
		open := 0
		n.loop.Call(func() { open = n.table.Open() })
		if open == 0 {
			break
		}
		time.Sleep(n.set.Links.Tick)
	}
	var sessions []*session.Session
	n.loop.Call(func() {
		n.table.Tick()
		for _, l := range n.agents {
			sessions = append(sessions, l.session)
		}
		for _, l := range n.peers {
			sessions = append(sessions, l.session)
		}
	})
	for _, s := range sessions {
		s.Flush(time.Second)
	}
}

// Mint returns n fresh ids.
func (n *Node) Mint(service ident.Service, count int) (ids []ident.JobID, err error) {
	n.loop.Call(func() { ids, err = n.table.Mint(service, count) })
	return ids, err
}

// Do serves one request; the answer comes on the channel, once.
func (n *Node) Do(req job.Request) <-chan *wire.Answer {
	answers := make(chan *wire.Answer, 1)
	req.Answer = func(a *wire.Answer) { answers <- a }
	n.loop.Post(func() { n.table.Do(req) })
	return answers
}

// Signer returns what checks job ids.
func (n *Node) Signer() *ident.Signer { return n.signer }

// Status is what metrics and health show of an entry.
type Status struct {
	Incarnation string
	Agents      int
	Peers       int
	Open        int
	Waiting     int
	Leaving     bool
	Config      ident.ConfigVersion
	Counts      job.Counts
}

// Status returns the present state.
func (n *Node) Status() Status {
	var s Status
	n.loop.Call(func() {
		s = Status{
			n.inc.String(), len(n.agents), len(n.peers), n.table.Open(), n.table.Waiting(),
			n.table.Leaving(), n.config.adopter.Current().Version(), n.table.Counts(),
		}
	})
	return s
}

// Ready tells whether callers' jobs can be taken, and why not.
func (n *Node) Ready() (bool, string) {
	s := n.Status()
	switch {
	case s.Leaving:
		return false, "leaving"
	case s.Agents == 0:
		return false, "no link to any agent"
	}
	return true, "ready"
}

func (n *Node) handle(e loop.Event) {
	switch e := e.(type) {
	case linkUp:
		n.handleLinkUp(e)
	case linkDown:
		n.handleLinkDown(e)
	case received:
		n.handleReceived(e)
	case newState:
		n.handleNewState(e.state)
	case members:
		n.handleMembers(e.list)
	}
}

func (n *Node) handleReceived(e received) {
	for _, m := range e.msgs {
		if c := m.GetConfig(); c != nil {
			n.handleConfig(e.from, c)
			continue
		}
		if c := m.GetConfigRunning(); c != nil {
			n.handleConfigRunning(e.from, c)
			continue
		}
		if e.role == string(vms.Agent) {
			n.table.FromAgent(e.from, e.number, m)
			continue
		}
		n.table.FromPeer(e.from, m)
	}
}

// links sends the table's messages.
type links Node

// ToAgent drops the message when there is no link.
func (l *links) ToAgent(to ident.Incarnation, m *wire.Msg) {
	if x, ok := l.agents[to]; ok {
		x.session.Send(m)
	}
}

// ToPeer drops the message when there is no link.
func (l *links) ToPeer(to ident.Incarnation, m *wire.Msg) {
	if x, ok := l.peers[to]; ok {
		x.session.Send(m)
	}
}
