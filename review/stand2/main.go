// Command stand2 plays the scripted cases of the second review. It starts hillreel's own programs as separate processes on loopback addresses,
// beside small stand-ins for the platform's store, the executors and the clients, and checks one rule of the users' platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken marks the error of a case in which the rule was broken.
var errBroken = errors.New("rule broken")

// brokenf returns an error which says how the rule was broken.
func brokenf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

// testCase is one scripted case. play returns nil if the rule held, and an error that wraps errBroken if it was broken.
type testCase struct {
	layout layout
	play   func(w *world, trouble bool) error
}

// cases lists the cases by name.
var cases = map[string]testCase{
	"labelled":  {labelledLayout, playLabelled},
	"restored":  {restoredLayout, playRestored},
	"cancelled": {cancelledLayout, playCancelled},
}

// timeLimit bounds a case.
const timeLimit = 110 * time.Second

func main() {
	runtime.LockOSThread() // the processes that are started end with this thread
	time.AfterFunc(timeLimit, func() { os.Exit(exitNotRun) })
	os.Exit(run())
}

// run plays the case that the first argument names and writes its record into the folder that the second one names.
func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		return exitNotRun
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case", "%s, trouble %v", os.Args[1], trouble)
	return report(rec, playIn(c, rec, trouble))
}

// playIn plays a case in a world of its own, which it ends afterwards.
func playIn(c testCase, rec *recorder, trouble bool) error {
	w, err := newWorld(c.layout, rec)
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return err
	}
	return c.play(w, trouble)
}

// report prints the result of a case and returns its exit code.
func report(rec *recorder, err error) int {
	code, text := exitHeld, "the rule held"
	switch {
	case errors.Is(err, errBroken):
		code, text = exitBroken, err.Error()
	case err != nil:
		code, text = exitNotRun, "the case could not run: "+err.Error()
	}
	rec.logf("result", "%s", text)
	fmt.Println(text)
	return code
}
