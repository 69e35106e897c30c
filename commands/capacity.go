package commands

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"hillreel/internal/load/capacity"
)

func init() { register(capacityCommand{}) }

type capacityCommand struct{}

func (m capacityCommand) define() *cli.Command {
	return &cli.Command{
		Name: "capacity", Usage: "measure the slopes behind docs/CAPACITY.md and print them as a table",
		Flags: []cli.Flag{
			configFlag(), &cli.BoolFlag{Name: "peak", Usage: "only measure what one entry carries"},
			&cli.StringFlag{Name: "into", Usage: "redraw the tables of the page `FILE`"},
		},
		Action: m.run,
	}
}

func (capacityCommand) run(_ context.Context, c *cli.Command) error {
	if err := capacity.Peak(c.Root().Writer); err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	if c.Bool("peak") {
		return nil
	}
	slopes, err := capacity.Measure(os.Stderr)
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	if file := c.String("into"); file != "" {
		return capacity.Into(file, slopes)
	}
	return capacity.Print(c.Root().Writer, slopes)
}
