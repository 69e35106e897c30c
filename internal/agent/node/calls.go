package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/boottime"
)

// Upstream makes calls to the upstream on this agent's VM. An error comes with the answer Unanswered or Unclear.
type Upstream interface {
	Start(ctx context.Context, c call.Start) (call.Answer, call.Clock, error)
	Stop(ctx context.Context, c call.Stop) (call.Answer, call.Clock, error)
	Hold(ctx context.Context, c call.Hold) (call.HoldResult, error)
}

const (
	// minCallTimeout is the shortest timeout of a start or stop call. A start usually takes a millisecond. If a slow answer is taken for a
	// lost one, this costs two more calls and does no other harm.
	minCallTimeout = 25 * time.Millisecond
	// callTimeoutFactor is the factor between the average time of start and stop calls and their timeout.
	callTimeoutFactor = 20
)

// caller makes the controller's calls to the upstream, each on its own goroutine.
type caller Node

// callWithTimeout calls do with the present timeout on a new goroutine, and posts an orderDone with what done returns. If do fails, it logs
// event with fields.
func (c *caller) callWithTimeout(event string, fields logrus.Fields, do func(ctx context.Context) (call.Answer, call.Clock, error), done func(call.Answer, call.Clock) any) {
	limit := c.callTimeout.Limit()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		began := boottime.Now()
		a, clock, err := do(ctx)
		took := boottime.Since(began)
		if err != nil {
			c.log.WithFields(fields).WithFields(logrus.Fields{"limit_ms": limit.Milliseconds(), "error": err.Error()}).Info(event)
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

// Hold asks which runs are at the upstream, and extends the lease if the call carries one. It also makes polls and the queries of claims.
func (c *caller) Hold(o call.Hold) {
	limit := o.Wait + c.callTimeout.Limit()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		h, err := c.upstream.Hold(ctx, o)
		c.loop.Post(holdDone{o, h, err})
	}()
}
