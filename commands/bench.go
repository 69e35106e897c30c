package commands

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"hillreel/internal/core/invariant"
	"hillreel/internal/core/logs"
	"hillreel/internal/load/bench"
	"hillreel/internal/load/workload"
)

func init() { register(benchCommand{}) }

type benchCommand struct{}

func (b benchCommand) define() *cli.Command {
	return &cli.Command{
		Name: "bench", Usage: "compare sets of policies over the standard scenarios, as medians",
		Flags: []cli.Flag{
			configFlag(),
			&cli.StringSliceFlag{Name: "policies", Usage: "a set of policies, `NAME:key=value;key=value` of the section [policy]; may be repeated"},
			&cli.StringFlag{Name: "scenario", Usage: "only scenarios whose name contains `TEXT`"},
			&cli.StringFlag{Name: "workload", Usage: "only publish or canteen"},
			&cli.IntFlag{Name: "repeat", Value: 5, Usage: "`N` runs each, seeds counted from --seed"},
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "parallel", Value: 10, Usage: "`N` sets side by side"},
		},
		Action: b.run,
	}
}

func (benchCommand) run(ctx context.Context, c *cli.Command) error {
	invariant.SetFatal(true)
	log, err := logs.New(os.Stderr, "error", "bench", "bench")
	if err != nil {
		return err
	}
	o := bench.Options{Repeat: c.Int("repeat"), Seed: uint64(c.Uint("seed")), Parallel: c.Int("parallel"), Log: log}
	for _, text := range c.StringSlice("policies") {
		p, err := bench.Parse(strings.ReplaceAll(text, ";", ","))
		if err != nil {
			return cli.Exit(err.Error(), ExitUsage)
		}
		o.Policies = append(o.Policies, p)
	}
	if len(o.Policies) == 0 {
		o.Policies = []bench.Policies{bench.Baseline, bench.Chosen}
	}
	for _, k := range []workload.Kind{workload.Publish, workload.Canteen} {
		if w := c.String("workload"); w != "" && w != string(k) {
			continue
		}
		for _, s := range bench.Scenarios(k) {
			if strings.Contains(s.Name, c.String("scenario")) {
				o.Scenarios = append(o.Scenarios, s)
			}
		}
	}
	if len(o.Scenarios) == 0 {
		return cli.Exit("bench: no scenario has that name", ExitUsage)
	}
	rows, err := bench.Run(ctx, o)
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	if err := bench.Print(c.Root().Writer, rows); err != nil {
		return err
	}
	if n := invariant.Violations(); n > 0 {
		return cli.Exit(fmt.Sprintf("%d invariants were violated", n), ExitViolation)
	}
	return nil
}
