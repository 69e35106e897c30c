package commands

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"hillreel/internal/core/invariant"
	"hillreel/internal/core/logs"
	"hillreel/internal/load/profile"
	"hillreel/internal/load/report"
	"hillreel/internal/load/scenario"
	"hillreel/internal/policy/placement"
)

func init() { register(loadCommand{}) }

type loadCommand struct{}

func (l loadCommand) define() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "drive a set with both users' jobs and faults by schedule, and report",
		Flags: []cli.Flag{
			configFlag(), entriesFlag(),
			&cli.BoolFlag{Name: "embedded", Usage: "drive a whole set in this process instead of entries that run"},
			&cli.StringFlag{Name: "profile", Usage: "read the load from `FILE` (profiles/*.ini)"},
			&cli.StringFlag{Name: "placement", Usage: "place by `POLICY` instead of the profile's"},
			&cli.UintFlag{Name: "seed", Usage: "draw from `SEED` instead of the profile's"},
			&cli.StringFlag{Name: "json", Usage: "write the report to `FILE` as JSON"},
			&cli.StringFlag{Name: "html", Usage: "write the report to `FILE` as a page with plots"},
			&cli.BoolFlag{Name: "compare", Usage: "compare two JSON reports, named as arguments, as ratios"},
		},
		Action: l.run,
	}
}

func (l loadCommand) run(ctx context.Context, c *cli.Command) error {
	if c.Bool("compare") {
		return l.compare(c)
	}
	p, err := profile.Load(c.String("profile"))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	if c.IsSet("placement") {
		p.Placement = placement.Name(c.String("placement"))
	}
	if placement.New(p.Placement, 0) == nil {
		return cli.Exit("placement: no such policy "+string(p.Placement), ExitUsage)
	}
	if c.IsSet("seed") {
		p.Seed = uint64(c.Uint("seed"))
	}
	o, err := l.drive(ctx, c, p)
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	o.Profile = c.String("profile")
	if err := l.write(c, &o); err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	if o.Violations > 0 {
		return cli.Exit("invariants were violated", ExitViolation)
	}
	return nil
}

func (loadCommand) drive(ctx context.Context, c *cli.Command, p profile.Profile) (scenario.Outcome, error) {
	if !c.Bool("embedded") {
		return scenario.Given(ctx, p, c.StringSlice("entry"))
	}
	invariant.SetFatal(true)
	log, err := logs.New(os.Stderr, "error", "load", "load")
	if err != nil {
		return scenario.Outcome{}, err
	}
	return scenario.Embedded(ctx, p, scenario.Tune{}, log)
}

func (loadCommand) write(c *cli.Command, o *scenario.Outcome) error {
	if err := report.Text(c.Root().Writer, o); err != nil {
		return err
	}
	if file := c.String("json"); file != "" {
		if err := report.Save(file, o); err != nil {
			return err
		}
	}
	if file := c.String("html"); file != "" {
		return report.Page(file, o)
	}
	return nil
}

func (loadCommand) compare(c *cli.Command) error {
	if c.Args().Len() != 2 {
		return cli.Exit("load --compare: name two JSON reports", ExitUsage)
	}
	a, err := report.Read(c.Args().Get(0))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	b, err := report.Read(c.Args().Get(1))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	if _, err := fmt.Fprintf(c.Root().Writer, "%-29s %8s %8s\n", "", "first", "second"); err != nil {
		return err
	}
	return report.Compare(c.Root().Writer, a, b)
}
