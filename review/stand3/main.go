// Command stand3 plays the scripted cases of the third review. It starts hillreel's entries and agents as separate processes with the commands
// of the deploy file, stands in for the platform's store, the upstreams and the clients, and writes what was sent, answered and run to a
// record. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxLength is how long a case may run.
const maxLength = 115 * time.Second

// caseFunc plays a case with or without its disruption, and returns what broke the rule; none if it held.
type caseFunc func(c *cluster, trouble bool) (broken []string, err error)

// caseSpec describes a case.
type caseSpec struct {
	options clusterOptions
	play    caseFunc
}

// recorder writes lines with the time since its start. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.start).Seconds()) //nolint:errcheck // a record that can't be written shows in the result
	fmt.Fprintf(r.file, format+"\n", args...)                    //nolint:errcheck // as above
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(name, file string) int {
	spec, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "stand3: no such case:", name)
		return exitFailed
	}
	out, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand3:", err)
		return exitFailed
	}
	defer out.Close()
	rec := &recorder{file: out, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption %v", name, trouble)
	c, err := startCluster(spec.options, rec)
	if err != nil {
		return fail(rec, err)
	}
	defer c.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := spec.play(c, trouble)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			return fail(rec, o.err)
		}
		return report(rec, o.broken)
	case s := <-signals:
		return fail(rec, fmt.Errorf("stopped by %v", s))
	case <-time.After(maxLength):
		return fail(rec, fmt.Errorf("not done within %v", maxLength))
	}
}

// report writes the result of a case that could run, and returns its exit code.
func report(rec *recorder, broken []string) int {
	if len(broken) == 0 {
		rec.printf("result: the rule held")
		fmt.Println("held")
		return exitHeld
	}
	for _, b := range broken {
		rec.printf("broken: %s", b)
		fmt.Println("broken:", b)
	}
	rec.printf("result: the rule was broken")
	return exitBroken
}

// fail reports a case that couldn't run.
func fail(rec *recorder, err error) int {
	rec.printf("could not run: %v", err)
	fmt.Fprintln(os.Stderr, "stand3: could not run:", err)
	return exitFailed
}
