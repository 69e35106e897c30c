package node_test

import (
	"context"
	"expvar"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/node"
)

// silentStore is a store that never answers.
type silentStore struct{}

func (silentStore) Commit(ctx context.Context, _ rows.Txn) (rows.Version, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (silentStore) Read(ctx context.Context, _ rows.Key) (rows.Row, error) {
	<-ctx.Done()
	return rows.Row{}, ctx.Err()
}

func (silentStore) Range(ctx context.Context, _ rows.Range) (rows.Page, error) {
	<-ctx.Done()
	return rows.Page{}, ctx.Err()
}

// TestCloseAll guards against callers that get no answer when an entry stops: an entry that is about to stop answers all callers at once,
// whatever they wait for. It also answers callers that arrive afterwards.
func TestCloseAll(t *testing.T) {
	submit := func(keep bool) func(n *node.Node) (verdict.State, error) {
		return func(n *node.Node) (verdict.State, error) {
			a, err := n.Submit(context.Background(), dispatch.Request{
				Job: 1, Route: route.Route{Service: "publish", Attempts: 2, Target: time.Minute}, Deadline: boottime.Now().Add(time.Minute),
				Spec: &job.Spec{Text: "x", BestEffort: !keep, Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second}}},
			})
			return a.State, err
		}
	}
	for _, test := range []struct {
		name string
		ask  func(n *node.Node) (verdict.State, error)
		// state is the expected answer. It is empty where an error is expected because the state is unknown.
		state verdict.State
	}{
		{"a job", submit(false), verdict.Refused},
		{"a job to be kept", submit(true), verdict.Unresolved},
		{"the state of a job of another entry", func(n *node.Node) (verdict.State, error) { return n.State(context.Background(), 2) }, ""},
		{"the cancellation of a job of another entry", func(n *node.Node) (verdict.State, error) { return n.Cancel(context.Background(), 2) }, ""},
	} {
		for _, before := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				t.Parallel()
				set, err := settings.Load("")
				qt.Assert(t, err, qt.IsNil)
				set.Node.Link, set.Links.Silence = "127.0.0.1:0", time.Minute
				n := node.New(set, silentStore{}, nil, node.NewObserver(logs.Discard(), nil), logs.Discard())
				qt.Assert(t, n.Start(context.Background()), qt.IsNil)
				defer n.Stop()
				if before {
					time.AfterFunc(50*time.Millisecond, n.CloseAll)
				} else {
					n.CloseAll()
				}
				began := boottime.Now()
				state, err := test.ask(n)
				qt.Assert(t, boottime.Since(began) < 250*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", boottime.Since(began)))
				qt.Assert(t, state, qt.Equals, test.state)
				qt.Assert(t, err != nil, qt.Equals, test.state == "")
			})
		}
	}
}

// takenObserver is an observer that records which jobs are taken.
type takenObserver struct {
	dispatch.Observer
	jobs chan job.ID
}

func (o *takenObserver) Taken(r *dispatch.Request) {
	o.Observer.Taken(r)
	o.jobs <- r.Job
}

// TestCallerGoneBeforeItsTurn guards against two entries that run a task at once. A caller that has gone may have sent its job to another
// entry, so this entry must not take a job whose caller left while the request waited for the control goroutine.
func TestCallerGoneBeforeItsTurn(t *testing.T) {
	set, err := settings.Load("")
	qt.Assert(t, err, qt.IsNil)
	set.Node.Link = "127.0.0.1:0"
	o := &takenObserver{node.NewObserver(logs.Discard(), nil), make(chan job.ID, 2)}
	n := node.New(set, silentStore{}, nil, o, logs.Discard())
	qt.Assert(t, n.Start(context.Background()), qt.IsNil)
	defer n.Stop()
	submit := func(ctx context.Context, id job.ID) {
		_, err := n.Submit(ctx, dispatch.Request{
			Job: id, Route: route.Route{Service: "publish", Attempts: 2, Target: time.Minute}, Deadline: boottime.Now().Add(time.Minute),
			Spec: &job.Spec{Text: "x", BestEffort: true, Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second}}},
		})
		qt.Assert(t, err, qt.IsNotNil)
	}
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	submit(gone, 1)
	waits, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	submit(waits, 2)
	qt.Assert(t, <-o.jobs, qt.Equals, job.ID(2))
}

// TestTicksAreMeasured checks that the metrics show how late the control goroutine's ticks are, beside the promised bound.
func TestTicksAreMeasured(t *testing.T) {
	set, err := settings.Load("")
	qt.Assert(t, err, qt.IsNil)
	set.Node.Link = "127.0.0.1:0"
	n := node.New(set, silentStore{}, nil, node.NewObserver(logs.Discard(), nil), logs.Discard())
	qt.Assert(t, n.Start(context.Background()), qt.IsNil)
	defer n.Stop()
	measured := func() bool {
		v := expvar.Get("margins")
		return v != nil && strings.Contains(v.String(), `"entry_tick"`)
	}
	for until := time.Now().Add(5 * time.Second); !measured(); time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(until), qt.IsTrue)
	}
}
