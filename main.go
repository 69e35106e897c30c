// Command hillreel dispatches sub-second tasks from callers to upstreams. README.md is the introduction.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hillreel/commands"
	"hillreel/commands/exit"
)

func main() {
	// By default SIGHUP ends the process, and it may arrive before the settings are read. Servers handle the signal once they start.
	signal.Ignore(syscall.SIGHUP)
	err := commands.New().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "hillreel:", err)
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		os.Exit(coded.ExitCode())
	}
	os.Exit(exit.Usage)
}
