package commands

import (
	"context"
	"fmt"
	"runtime"

	"github.com/urfave/cli/v3"

	"hillreel/commands/flag"
)

// Version is hillreel's version; CHANGELOG.md describes its changes.
const Version = "0.1.0"

func init() { register(versionCommand{}) }

type versionCommand struct{}

func (v versionCommand) define() *cli.Command {
	return &cli.Command{Name: "version", Usage: "print the version", Flags: []cli.Flag{flag.Config()}, Action: v.run}
}

func (versionCommand) run(_ context.Context, c *cli.Command) error {
	_, err := fmt.Fprintf(c.Root().Writer, "hillreel %s %s\n", Version, runtime.Version())
	return err
}
