// Command hillreel dispatches sub-second tasks from callers to upstreams. README.md shows the way in.
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
	// A process may be told to reload before it has read its settings, and would end. A server takes the signal up later.
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
