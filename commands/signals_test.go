package commands

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/logs"
	"hillreel/internal/core/settings"
)

// startingProcess is a process that gets signals while it starts.
type startingProcess struct {
	signals []syscall.Signal
	drained chan struct{}
}

// Start stands for a process that already listens: it sends the signals to the test process.
func (s *startingProcess) Start(context.Context) error {
	for _, sig := range s.signals {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			return err
		}
		time.Sleep(time.Millisecond) // pending signals of the same kind are delivered only once
	}
	time.Sleep(50 * time.Millisecond) // lets the last signal be delivered
	return nil
}

func (s *startingProcess) Drain() { close(s.drained) }

// repeatSignal returns a list of n signals sig.
func repeatSignal(sig syscall.Signal, n int) []syscall.Signal {
	return slices.Repeat([]syscall.Signal{sig}, n)
}

// output is a log writer that is safe for concurrent use.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// TestSignalsWhileStarting guards against a process that is killed by a signal which it doesn't receive, so that all requests that it
// has read stay unanswered. This happens if SIGHUP follows SIGTERM by a millisecond and the process receives no signals after the
// first one, or if a signal arrives while the process already listens but its start is not complete. Such an early signal must
// take effect as soon as the process has started.
func TestSignalsWhileStarting(t *testing.T) {
	// Receiving the signals here keeps them from ending the test process, even if the code under test doesn't receive them.
	taken := make(chan os.Signal, 16)
	signal.Notify(taken, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(taken)
	for _, test := range []struct {
		name     string
		signals  []syscall.Signal
		reloaded bool
	}{
		{"asked to stop", []syscall.Signal{syscall.SIGTERM}, false},
		{"told to reload, then asked to stop", []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}, false},
		{"told to reload", []syscall.Signal{syscall.SIGHUP}, true},
		{"told to reload many times, then asked to stop", append(repeatSignal(syscall.SIGHUP, 20), syscall.SIGTERM), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "node.ini")
			qt.Assert(t, os.WriteFile(file, []byte("[log]\nlevel = info\n"), 0o600), qt.IsNil)
			set, err := settings.Load(file)
			qt.Assert(t, err, qt.IsNil)
			out := &output{}
			log, err := logs.New(out, "info", "entry", "e")
			qt.Assert(t, err, qt.IsNil)
			r := newReloader(file, set, nil, log)
			qt.Assert(t, os.WriteFile(file, []byte("[log]\nlevel = debug\n"), 0o600), qt.IsNil)
			p := &startingProcess{test.signals, make(chan struct{})}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := make(chan error, 1)
			go func() { done <- serve(ctx, p, r, log) }()
			if test.reloaded {
				// The file is also read without a signal, but only after reloadInterval.
				awaitText(t, out, "settings_reloaded", reloadInterval/2)
				cancel()
			}
			select {
			case err := <-done:
				qt.Assert(t, err, qt.IsNil)
			case <-time.After(5 * time.Second):
				t.Fatalf("the process has not ended:\n%s", out)
			}
			<-p.drained
		})
	}
}

// awaitText waits until the log contains want, and fails the test after limit.
func awaitText(t *testing.T, out *output, want string, limit time.Duration) {
	for until := time.Now().Add(limit); ; time.Sleep(time.Millisecond) {
		if strings.Contains(out.String(), want) {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("the log lacks %s:\n%s", want, out)
		}
	}
}
