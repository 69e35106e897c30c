package commands

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	entry "hillreel/internal/entry/process"
	"hillreel/internal/link/session"
)

// drainLimit bounds how long a process takes to leave.
const drainLimit = 60 * time.Second

func init() { register(entryCommand{}) }

type entryCommand struct{}

func (e entryCommand) define() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "run an entry: callers' and operators' API, placement, job state",
		Flags: []cli.Flag{configFlag()}, Action: e.run,
	}
}

func (entryCommand) run(ctx context.Context, c *cli.Command) error {
	set, log, err := load(c, "entry")
	if err != nil {
		return err
	}
	p, err := entry.New(set, entry.Deps{
		Dial: session.TCP, Log: log,
	})
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	if err := p.Start(ctx); err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	awaitSignal(ctx)
	p.Drain(drainLimit)
	return nil
}
