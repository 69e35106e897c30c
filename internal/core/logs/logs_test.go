package logs_test

import (
	"bytes"
	"expvar"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/logs"
)

// stuck is an output whose writes block until release is closed.
type stuck struct{ release chan struct{} }

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// counted is an output that counts the lines it receives.
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

// TestNeverBlocks checks that an output that blocks does not block the logger, and that dropped lines are counted.
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

// TestVolumeIsBounded checks that lines above the rate, over burstSeconds, are dropped and counted.
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

// TestFlush checks that the last lines of a process are written before it ends, and that a blocked reader does not delay its end.
func TestFlush(t *testing.T) {
	for _, test := range []struct {
		name  string
		out   io.Writer
		limit time.Duration
	}{
		{"read", &slow{pause: 30 * time.Millisecond}, 10 * time.Second},
		{"not read any more", &stuck{make(chan struct{})}, 50 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			log, err := logs.New(logs.NewWriter(test.out, 1000), "info", "entry", "e")
			qt.Assert(t, err, qt.IsNil)
			log.Info("leaving")
			log.Info("left")
			began := time.Now()
			logs.Flush(log, test.limit)
			qt.Assert(t, time.Since(began) < 5*time.Second, qt.IsTrue)
			if s, ok := test.out.(*slow); ok {
				qt.Assert(t, s.text(), qt.Contains, "msg=left")
			}
		})
	}
}

// slow is an output whose writes take some time.
type slow struct {
	pause time.Duration
	mu    sync.Mutex
	got   bytes.Buffer
}

func (s *slow) Write(p []byte) (int, error) {
	time.Sleep(s.pause)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *slow) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}
