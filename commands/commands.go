// Package commands holds hillreel's subcommands, one file each. A file registers its command in a table.
package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hillreel/internal/core/logs"
	"hillreel/internal/core/settings"
)

// Exit codes of every subcommand.
const (
	// ExitOK: done.
	ExitOK = 0
	// ExitFailed: what was asked for did not succeed.
	ExitFailed = 1
	// ExitUsage: the command line or the settings are wrong.
	ExitUsage = 2
	// ExitViolation: an invariant was violated.
	ExitViolation = 3
)

// command is one subcommand.
type command interface {
	// define returns the subcommand for the command line.
	define() *cli.Command
}

var table []command

// register adds a subcommand to the table.
func register(c command) { table = append(table, c) }

// New returns the whole command line.
func New() *cli.Command {
	root := &cli.Command{
		Name:  "hillreel",
		Usage: "dispatch sub-second tasks: each runs once, each job ends, each caller gets its own answer",
		Description: "Exit codes: 0 done, 1 what was asked for did not succeed, 2 command line or settings are wrong, " +
			"3 an invariant was violated.",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	}
	for _, c := range table {
		root.Commands = append(root.Commands, c.define())
	}
	return root
}

// configFlag is the --config flag that every subcommand has.
func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "read settings from `FILE` (hillreel.ini documents them all)"}
}

// load reads the settings that --config names and sets up the log.
func load(c *cli.Command, role string) (*settings.Settings, *logrus.Entry, error) {
	set, err := settings.Load(c.String("config"))
	if err != nil {
		return nil, nil, cli.Exit(err.Error(), ExitUsage)
	}
	log, err := logs.New(os.Stderr, set.Log.Level, role, set.Node.Name)
	if err != nil {
		return nil, nil, cli.Exit(err.Error(), ExitUsage)
	}
	return set, log, nil
}

// awaitSignal returns when the process is asked to end.
func awaitSignal(ctx context.Context) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}
