// Package node is the agent process: it accepts links from entries, keeps the ledger on one control
// goroutine, and runs tasks on its upstream on others.
package node

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/ledger"
	"hillreel/internal/config/state"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/loop"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// ackWait bounds how long a leaving agent waits for its last results to be acknowledged.
const ackWait = 3 * time.Second

// Runner runs one task and returns when it has ended.
type Runner interface {
	Run(ctx context.Context, t ledger.Task) ledger.Outcome
}

// Node is one agent.
type Node struct {
	set    *settings.Settings
	inc    ident.Incarnation
	log    *logrus.Entry
	runner Runner
	loop   *loop.Loop
	ln     net.Listener
	ctx    context.Context
	cancel context.CancelFunc

	// The fields below belong to the control goroutine.
	ledger  *ledger.Ledger
	config  *state.Adopter
	links   map[ident.Incarnation]link
	counter uint64
	leaving bool
}

type link struct {
	number  uint64
	session *session.Session
}

type linkUp struct{ session *session.Session }

type linkDown struct {
	from   ident.Incarnation
	number uint64
}

type received struct {
	from   ident.Incarnation
	number uint64
	msgs   []*wire.Msg
}

type taskEnded struct {
	key     ident.Key
	index   ident.TaskIndex
	outcome ledger.Outcome
}

// New returns an agent that starts tasks by runner, on the clock now.
func New(set *settings.Settings, runner Runner, now func() time.Time, log *logrus.Entry) *Node {
	n := &Node{
		set: set, inc: ident.NewIncarnation(), log: log, runner: runner, loop: loop.New(),
		links: make(map[ident.Incarnation]link), config: state.NewAdopter(),
	}
	n.ledger = ledger.New(ledger.Options{
		Incarnation: n.inc, Slots: set.Agent.Slots, QueueLimit: set.Agent.QueueLimit,
		Retention: set.Jobs.Retention, AnswerGrace: set.Agent.AnswerGrace,
		AnswerBytes: int(set.Agent.AnswerBytes), Now: now,
	}, (*sender)(n), (*starter)(n))
	return n
}

// Start listens for entries.
func (n *Node) Start(context.Context) error {
	ln, err := net.Listen("tcp", string(n.set.Node.Link))
	if err != nil {
		return errors.Wrap(err, "agent: listen for entries")
	}
	n.ln = ln
	n.ctx, n.cancel = context.WithCancel(context.Background())
	go n.loop.Run(n.set.Links.Tick, n.handle, n.ledger.Tick)
	go n.accept()
	n.log.WithFields(logrus.Fields{
		"incarnation": n.inc, "link": ln.Addr(), "upstream": n.set.Agent.Upstream, "slots": n.set.Agent.Slots,
	}).Info("agent_started")
	return nil
}

// Address returns where the agent listens.
func (n *Node) Address() string { return n.ln.Addr().String() }

// Incarnation returns this agent's incarnation.
func (n *Node) Incarnation() ident.Incarnation { return n.inc }

// Stop ends at once; what runs on the upstream is cut.
func (n *Node) Stop() {
	n.ln.Close()
	n.cancel()
	n.loop.Call(func() {
		for _, l := range n.links {
			l.session.Close()
		}
	})
	n.loop.Stop()
}

// Drain refuses new work, hands back what is queued, lets what has begun end, and returns when its results
// are acknowledged or ctx ends.
func (n *Node) Drain(ctx context.Context) {
	n.loop.Call(func() {
		n.leaving = true
		n.ledger.Leave()
		for _, l := range n.links {
			l.session.Send(&wire.Msg{Kind: &wire.Msg_Leaving{Leaving: &wire.Leaving{}}})
		}
	})
	n.log.Info("agent_leaving")
	var idleSince time.Time
	for ctx.Err() == nil {
		idle, unacked := false, 0
		n.loop.Call(func() { idle, unacked = n.ledger.Idle(), n.ledger.Unacked() })
		if !idle {
			idleSince = time.Now()
		}
		if idle && (unacked == 0 || time.Since(idleSince) > ackWait) {
			return
		}
		time.Sleep(n.set.Links.Tick)
	}
}

// Status is what metrics show of an agent.
type Status struct {
	Incarnation string
	Load        ledger.Load
	Jobs        int
	Links       int
	Leaving     bool
	Config      ident.ConfigVersion
	Counts      ledger.Counts
}

// Status returns the present state.
func (n *Node) Status() Status {
	var s Status
	n.loop.Call(func() {
		s = Status{n.inc.String(), n.ledger.Load(), n.ledger.Jobs(), len(n.links), n.leaving, n.config.Current().Version(), n.ledger.Counts()}
	})
	return s
}

func (n *Node) accept() {
	for {
		conn, err := n.ln.Accept()
		if err != nil {
			return
		}
		go n.serve(conn)
	}
}

func (n *Node) hello() *wire.Hello {
	return &wire.Hello{
		Role: "agent", Name: n.set.Node.Name, Incarnation: uint64(n.inc), Address: n.Address(),
		Zone: n.set.Node.Zone, Region: n.set.Node.Region, Services: n.set.Agent.Services,
		Slots: uint32(n.set.Agent.Slots), QueueLimit: uint32(n.set.Agent.QueueLimit),
		ClockMs: time.Now().UnixMilli(),
	}
}

func (n *Node) serve(conn net.Conn) {
	s, err := session.Accept(conn, n.hello())
	if err != nil {
		n.log.WithField("error", err.Error()).Debug("link_refused")
		return
	}
	n.loop.Post(linkUp{s})
}

func (n *Node) handle(e loop.Event) {
	switch e := e.(type) {
	case linkUp:
		n.handleLinkUp(e.session)
	case linkDown:
		n.handleLinkDown(e)
	case received:
		n.handleReceived(e)
	case taskEnded:
		if e.outcome.Verdict == verdict.MayHaveRun {
			n.log.WithFields(logrus.Fields{
				"job": e.key, "task": e.index, "verdict": e.outcome.Verdict, "reason": e.outcome.Reason,
			}).Warn("task_unsure")
		}
		n.ledger.Ended(e.key, e.index, e.outcome)
	}
}

func (n *Node) handleReceived(e received) {
	for _, m := range e.msgs {
		if c := m.GetConfig(); c != nil {
			n.handleConfig(e.from, c)
			continue
		}
		n.ledger.Handle(e.from, e.number, m)
	}
}

func (n *Node) handleLinkUp(s *session.Session) {
	n.counter++
	number, from := n.counter, ident.Incarnation(s.Remote.GetIncarnation())
	if old, ok := n.links[from]; ok {
		go old.session.Close()
	}
	n.links[from] = link{number, s}
	n.ledger.LinkUp(from, number)
	n.greetConfig(s)
	if n.leaving {
		s.Send(&wire.Msg{Kind: &wire.Msg_Leaving{Leaving: &wire.Leaving{}}})
	}
	n.log.WithFields(logrus.Fields{"entry": s.Remote.GetName(), "incarnation": from}).Info("link_up")
	go func() {
		err := s.Receive(func(msgs []*wire.Msg) { n.loop.Post(received{from, number, msgs}) })
		n.log.WithFields(logrus.Fields{"entry": s.Remote.GetName(), "error": err.Error()}).Info("link_down")
		n.loop.Post(linkDown{from, number})
	}()
}

func (n *Node) handleLinkDown(e linkDown) {
	n.ledger.LinkDown(e.from, e.number)
	if n.links[e.from].number == e.number {
		delete(n.links, e.from)
	}
}

// sender sends the ledger's messages over the links.
type sender Node

// Send drops the message when there is no link.
func (s *sender) Send(to ident.Incarnation, m *wire.Msg) {
	if l, ok := s.links[to]; ok {
		l.session.Send(m)
	}
}

// starter runs the ledger's tasks, each on a goroutine of its own.
type starter Node

// Run begins a task.
func (s *starter) Run(t ledger.Task) {
	n := (*Node)(s)
	go func() {
		outcome := n.runner.Run(n.ctx, t)
		n.loop.Post(taskEnded{t.Key, t.Index, outcome})
	}()
}
