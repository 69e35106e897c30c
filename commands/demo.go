package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hillreel/api"
	"hillreel/client"
	"hillreel/commands/exit"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/verdict"
	"hillreel/internal/standin/embedded"
)

func init() { register(demoCommand{}) }

type demoCommand struct{}

// The set that the demo runs, and the jobs that it sends: those of a podcast's publishing, a few a second.
const (
	demoEntries = 3
	demoAgents  = 4
	demoCores   = 16
	demoEvery   = 25 * time.Millisecond
	demoService = "publish"
	// The bounds of the response times, in milliseconds: 1 ms to a minute; and their precision, in decimal digits.
	demoLowest, demoHighest, demoDigits = 1, 60_000, 2
)

// demoJobs are sent in turn.
var demoJobs = []api.Job{
	{Service: demoService, Spec: `{"run_ms":60}`, Steps: []api.Step{{Count: 8, CPUMillis: 1600, MemMB: 64, EstimateMs: 60}}},
	{Service: demoService, Spec: `{"run_ms":200}`, Steps: []api.Step{{Count: 2, CPUMillis: 1600, MemMB: 64, EstimateMs: 200}}},
	{Service: demoService, Spec: `{"run_ms":200}`, Steps: []api.Step{{Count: 2, CPUMillis: 1600, MemMB: 64, EstimateMs: 200}}},
}

func (d demoCommand) define() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a whole set in one process and send it jobs",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Usage: "send jobs for `TIME`"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the set running afterwards, until interrupted"},
		},
		Action: d.run,
	}
}

func (d demoCommand) run(ctx context.Context, c *cli.Command) error {
	out := c.Root().Writer
	log, err := logs.New(os.Stderr, "warning", "demo", "demo")
	if err != nil {
		return err
	}
	set, err := embedded.Start(embedded.Options{
		Entries: demoEntries, Agents: demoAgents, Cores: demoCores, Service: demoService, Log: log, FixedPorts: c.Bool("keep"),
	})
	if err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	defer func() {
		// That links break when everything ends is no news.
		log.Logger.SetLevel(logrus.ErrorLevel)
		set.Stop()
	}()
	fmt.Fprintf(out, "set: a store, %d entries, %d agents with upstreams of %d cores\n", demoEntries, demoAgents, demoCores)
	r, err := drive(ctx, set.Callers(), c.Duration("for"))
	if err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	ok := r.print(out, set)
	if c.Bool("keep") {
		fmt.Fprintf(out, "\nthe set keeps running\ncallers: http://%s\nmetrics: http://127.0.0.1:7500/metrics\noperators' token: %s\n",
			set.Callers()[0], embedded.Token)
		awaitEnd(ctx, takeSignals(), log, nil)
	}
	switch {
	case len(set.Ledger.Broken()) > 0:
		return cli.Exit("a task ran twice at a time, or an upstream was over its room", exit.Violation)
	case !ok:
		return cli.Exit("a job did not complete", exit.Failed)
	}
	return nil
}

// demoResult is what the demo saw.
type demoResult struct {
	mu     sync.Mutex
	states map[api.State]int
	tasks  int
	errors []error
	times  *hdrhistogram.Histogram
}

// drive sends jobs for a while and waits for their answers.
func drive(ctx context.Context, entries []string, length time.Duration) (*demoResult, error) {
	cl, err := client.New(client.Options{Entries: entries, Connections: 256})
	if err != nil {
		return nil, err
	}
	r := &demoResult{states: make(map[api.State]int), times: hdrhistogram.New(demoLowest, demoHighest, demoDigits)}
	var group sync.WaitGroup
	ticker := time.NewTicker(demoEvery)
	defer ticker.Stop()
	end := time.After(length)
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
		case <-end:
		case <-ticker.C:
			group.Go(func() { r.send(ctx, cl, demoJobs[i%len(demoJobs)]) })
			continue
		}
		break
	}
	group.Wait()
	return r, nil
}

func (r *demoResult) send(ctx context.Context, cl *client.Client, j api.Job) {
	began := time.Now()
	a, err := cl.Submit(ctx, client.NewID(), j)
	took := time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.errors = append(r.errors, err)
		return
	}
	r.states[a.State]++
	if a.State != verdict.Complete {
		return
	}
	for _, s := range j.Steps {
		r.tasks += int(s.Count)
	}
	if err := r.times.RecordValue(min(max(took.Milliseconds(), demoLowest), demoHighest)); err != nil {
		r.errors = append(r.errors, err)
	}
}

// print tells what was seen, and whether all of it was good.
func (r *demoResult) print(out io.Writer, set *embedded.Cluster) bool {
	starts, done := set.Ledger.Counts()
	total := 0
	for _, n := range r.states {
		total += n
	}
	fmt.Fprintf(out, "jobs                %d, complete %d, without answer %d\n", total, r.states[verdict.Complete], len(r.errors))
	fmt.Fprintf(out, "response time       p50 %d ms, p99 %d ms\n", r.times.ValueAtQuantile(50), r.times.ValueAtQuantile(99))
	fmt.Fprintf(out, "tasks               %d, runs %d, ended well %d, rules broken %d\n", r.tasks, starts, done, len(set.Ledger.Broken()))
	return r.states[verdict.Complete] == total && total > 0 && len(r.errors) == 0
}
