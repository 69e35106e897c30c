// Package process puts an entry's services together.
package process

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/config/object"
	"hillreel/internal/core/bus"
	"hillreel/internal/core/clock"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/kernel"
	"hillreel/internal/core/ops"
	"hillreel/internal/core/settings"
	"hillreel/internal/entry/burn"
	"hillreel/internal/entry/caller"
	"hillreel/internal/entry/job"
	"hillreel/internal/entry/node"
	"hillreel/internal/entry/operator"
	"hillreel/internal/link/session"
	"hillreel/internal/platform/config"
	"hillreel/internal/platform/table"
	"hillreel/internal/platform/vms"
	"hillreel/internal/policy/placement"
)

// Names under which the services register.
const (
	nameNode    = "entry"
	nameMembers = "members"
	nameConfig  = "config"
	nameCallers = "callers"
	nameOps     = "operators"
)

// Deps are what an embedded entry can have replaced.
type Deps struct {
	Dial session.Dialer
	// Placer replaces the policy of the settings; nil does not.
	Placer job.Placer
	Log    *logrus.Entry
}

// Process is one entry.
type Process struct {
	set     *settings.Settings
	log     *logrus.Entry
	kernel  *kernel.Kernel
	Node    *node.Node
	Callers *caller.Server
	Ops     *ops.Server
}

// New checks the settings that an entry needs and builds its services.
func New(set *settings.Settings, d Deps) (*Process, error) {
	signer, err := ident.NewSigner(set.Jobs.Keys()...)
	if err != nil {
		return nil, errors.New("settings: [jobs] mac_keys: must be set, the same on all entries of all regions")
	}
	if d.Placer == nil {
		d.Placer = placement.New(placement.Name(set.Policy.Placement), rand.Uint64())
	}
	b := bus.New()
	p := &Process{set: set, log: d.Log, kernel: kernel.New(d.Log)}
	recorder := burn.New(clock.New(), func() []object.Objective { return p.Node.Objectives() })
	p.Node = node.New(set, node.Deps{
		Ended: recorder.Ended, Bus: b, Dial: d.Dial, Signer: signer, Placer: d.Placer, Now: clock.New(), Log: d.Log,
	})
	p.Callers = caller.New(set, p.Node, d.Log)
	store := config.New(table.New(ident.Address(set.Platform.Address), set.Platform.Timeout), time.Now)
	configs := config.NewReader(store, set.Platform.HeadEvery, b, d.Log)
	api := operator.New(store, p.Node, configs, recorder, d.Log)
	p.Ops = ops.New(set.Node.Ops, ops.Tokens(set.Entry), p.Node.Ready, api.Routes)
	reader := vms.New(ident.Address(set.Platform.Address), set.Platform.ListEvery, set.Platform.Timeout, b, d.Log)
	for _, s := range []struct {
		name    string
		service kernel.Service
	}{
		{nameNode, p.Node}, {nameMembers, reader}, {nameConfig, configs}, {nameOps, p.Ops}, {nameCallers, p.Callers},
	} {
		if err := p.kernel.Register(s.name, s.service); err != nil {
			return nil, err
		}
	}
	ops.Publish(set.Node.Name+".burn", func() any { return recorder.Report() })
	ops.Publish(set.Node.Name, func() any { return p.Node.Status() })
	return p, nil
}

// Start starts all services in order.
func (p *Process) Start(ctx context.Context) error { return p.kernel.Start(ctx) }

// Stop ends at once; requests in progress are cut.
func (p *Process) Stop() { p.kernel.Stop() }

// Drain leaves: no new work, the jobs in progress end, their callers are answered, and then all stops.
// limit bounds it.
func (p *Process) Drain(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := p.drain(ctx); err != nil {
		p.log.WithField("error", err.Error()).Warn("drain_cut_requests")
	}
	p.Stop()
}

// drainer is a service that can leave before it stops.
type drainer interface{ Drain(ctx context.Context) }

// listener is a service that can stop listening and let what it serves end.
type listener interface {
	Shutdown(ctx context.Context) error
}

func (p *Process) drain(ctx context.Context) error {
	jobs, err := kernel.Find[drainer](p.kernel, nameNode)
	if err != nil {
		return err
	}
	jobs.Drain(ctx)
	callers, err := kernel.Find[listener](p.kernel, nameCallers)
	if err != nil {
		return err
	}
	return callers.Shutdown(ctx)
}
