// Command stand plays the cases of the review. It starts the project's own programs as separate processes on loopback addresses, with the
// settings that the platform would write from the templates in deploy/, and serves the platform's store, the executors and the clients as
// stand-ins inside its own process.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 in the
// environment it plays the case without its disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxLength bounds a whole play, its start included. Processes that were started are killed when it has passed.
const maxLength = 117 * time.Second

// play is what one case does in a running deployment. It returns how the rule was broken, or an empty text if it held.
type play func(l *lab, trouble bool) (broken string, err error)

// small is the size of a small deployment.
var small = size{entries: 3, sides: 11, cpu: 16000}

// cases holds the plays by name.
var cases = map[string]struct {
	size size
	play play
}{
	"cancel":   {small, playCancel},
	"large":    {small, playLarge},
	"outages":  {small, playOutages},
	"takeover": {small, playTakeover},
	"waiting":  {small, playWaiting},
}

func main() {
	root := flag.String("root", ".", "the repository's root")
	record := flag.String("record", "record.txt", "file to write the record to")
	logs := flag.String("logs", "", "folder for the logs of the processes; a temporary one if empty")
	flag.Parse()
	os.Exit(run(*root, *record, *logs, flag.Arg(0)))
}

// run plays one case and returns the exit code.
func run(root, recordFile, logs, name string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitFailed
	}
	r, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case", "%s, with the disruption: %v", name, trouble)
	l, err := newLab(root, logs, c.size, r)
	if err != nil {
		r.add("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer l.stop()
	broken, err := c.play(l, trouble)
	switch {
	case err != nil:
		r.add("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	case broken != "":
		r.add("case", "the rule was broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	r.add("case", "the rule held")
	fmt.Println("held")
	return exitHeld
}

// programPath returns the path of the project's program, as the deploy file builds it.
func programPath(root string) string { return filepath.Join(root, "target", "hillreel") }
