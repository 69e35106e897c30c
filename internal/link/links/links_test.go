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

// setWithLink returns a set with one link that last received a frame at lastReceived.
func setWithLink(t *testing.T, lastReceived time.Time) *links.Set[int] {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		if conn, err := ln.Accept(); err == nil {
			session.Accept(conn, &wire.Hello{Name: "remote"}) //nolint:errcheck // only the dialling side is tested
		}
	}()
	s, err := session.Dial(session.TCP, ln.Addr().String(), session.Limits{Dial: time.Second, Handshake: time.Second}, &wire.Hello{})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(s.Close)
	set := links.New[int]("peer", cordon.NewPeer, logs.Discard())
	set.Add(lastReceived, s)
	return set
}

// TestDropSilent guards against links that are dropped too early after a pause of this process. Frames that arrived during the pause must
// be read first. While the process runs, a silent link is dropped after LinkTimeout.
func TestDropSilent(t *testing.T) {
	limits := links.Limits{LinkTimeout: 250 * time.Millisecond, Silence: 400 * time.Millisecond}
	for _, test := range []struct {
		name            string
		silent, running time.Duration
		dropped         bool
	}{
		{"received recently", 240 * time.Millisecond, time.Minute, false},
		{"longer than the link timeout", 260 * time.Millisecond, time.Minute, true},
		{"paused meanwhile", 390 * time.Millisecond, 10 * time.Millisecond, false},
		{"longer than the link timeout after a pause", 390 * time.Millisecond, 260 * time.Millisecond, true},
		{"longer than silence, despite a pause", 410 * time.Millisecond, 10 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			set := setWithLink(t, now.Add(-test.silent))
			dropped := set.DropSilent(now, now.Add(-test.running), limits)
			qt.Assert(t, len(dropped) == 1, qt.Equals, test.dropped)
			qt.Assert(t, set.Len(), qt.Equals, 1-len(dropped))
		})
	}
}

// TestPauseDetector guards against pauses of the process that are missed: RunningSince must be the end of the last long gap between ticks,
// and a gap longer than MaxGap must be logged once.
func TestPauseDetector(t *testing.T) {
	var out bytes.Buffer
	log, err := logs.New(&out, "info", "entry", "e")
	qt.Assert(t, err, qt.IsNil)
	var delays []time.Duration
	p := links.PauseDetector{
		MaxGap: 200 * time.Millisecond, MaxRunningGap: 100 * time.Millisecond, Interval: 20 * time.Millisecond, Log: log,
		OnTick: func(d time.Duration) { delays = append(delays, d) },
	}
	now := time.Now()
	for _, test := range []struct {
		gap    time.Duration
		paused bool
	}{
		{time.Hour, true}, {20 * time.Millisecond, false}, {100 * time.Millisecond, false}, {101 * time.Millisecond, true}, {20 * time.Millisecond, false},
		{300 * time.Millisecond, true},
	} {
		runningSince := p.RunningSince
		now = now.Add(test.gap)
		p.Tick(now)
		want := runningSince
		if test.paused {
			want = now
		}
		qt.Assert(t, p.RunningSince, qt.Equals, want)
	}
	qt.Assert(t, strings.Count(out.String(), "process_stood_still"), qt.Equals, 1)
	qt.Assert(t, delays, qt.DeepEquals, []time.Duration{0, 80 * time.Millisecond, 81 * time.Millisecond, 0, 280 * time.Millisecond})
}
