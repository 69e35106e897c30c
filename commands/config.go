package commands

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"hillreel/internal/core/settings"
)

func init() { register(configCommand{}) }

type configCommand struct{}

func (f configCommand) define() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "read and change configuration, and check settings files",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a settings file and print each problem with its section and key",
				ArgsUsage: "FILE", Flags: []cli.Flag{configFlag()}, Action: f.check,
			},
			{
				Name: "document", Usage: "print every option with its description and default",
				Flags: []cli.Flag{configFlag()}, Action: f.document,
			},
			f.getCommand(), f.setCommand(), f.deleteCommand(), f.applyCommand(), f.diffCommand(),
			f.historyCommand(), f.statusCommand(),
		},
	}
}

func (configCommand) check(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("config check: name one file", ExitUsage)
	}
	if _, err := settings.Load(c.Args().First()); err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	_, err := fmt.Fprintln(c.Root().Writer, "ok")
	return err
}

func (configCommand) document(_ context.Context, c *cli.Command) error {
	_, err := fmt.Fprint(c.Root().Writer, settings.Document())
	return err
}
