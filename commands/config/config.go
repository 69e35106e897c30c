// Package config implements the subcommand that reads and changes the objects of the configuration.
package config

import "github.com/urfave/cli/v3"

// command implements the subcommands of config.
type command struct{}

// New returns the definition of the config subcommand for the command-line parser.
func New() *cli.Command {
	var f command
	return &cli.Command{
		Name: "config", Usage: "read and change the configuration objects, which control what runs where",
		Commands: []*cli.Command{
			f.getCommand(), f.setCommand(), f.deleteCommand(), f.applyCommand(), f.diffCommand(),
			f.historyCommand(),
		},
	}
}
