package commands

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"hillreel/commands/exit"
	"hillreel/internal/load/compare"
	"hillreel/internal/load/plan"
	"hillreel/internal/load/report"
	"hillreel/internal/load/world"
)

func init() { register(loadCommand{}) }

type loadCommand struct{}

func (l loadCommand) define() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "simulate a deployment's load in virtual time and print which jobs are served in time", ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "times", Value: 1, Usage: "multiply the load of the file by `N`"},
			&cli.Uint64Flag{Name: "seed", Usage: "use the random seed `N` instead of the file's seed"},
			&cli.BoolFlag{Name: "central", Usage: "let one dispatcher without delays place all jobs, which gives the upper bound of jobs served"},
			&cli.StringFlag{Name: "compare", Usage: "compare the values of a field of the file, as in `FIELD=VALUE,VALUE` or SECTION/FIELD=VALUE,VALUE"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "compare with the random seeds from 1 to `N`"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot of each second to `FILE`, such as load.png"},
		},
		Action: l.run,
	}
}

func (loadCommand) run(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("load: want exactly one FILE that describes the deployment", exit.Usage)
	}
	if times := c.Float("times"); times <= 0 {
		return cli.Exit(fmt.Sprintf("--times: %v is not greater than 0", times), exit.Usage)
	}
	if c.IsSet("compare") {
		return compareWays(c)
	}
	p, err := plan.Read(c.Args().First())
	if err != nil {
		return cli.Exit(err.Error(), exit.Usage)
	}
	adapt(c, p)
	if c.IsSet("seed") {
		p.Seed = c.Uint64("seed")
	}
	r, err := world.Run(p)
	if err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	if err := report.Table(c.Root().Writer, p, r); err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	if file := c.String("plot"); file != "" {
		if err := report.Plot(file, r); err != nil {
			return cli.Exit(err.Error(), exit.Failed)
		}
	}
	return nil
}

// adapt changes a plan as the command line says.
func adapt(c *cli.Command, p *plan.Plan) {
	p.Load *= c.Float("times")
	p.Central = c.Bool("central")
}

// compareWays plays the plan with each value of the field that --compare names.
func compareWays(c *cli.Command) error {
	if c.IsSet("seed") || c.IsSet("plot") {
		return cli.Exit("--compare: goes with neither --seed nor --plot", exit.Usage)
	}
	o, err := compare.ParseOption(c.String("compare"))
	if err != nil {
		return cli.Exit(err.Error(), exit.Usage)
	}
	seeds := c.Int("seeds")
	if seeds < 1 {
		return cli.Exit(fmt.Sprintf("--seeds: %d is not greater than 0", seeds), exit.Usage)
	}
	result, err := compare.Run(c.Args().First(), o, seeds, func(p *plan.Plan) { adapt(c, p) })
	if err != nil {
		return cli.Exit(err.Error(), exit.Usage)
	}
	if err := result.Table(c.Root().Writer); err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	return nil
}
