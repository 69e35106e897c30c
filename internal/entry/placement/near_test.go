package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/entry/placement"
)

// TestRemote: a task runs for 200 ms near its data and 300 ms elsewhere, unless said otherwise.
func TestRemote(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name                         string
		waited, expected, near, here time.Duration
		left, mayWait                time.Duration
		want                         bool
	}{
		{"at first", 0, 0, 200 * ms, 300 * ms, time.Second, time.Second, true},
		{"it would still end sooner", 99 * ms, 0, 200 * ms, 300 * ms, time.Second, time.Second, true},
		{"it would not end sooner any more", 100 * ms, 0, 200 * ms, 300 * ms, time.Second, time.Second, false},
		{"room is expected in time", 0, 99 * ms, 200 * ms, 300 * ms, time.Second, time.Second, true},
		{"others wait before it", 0, 100 * ms, 200 * ms, 300 * ms, time.Second, time.Second, false},
		{"as fast here", 0, 0, 200 * ms, 200 * ms, time.Second, time.Second, false},
		{"faster here", 0, 0, 400 * ms, 300 * ms, time.Second, time.Second, false},
		{"in time here for long enough", 0, 0, 200 * ms, 300 * ms, 321 * ms, time.Second, true},
		{"late here after the pause", 0, 0, 200 * ms, 300 * ms, 320 * ms, time.Second, false},
		{"late here", 0, 0, 200 * ms, 300 * ms, 250 * ms, time.Second, false},
		{"refused after the pause", 0, 0, 200 * ms, 300 * ms, time.Second, 20 * ms, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := placement.Remote{Waited: c.waited, Expected: c.expected, Near: c.near, Here: c.here, Left: c.left, MayWait: c.mayWait, Pause: 20 * ms}
			qt.Assert(t, r.Wait(), qt.Equals, c.want)
		})
	}
}

func TestNearWait(t *testing.T) {
	for _, c := range []struct {
		name                  string
		tasks, slots, entries int
		want                  time.Duration
	}{
		{"alone", 1, 4, 1, 25 * time.Millisecond},
		{"behind two", 3, 4, 1, 75 * time.Millisecond},
		{"with other entries", 1, 4, 3, 75 * time.Millisecond},
		{"no room at all", 1, 0, 1, 100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			qt.Assert(t, placement.NearWait(c.tasks, c.slots, c.entries, 100*time.Millisecond), qt.Equals, c.want)
		})
	}
}
