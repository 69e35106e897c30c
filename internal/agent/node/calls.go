package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/call"
)

// Upstream makes calls to the upstream beside this agent. An error goes with an answer of Unanswered.
type Upstream interface {
	Start(ctx context.Context, c call.Start) (call.Answer, call.Clock, error)
	Stop(ctx context.Context, c call.Stop) (call.Answer, call.Clock, error)
	Hold(ctx context.Context, c call.Hold) (call.Held, error)
}

const (
	// leastPatience bounds from below how long an order is waited for. A start usually takes a millisecond; to take
	// a slow answer for a lost one costs two calls and does no harm.
	leastPatience = 25 * time.Millisecond
	// patienceFactor times the usual time of an order is how long one is waited for.
	patienceFactor = 20
	// usualWeight is the weight of the newest order's time in the usual time.
	usualWeight = 0.1
	// missedWeight is the weight of the limit in the usual time when an order was not answered within it. With one
	// order in twenty lost, the limit stays at its least; on a VM so slow that none is answered in time, it reaches its
	// most within a dozen orders.
	missedWeight = 0.01
)

// patience learns how long an order to the upstream is worth waiting for.
type patience struct {
	// usual is the usual time of an order, most the longest wait.
	usual, most time.Duration
}

// learn takes in the time of an order that was answered.
func (p *patience) learn(took time.Duration) {
	p.usual += time.Duration(usualWeight * float64(took-p.usual))
}

// missed takes in that an order was not answered within its limit.
func (p *patience) missed(limit time.Duration) {
	p.usual += time.Duration(missedWeight * float64(limit-p.usual))
}

// limit is how long an order is waited for.
func (p *patience) limit() time.Duration {
	return min(max(patienceFactor*p.usual, leastPatience), p.most)
}

// caller makes the keeper's calls, each on a goroutine of its own.
type caller Node

// order makes one order with the patience of the moment, and posts its end.
func (c *caller) order(what string, fields logrus.Fields, do func(ctx context.Context) (call.Answer, call.Clock, error), done func(call.Answer, call.Clock) any) {
	limit := c.patience.limit()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		began := time.Now()
		a, clock, err := do(ctx)
		took := time.Since(began)
		if err != nil {
			c.log.WithFields(fields).WithFields(logrus.Fields{"limit_ms": limit.Milliseconds(), "error": err.Error()}).Info(what)
		}
		c.loop.Post(orderDone{took, limit, err == nil, done(a, clock)})
	}()
}

// Start starts a run.
func (c *caller) Start(o call.Start) {
	c.order("start_unanswered", logrus.Fields{"job": o.Task.Job, "task": o.Task, "run": o.Run},
		func(ctx context.Context) (call.Answer, call.Clock, error) { return c.upstream.Start(ctx, o) },
		func(a call.Answer, clock call.Clock) any { return startDone{o, a, clock} })
}

// Stop stops a run.
func (c *caller) Stop(o call.Stop) {
	c.order("stop_unanswered", logrus.Fields{"job": o.Task.Job, "task": o.Task, "run": o.Run},
		func(ctx context.Context) (call.Answer, call.Clock, error) { return c.upstream.Stop(ctx, o) },
		func(a call.Answer, clock call.Clock) any { return stopDone{o, a, clock} })
}

// Hold extends the lease and asks what runs.
func (c *caller) Hold(o call.Hold) {
	limit := o.Wait + c.patience.limit()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		h, err := c.upstream.Hold(ctx, o)
		if err != nil {
			c.log.WithField("error", err.Error()).Debug("hold_unanswered")
		}
		c.loop.Post(holdDone{o, h})
	}()
}
