package commands

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"hillreel/commands/exit"
	"hillreel/commands/flag"
	"hillreel/internal/core/settings"
)

func init() { register(settingsCommand{}) }

type settingsCommand struct{}

func (s settingsCommand) define() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "check a settings file, or print all options with their defaults",
		Commands: []*cli.Command{
			{Name: "check", Usage: "report the errors in a settings file", Flags: []cli.Flag{flag.Config()}, Action: s.check},
			{Name: "document", Usage: "print every option with its default; hillreel.ini is this output", Action: s.document},
		},
	}
}

func (settingsCommand) check(_ context.Context, c *cli.Command) error {
	if _, err := settings.Load(c.String("config")); err != nil {
		return cli.Exit(err.Error(), exit.Usage)
	}
	fmt.Fprintln(c.Root().Writer, "the settings are valid")
	return nil
}

func (settingsCommand) document(_ context.Context, c *cli.Command) error {
	fmt.Fprint(c.Root().Writer, settings.Document())
	return nil
}
