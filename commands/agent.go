package commands

import (
	"context"

	"github.com/urfave/cli/v3"

	agent "hillreel/internal/agent/process"
)

func init() { register(agentCommand{}) }

type agentCommand struct{}

func (a agentCommand) define() *cli.Command {
	return &cli.Command{
		Name: "agent", Usage: "run an agent: start tasks on the upstream beside it, at most once each",
		Flags: []cli.Flag{configFlag()}, Action: a.run,
	}
}

func (agentCommand) run(ctx context.Context, c *cli.Command) error {
	set, log, err := load(c, "agent")
	if err != nil {
		return err
	}
	p, err := agent.New(set, log)
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
