package commands

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"hillreel/commands/exit"
	"hillreel/commands/flag"
	"hillreel/internal/core/ident"
	"hillreel/internal/entry/node"
	entry "hillreel/internal/entry/process"
	"hillreel/platform"
)

func init() { register(entryCommand{}) }

type entryCommand struct{}

func (e entryCommand) define() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "run an entry, which serves the callers' and operators' APIs, places tasks and holds the state of jobs",
		Flags: []cli.Flag{flag.Config()}, Action: e.run,
	}
}

func (entryCommand) run(ctx context.Context, c *cli.Command) error {
	set, log, err := load(c, "entry")
	if err != nil {
		return err
	}
	p, err := entry.New(set, entry.Deps{
		Store: platform.NewStore(ident.Address(set.Platform.Store), set.Platform.Timeout), Config: platform.ConfigKey, Cordons: platform.Cordons,
		Decode: platform.ReadConfig, Log: log,
		Front: func(n *node.Node) http.Handler { return platform.NewFront(n, int64(set.Entry.MaxBody), log) },
	})
	if err != nil {
		return cli.Exit(err.Error(), exit.Usage)
	}
	return serve(ctx, p, newReloader(c.String("config"), set, nil, log), log)
}
