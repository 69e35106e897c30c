// Package commands holds hillreel's subcommands, one file each. A file registers its command in a table.
package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hillreel/commands/exit"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/settings"
)

// command is one subcommand.
type command interface {
	// define returns the subcommand for the command line.
	define() *cli.Command
}

var registered []command

// register adds a subcommand to the table.
func register(c command) { registered = append(registered, c) }

// New returns the whole command line.
func New() *cli.Command {
	root := &cli.Command{
		Name:  "hillreel",
		Usage: "dispatch sub-second tasks: each runs once at a time, each job ends, each caller gets its own answer",
		Description: "Exit codes: 0 done, 1 what was asked for did not succeed, 2 command line or settings are wrong, " +
			"3 an invariant was violated.",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	}
	for _, c := range registered {
		root.Commands = append(root.Commands, c.define())
	}
	return root
}

// load reads the settings that --config names and sets up the log.
func load(c *cli.Command, role string) (*settings.Settings, *logrus.Entry, error) {
	set, err := settings.Load(c.String("config"))
	if err != nil {
		return nil, nil, cli.Exit(err.Error(), exit.Usage)
	}
	log, err := logs.New(logs.NewWriter(os.Stdout, set.Log.Rate), set.Log.Level, role, set.Node.Name)
	if err != nil {
		return nil, nil, cli.Exit(err.Error(), exit.Usage)
	}
	return set, log, nil
}

// signals are those that a process is told to end or to reload with. Of each kind one waits to be handled, since more are as good
// as one; and a series of one kind keeps none of the other out.
type signals struct{ stop, reload chan os.Signal }

// takeSignals lets the process take the signals that it is told to end or to reload with. A signal that nobody takes ends the
// process at once, with all the requests that it has read: so they are taken before it listens, and until it has ended.
// Logging to a pipe that nobody reads any more sends one as well, which is of no use: the lines are counted as dropped.
func notifySignals() signals {
	signal.Ignore(syscall.SIGPIPE)
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// awaitEnd returns when the process is asked to end. On SIGHUP it calls reload; a nil one does nothing.
func awaitStop(ctx context.Context, s signals, log *logrus.Entry, reload func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-s.stop:
			log.WithField("signal", sig.String()).Info("signal")
			return
		case sig := <-s.reload:
			log.WithField("signal", sig.String()).Info("signal")
			if reload != nil {
				reload()
			}
		}
	}
}

// noteSignals logs the signals that come while the process leaves: they come in series, and change nothing any more.
func logSignals(s signals, log *logrus.Entry) {
	for {
		var sig os.Signal
		select {
		case sig = <-s.stop:
		case sig = <-s.reload:
		}
		log.WithFields(logrus.Fields{"signal": sig.String(), "leaving": true}).Info("signal")
	}
}

// process is an entry or an agent.
type process interface {
	Start(ctx context.Context) error
	Drain()
}

// flushLimit bounds the writing of a process's last lines; both roles keep more than that of their grace for closing.
const flushTimeout = 100 * time.Millisecond

// serve runs a process until it is asked to end, and keeps its settings up to date.
func serve(ctx context.Context, p process, r *reloader, log *logrus.Entry) error {
	defer logs.Flush(log, flushTimeout)
	signals := notifySignals()
	if err := p.Start(ctx); err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	log.Info("started")
	reload := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.run(ctx, reload)
	awaitStop(ctx, signals, log, func() {
		select {
		case reload <- struct{}{}:
		default: // one is waiting already
		}
	})
	go logSignals(signals, log)
	p.Drain()
	return nil
}
