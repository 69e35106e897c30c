package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hillreel/api"
	"hillreel/client"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/session"
	"hillreel/internal/load/drive"
	"hillreel/internal/load/measure"
	"hillreel/internal/load/workload"
	"hillreel/internal/standin/embedded"
)

func init() { register(demoCommand{}) }

type demoCommand struct{}

const (
	demoEntries = 3
	demoAgents  = 10
	demoSlots   = 8
	// demoLoad is the share of the slots that each of the two workloads keeps busy.
	demoLoad = 0.25
	// demoPatience is how long one job is waited for.
	demoPatience = 60 * time.Second
)

func (d demoCommand) define() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a whole set in one process and drive it with both users' jobs",
		Flags: []cli.Flag{
			configFlag(),
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "let jobs arrive for `TIME`"},
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "draw jobs and run times from `SEED`"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the set running afterwards, until interrupted"},
		},
		Action: d.run,
	}
}

func (d demoCommand) run(ctx context.Context, c *cli.Command) error {
	out := c.Root().Writer
	invariant.SetFatal(true)
	log, err := logs.New(os.Stderr, "warning", "demo", "demo")
	if err != nil {
		return err
	}
	seed := uint64(c.Uint("seed"))
	set, err := embedded.Start(embedded.Options{
		Entries: demoEntries, Agents: demoAgents, Slots: demoSlots, Seed: seed, Log: log, FixedPorts: c.Bool("keep"),
	})
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	defer set.Stop()
	fmt.Fprintf(out, "set: platform stand-in, %d entries, %d agents, %d upstream stand-ins; seed %d\n",
		demoEntries, demoAgents, demoAgents, seed)
	ok, err := d.drive(ctx, out, set, seed, c.Duration("for"))
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	if c.Bool("keep") {
		keep(ctx, out, set)
	}
	switch {
	case invariant.Violations() > 0:
		return cli.Exit("invariants were violated", ExitViolation)
	case !ok:
		return cli.Exit("a job did not complete", ExitFailed)
	}
	return nil
}

// drive runs both workloads at once and prints what they show.
func (d demoCommand) drive(ctx context.Context, out io.Writer, set *embedded.Set, seed uint64, length time.Duration) (bool, error) {
	cl, err := client.New(client.Options{Entries: set.Callers(), Connections: 256})
	if err != nil {
		return false, err
	}
	before := session.Totals()
	var answered atomic.Int64
	finished := make(chan struct{}, 2)
	results := make(map[workload.Kind]*measure.Result)
	kinds := []workload.Kind{workload.Publish, workload.Canteen}
	for _, k := range kinds {
		into := measure.New()
		results[k] = into
		jobs := workload.Draw(workload.Profile{
			Kind: k, Seed: seed, Length: length, Slots: demoAgents * demoSlots, Load: demoLoad, Team: string(k),
		})
		go func() {
			drive.Run(ctx, cl, jobs, drive.Options{
				Slots: demoAgents * demoSlots, RoundTrip: time.Millisecond, Patience: demoPatience,
				Each: func(*workload.Job, *api.Answer) { answered.Add(1) },
			}, into)
			finished <- struct{}{}
		}()
	}
	progress(out, &answered, finished, len(kinds))
	return d.report(out, results, kinds, set, before)
}

// progress prints a line a second until all workloads have finished.
func progress(out io.Writer, answered *atomic.Int64, finished <-chan struct{}, n int) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for n > 0 {
		select {
		case <-finished:
			n--
		case <-ticker.C:
			fmt.Fprintf(out, "%s  %d jobs answered\n", time.Now().Format(time.TimeOnly), answered.Load())
		}
	}
}

func (demoCommand) report(out io.Writer, results map[workload.Kind]*measure.Result, kinds []workload.Kind, set *embedded.Set, before session.Traffic) (bool, error) {
	ok := true
	tasks := int64(0)
	for _, k := range kinds {
		r := results[k].Report()
		fmt.Fprintf(out, "\n%s\n", strings.ToUpper(string(k)))
		if err := r.Print(out); err != nil {
			return false, err
		}
		tasks += r.Tasks
		ok = ok && r.States[verdict.Complete] == r.Jobs && r.NoAnswer == 0 && r.Foreign == 0
	}
	now := session.Totals()
	fmt.Fprintf(out, "\nall links                   %.3f messages and %.3f frames per task, everything counted\n",
		float64(now.MessagesOut-before.MessagesOut)/float64(max(tasks, 1)),
		float64(now.FramesOut-before.FramesOut)/float64(max(tasks, 1)))
	fmt.Fprintf(out, "task starts seen upstream   %d for %d tasks\n", set.Recorder.Total(), tasks)
	fmt.Fprintf(out, "invariant violations        %d\n", invariant.Violations())
	return ok && set.Recorder.Total() == tasks, nil
}

// keep prints where the set can be reached and waits.
func keep(ctx context.Context, out io.Writer, set *embedded.Set) {
	fmt.Fprintf(out, "\nthe set keeps running; callers' API:\n")
	for _, e := range set.Entries {
		fmt.Fprintf(out, "  http://%s   operators: http://%s\n", e.Callers.Address(), e.Ops.Address())
	}
	fmt.Fprintf(out, "operators' token: %s\nplatform stand-in: http://%s\n", embedded.Token, set.PlatformAddress())
	logrus.SetLevel(logrus.WarnLevel)
	awaitSignal(ctx)
}
