package commands

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"hillreel/commands/exit"
	"hillreel/commands/flag"
	"hillreel/internal/agent/node"
	agent "hillreel/internal/agent/process"
	"hillreel/internal/core/ident"
	"hillreel/internal/link/session"
	"hillreel/platform"
)

func init() { register(agentCommand{}) }

type agentCommand struct{}

func (a agentCommand) define() *cli.Command {
	return &cli.Command{
		Name: "agent", Usage: "run an agent, which starts, watches and stops tasks on the upstream of its VM",
		Flags: []cli.Flag{flag.Config()}, Action: a.run,
	}
}

func (agentCommand) run(ctx context.Context, c *cli.Command) error {
	set, log, err := load(c, "agent")
	if err != nil {
		return err
	}
	upstream := platform.NewUpstream(ident.Address(set.Agent.Upstream), set.Agent.Connections, set.Agent.CallTimeout)
	p, err := agent.New(set, agent.Deps{
		Store: platform.NewStore(ident.Address(set.Platform.Store), set.Platform.Timeout), Upstream: upstream, Cordons: platform.Cordons,
		Heartbeats: func(n *node.Node) http.Handler { return platform.Beats(n, ident.Service(set.Agent.Service), log) }, Dial: session.TCP, Log: log,
	})
	if err != nil {
		return cli.Exit(err.Error(), exit.Usage)
	}
	return serve(ctx, p, newReloader(c.String("config"), set, p.Node.SetSeeds, log), log)
}
