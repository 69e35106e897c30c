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

// Size of the cluster that the demo runs, and pause between its jobs, which model the publishing of a podcast.
const (
	demoEntries  = 3
	demoAgents   = 4
	demoCores    = 16
	demoInterval = 25 * time.Millisecond
	demoService  = "publish"
	// Range of the histogram of response times, in milliseconds (1 ms to a minute), and its precision, in decimal digits.
	demoLowest, demoHighest, demoDigits = 1, 60_000, 2
)

// demoJobs lists the jobs that the demo sends in turn.
var demoJobs = []api.Job{
	{Service: demoService, Spec: `{"run_ms":60}`, Steps: []api.Step{{Count: 8, CPUMillis: 1600, MemMB: 64, EstimateMs: 60}}},
	{Service: demoService, Spec: `{"run_ms":200}`, Steps: []api.Step{{Count: 2, CPUMillis: 1600, MemMB: 64, EstimateMs: 200}}},
	{Service: demoService, Spec: `{"run_ms":200}`, Steps: []api.Step{{Count: 2, CPUMillis: 1600, MemMB: 64, EstimateMs: 200}}},
}

func (d demoCommand) define() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a complete set of entries and agents in one process and send it jobs",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Usage: "send jobs for the duration `TIME`"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the set running after the jobs, until interrupted"},
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
	cluster, err := embedded.Start(embedded.Options{
		Entries: demoEntries, Agents: demoAgents, Cores: demoCores, Service: demoService, Log: log, FixedPorts: c.Bool("keep"),
	})
	if err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	defer func() {
		// Links break while the cluster stops; warnings about them would be misleading.
		log.Logger.SetLevel(logrus.ErrorLevel)
		cluster.Stop()
	}()
	fmt.Fprintf(out, "set: a store, %d entries, %d agents with upstreams of %d cores\n", demoEntries, demoAgents, demoCores)
	r, err := sendJobs(ctx, cluster.Callers(), c.Duration("for"))
	if err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	ok := r.print(out, cluster)
	if c.Bool("keep") {
		fmt.Fprintf(out, "\nthe set keeps running\ncallers: http://%s\nmetrics: http://127.0.0.1:7500/metrics\noperators' token: %s\n",
			cluster.Callers()[0], embedded.Token)
		awaitStop(ctx, notifySignals(), log, nil)
	}
	switch {
	case len(cluster.Ledger.Violations()) > 0:
		return cli.Exit("a task had two runs at a time, or an upstream had more tasks than room", exit.Violation)
	case !ok:
		return cli.Exit("a job did not complete", exit.Failed)
	}
	return nil
}

// demoResult collects the answers to the jobs of the demo.
type demoResult struct {
	mu     sync.Mutex
	states map[api.State]int
	tasks  int
	errors []error
	times  *hdrhistogram.Histogram
}

// sendJobs sends jobs every demoInterval, until length has passed or ctx ends, and waits for their answers.
func sendJobs(ctx context.Context, entries []string, length time.Duration) (*demoResult, error) {
	cl, err := client.New(client.Options{Entries: entries, Connections: 256})
	if err != nil {
		return nil, err
	}
	r := &demoResult{states: make(map[api.State]int), times: hdrhistogram.New(demoLowest, demoHighest, demoDigits)}
	var group sync.WaitGroup
	ticker := time.NewTicker(demoInterval)
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

// send sends one job and records its answer.
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

// print prints the counts and response times. It reports whether at least one job was answered and all jobs completed.
func (r *demoResult) print(out io.Writer, cluster *embedded.Cluster) bool {
	starts, done := cluster.Ledger.Counts()
	total := 0
	for _, n := range r.states {
		total += n
	}
	fmt.Fprintf(out, "jobs                %d, complete %d, without answer %d\n", total, r.states[verdict.Complete], len(r.errors))
	fmt.Fprintf(out, "response time       p50 %d ms, p99 %d ms\n", r.times.ValueAtQuantile(50), r.times.ValueAtQuantile(99))
	fmt.Fprintf(out, "tasks               %d, runs %d, ended well %d, rules broken %d\n", r.tasks, starts, done, len(cluster.Ledger.Violations()))
	return r.states[verdict.Complete] == total && total > 0 && len(r.errors) == 0
}
