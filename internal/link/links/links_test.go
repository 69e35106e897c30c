package links_test

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/config/cordon"
	"hillreel/internal/core/logs"
	"hillreel/internal/link/links"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// one returns a set with one link that was heard at a time.
func one(t *testing.T, heard time.Time) *links.Set[int] {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		if far, err := ln.Accept(); err == nil {
			session.Accept(far, &wire.Hello{Name: "far"}) //nolint:errcheck // its end is the test's
		}
	}()
	s, err := session.Dial(session.TCP, ln.Addr().String(), session.Limits{Dial: time.Second, Handshake: time.Second}, &wire.Hello{})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(s.Close)
	set := links.New[int]("peer", cordon.NewPeer, logs.Discard())
	set.Add(heard, s)
	return set
}

// TestDropSilent: a link is given up early if this process runs and hears nothing; what came while it stood still is read first.
func TestDropSilent(t *testing.T) {
	limits := links.Limits{LinkTimeout: 250 * time.Millisecond, Silence: 400 * time.Millisecond}
	for _, test := range []struct {
		name            string
		silent, running time.Duration
		drops           bool
	}{
		{"heard lately", 240 * time.Millisecond, time.Minute, false},
		{"quiet", 260 * time.Millisecond, time.Minute, true},
		{"stood still meanwhile", 390 * time.Millisecond, 10 * time.Millisecond, false},
		{"quiet since it runs again", 390 * time.Millisecond, 260 * time.Millisecond, true},
		{"silent, whatever this process did", 410 * time.Millisecond, 10 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			set := one(t, now.Add(-test.silent))
			dropped := set.DropSilent(now, now.Add(-test.running), limits)
			qt.Assert(t, len(dropped) == 1, qt.Equals, test.drops)
			qt.Assert(t, set.Len(), qt.Equals, 1-len(dropped))
		})
	}
}

// TestPulse: the process runs since its last pause between two ticks, and a standstill is told, whatever notices it.
func TestPulse(t *testing.T) {
	var out bytes.Buffer
	log, err := logs.New(&out, "info", "entry", "e")
	qt.Assert(t, err, qt.IsNil)
	var late []time.Duration
	p := links.PauseDetector{
		MaxGap: 200 * time.Millisecond, MaxRunningGap: 100 * time.Millisecond, Interval: 20 * time.Millisecond, Log: log,
		OnTick: func(d time.Duration) { late = append(late, d) },
	}
	now := time.Now()
	for _, test := range []struct {
		gap    time.Duration
		paused bool
	}{
		{time.Hour, true}, {20 * time.Millisecond, false}, {100 * time.Millisecond, false}, {101 * time.Millisecond, true}, {20 * time.Millisecond, false},
		{300 * time.Millisecond, true},
	} {
		before := p.RunningSince
		now = now.Add(test.gap)
		p.Tick(now)
		want := before
		if test.paused {
			want = now
		}
		qt.Assert(t, p.RunningSince, qt.Equals, want)
	}
	qt.Assert(t, strings.Count(out.String(), "process_stood_still"), qt.Equals, 1)
	qt.Assert(t, late, qt.DeepEquals, []time.Duration{0, 80 * time.Millisecond, 81 * time.Millisecond, 0, 280 * time.Millisecond})
}
