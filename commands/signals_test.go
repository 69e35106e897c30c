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

// starting is a process that is sent signals while it starts.
type startingProcess struct {
	signals []syscall.Signal
	drained chan struct{}
}

// Start listens, as far as its caller can tell, and is sent its signals then.
func (s *startingProcess) Start(context.Context) error {
	for _, sig := range s.signals {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			return err
		}
		time.Sleep(time.Millisecond) // equal signals that wait for the process count once
	}
	time.Sleep(50 * time.Millisecond) // the signals are delivered
	return nil
}

func (s *startingProcess) Drain() { close(s.drained) }

// series is a signal so many times.
func repeatSignal(sig syscall.Signal, n int) []syscall.Signal {
	return slices.Repeat([]syscall.Signal{sig}, n)
}

// output collects what is logged.
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

// TestSignalsWhileStarting: an entry that was told to reload a millisecond after it had been asked to end was killed by the
// second signal, since nobody took signals any more, and cut every request that it had read. A process that listens
// already, but has not said that it has started, was killed in the same way. A signal of that time must be acted on as
// soon as the process has started.
func TestSignalsWhileStarting(t *testing.T) {
	// Whatever becomes of the process under test, this one is not ended.
	taken := make(chan os.Signal, 16)
	signal.Notify(taken, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(taken)
	for _, test := range []struct {
		name     string
		signals  []syscall.Signal
		reloaded bool
	}{
		{"asked to end", []syscall.Signal{syscall.SIGTERM}, false},
		{"told to reload, then asked to end", []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}, false},
		{"told to reload", []syscall.Signal{syscall.SIGHUP}, true},
		{"told to reload in series, then asked to end", append(repeatSignal(syscall.SIGHUP, 20), syscall.SIGTERM), false},
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
				// The file is also looked at without a signal, but later than this.
				awaitText(t, out, "settings_reloaded", reloadInterval/2)
				cancel()
			}
			select {
			case err := <-done:
				qt.Assert(t, err, qt.IsNil)
			case <-time.After(5 * time.Second):
				t.Fatalf("the process does not end:\n%s", out)
			}
			<-p.drained
		})
	}
}

// awaitText waits until something is logged.
func awaitText(t *testing.T, out *output, want string, limit time.Duration) {
	for until := time.Now().Add(limit); ; time.Sleep(time.Millisecond) {
		if strings.Contains(out.String(), want) {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("no %s:\n%s", want, out)
		}
	}
}
