package node_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/route"
	"hillreel/internal/core/settings"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/node"
)

// takes counts the jobs that are taken. The control goroutine owns it.
type takes struct {
	*node.Observer
	taken int
}

func (o *takes) Taken(r *dispatch.Request) {
	o.taken++
	o.Observer.Taken(r)
}

// TestRequestsOfCallersWhoHaveGone guards against tasks that two entries run at once: a request whose caller is known to have gone by the time
// that the control goroutine comes to it is not taken, however short its job's runs would be.
func TestRequestsOfCallersWhoHaveGone(t *testing.T) {
	for _, test := range []struct {
		name  string
		gone  bool
		taken int
	}{
		{"gone", true, 0},
		{"there", false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			set, err := settings.Load("")
			qt.Assert(t, err, qt.IsNil)
			set.Node.Link = "127.0.0.1:0"
			o := &takes{Observer: node.NewObserver(logs.Discard(), nil)}
			n := node.New(set, mute{}, nil, o, logs.Discard())
			qt.Assert(t, n.Start(context.Background()), qt.IsNil)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.gone {
				cancel()
			} else {
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			_, err = n.Submit(ctx, dispatch.Request{
				Job: 1, Route: route.Route{Service: "publish", Attempts: 2, Target: time.Minute}, Deadline: boottime.Now().Add(time.Minute),
				Spec: &job.Spec{Text: "x", BestEffort: true, Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second}}},
			})
			qt.Assert(t, err, qt.Equals, context.Canceled)
			n.Unanswered() // what was posted before has been handled
			n.Stop()
			qt.Assert(t, o.taken, qt.Equals, test.taken)
		})
	}
}
