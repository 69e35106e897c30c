package logs_test

import (
	"bytes"
	"expvar"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/logs"
)

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// counted counts what it is given.
type counted struct {
	mu    sync.Mutex
	lines int
}

func (c *counted) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

func dropped() int64 {
	n, _ := strconv.ParseInt(expvar.Get("log_lines_dropped").String(), 10, 64)
	return n
}

// TestNeverBlocks: an output that takes nothing holds nobody up; what does not fit is counted.
func TestNeverBlocks(t *testing.T) {
	out := &stuck{make(chan struct{})}
	defer close(out.release)
	w := logs.NewWriter(out, 1_000_000)
	before := dropped()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks")
	}
	qt.Assert(t, dropped()-before > 15_000, qt.IsTrue)
}

// TestVolumeIsBounded: more lines than the rate allows over five seconds are dropped and counted.
func TestVolumeIsBounded(t *testing.T) {
	out := &counted{}
	w := logs.NewWriter(out, 20)
	before := dropped()
	for range 1000 {
		w.Write([]byte("line\n"))
		time.Sleep(20 * time.Microsecond)
	}
	time.Sleep(100 * time.Millisecond)
	out.mu.Lock()
	defer out.mu.Unlock()
	qt.Assert(t, out.lines >= 100 && out.lines < 200, qt.IsTrue, qt.Commentf("%d lines", out.lines))
	qt.Assert(t, dropped()-before, qt.Equals, int64(1000-out.lines))
}
