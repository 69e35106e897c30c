// Package process puts an agent's services together.
package process

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/node"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/clock"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/kernel"
	"hillreel/internal/core/ops"
	"hillreel/internal/core/settings"
)

// Process is one agent.
type Process struct {
	kernel *kernel.Kernel
	Node   *node.Node
	Ops    *ops.Server
}

// New builds an agent's services.
func New(set *settings.Settings, log *logrus.Entry) (*Process, error) {
	if set.Agent.Upstream == "" {
		return nil, errors.New("settings: [agent] upstream: must be set")
	}
	runner := upstream.New(upstream.Options{
		Address: ident.Address(set.Agent.Upstream), Connections: set.Agent.Connections,
		ConnectTimeout: set.Agent.ConnectTimeout, TaskTimeout: set.Agent.TaskTimeout,
		AnswerLimit: int64(set.Agent.AnswerLimit),
	})
	p := &Process{kernel: kernel.New(log), Node: node.New(set, runner, clock.New(), log)}
	p.Ops = ops.New(set.Node.Ops, ops.Tokens(set.Entry), p.ready, nil)
	if err := p.kernel.Register("agent", p.Node); err != nil {
		return nil, err
	}
	if err := p.kernel.Register("operators", p.Ops); err != nil {
		return nil, err
	}
	ops.Publish(set.Node.Name, func() any { return p.Node.Status() })
	return p, nil
}

func (p *Process) ready() (bool, string) {
	if p.Node.Status().Leaving {
		return false, "leaving"
	}
	return true, "ready"
}

// Start starts all services in order.
func (p *Process) Start(ctx context.Context) error { return p.kernel.Start(ctx) }

// Stop ends at once; tasks that run are cut.
func (p *Process) Stop() { p.kernel.Stop() }

// Drain leaves: no new work, what has begun ends, and then all stops. limit bounds it.
func (p *Process) Drain(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	p.Node.Drain(ctx)
	p.Stop()
}
