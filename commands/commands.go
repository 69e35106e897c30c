// Package commands implements hillreel's subcommands. Each file implements one subcommand and registers it in init.
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

// command is a subcommand.
type command interface {
	// define returns the definition of the subcommand for the command-line parser.
	define() *cli.Command
}

// registered lists all subcommands.
var registered []command

// register adds a subcommand to the command line.
func register(c command) { registered = append(registered, c) }

// New returns the root command with all subcommands.
func New() *cli.Command {
	root := &cli.Command{
		Name:  "hillreel",
		Usage: "dispatch sub-second tasks: no task has two runs at a time, every job ends, every caller gets its own answer",
		Description: "Exit codes: 0 success, 1 the command failed, 2 the command line or the settings are invalid, " +
			"3 an invariant was violated.",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	}
	for _, c := range registered {
		root.Commands = append(root.Commands, c.define())
	}
	return root
}

// load reads the settings file that --config names and creates the log of a process with the given role.
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

// signals holds the signals that ask a process to stop or to reload. Each channel buffers one signal: further signals of the same
// kind have no additional effect. The channels are separate so that many signals of one kind can't displace one of the other.
type signals struct{ stop, reload chan os.Signal }

// notifySignals starts to receive the signals that ask the process to stop or to reload. A signal that isn't received ends the
// process immediately, and all requests that it has read stay unanswered. The signals are therefore received from before the
// process listens until it has ended. notifySignals also ignores SIGPIPE, which the process gets when it logs to a pipe that has
// no reader any more; such log lines are counted as dropped instead.
func notifySignals() signals {
	signal.Ignore(syscall.SIGPIPE)
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// awaitStop returns when a signal asks the process to stop, or when ctx ends. On SIGHUP it calls reload unless reload is nil.
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

// logSignals logs the signals that arrive while the process shuts down. They have no effect, and several may arrive in a row.
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

// process is an entry or an agent. Start returns once it is running; Drain shuts it down.
type process interface {
	Start(ctx context.Context) error
	Drain()
}

// flushTimeout bounds the time for writing the last log lines. Entries and agents reserve more than this of their grace for closing.
const flushTimeout = 100 * time.Millisecond

// serve runs a process until it is asked to stop, and applies changes of its settings file meanwhile.
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
		default: // a reload is already pending
		}
	})
	go logSignals(signals, log)
	p.Drain()
	return nil
}
