package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/boottime"
)

// Upstream makes calls to the upstream beside this agent. An error goes with an answer of Unanswered or Unclear.
type Upstream interface {
	Start(ctx context.Context, c call.Start) (call.Answer, call.Clock, error)
	Stop(ctx context.Context, c call.Stop) (call.Answer, call.Clock, error)
	Hold(ctx context.Context, c call.Hold) (call.HoldResult, error)
}

const (
	// leastPatience bounds from below how long an order is waited for. A start usually takes a millisecond; to take a slow
	// answer for a lost one costs two calls and does no harm.
	minPatience = 25 * time.Millisecond
	// patienceFactor times the usual time of an order is how long one is waited for.
	patienceFactor = 20
)

// caller makes the keeper's calls, each on a goroutine of its own.
type caller Node

// order makes one order with the patience of the moment, and posts its end.
func (c *caller) callWithTimeout(what string, fields logrus.Fields, do func(ctx context.Context) (call.Answer, call.Clock, error), done func(call.Answer, call.Clock) any) {
	limit := c.patience.Limit()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		began := boottime.Now()
		a, clock, err := do(ctx)
		took := boottime.Since(began)
		if err != nil {
			c.log.WithFields(fields).WithFields(logrus.Fields{"limit_ms": limit.Milliseconds(), "error": err.Error()}).Info(what)
		}
		c.loop.Post(orderDone{took, limit, a != call.Unanswered, done(a, clock)})
	}()
}

// Start starts a run.
func (c *caller) Start(o call.Start) {
	c.callWithTimeout("start_unanswered", logrus.Fields{"job": o.Task.Job, "task": o.Task, "run": o.Run},
		func(ctx context.Context) (call.Answer, call.Clock, error) { return c.upstream.Start(ctx, o) },
		func(a call.Answer, clock call.Clock) any { return startDone{o, a, clock} })
}

// Stop stops a run.
func (c *caller) Stop(o call.Stop) {
	c.callWithTimeout("stop_unanswered", logrus.Fields{"job": o.Task.Job, "task": o.Task, "run": o.Run},
		func(ctx context.Context) (call.Answer, call.Clock, error) { return c.upstream.Stop(ctx, o) },
		func(a call.Answer, clock call.Clock) any { return stopDone{o, a, clock} })
}

// Hold extends the lease and asks what runs.
func (c *caller) Hold(o call.Hold) {
	limit := o.Wait + c.patience.Limit()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		h, err := c.upstream.Hold(ctx, o)
		c.loop.Post(holdDone{o, h, err})
	}()
}
