// Package config has the subcommand that reads and changes the objects of the configuration.
package config

import "github.com/urfave/cli/v3"

// command has the subcommands of config.
type command struct{}

// New returns the subcommand for the command line.
func New() *cli.Command {
	var f command
	return &cli.Command{
		Name: "config", Usage: "read and change the objects that say what runs where",
		Commands: []*cli.Command{
			f.getCommand(), f.setCommand(), f.deleteCommand(), f.applyCommand(), f.diffCommand(),
			f.historyCommand(),
		},
	}
}
