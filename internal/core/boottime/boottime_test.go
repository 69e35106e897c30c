package boottime

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSuspension checks that the clock counts the time of a suspension, which time.Now does not.
func TestSuspension(t *testing.T) {
	elapsed := time.Hour
	c := newClock(func() time.Duration { return elapsed })
	before := c.now()
	qt.Assert(t, time.Since(before).Abs() < time.Second, qt.IsTrue)
	elapsed += 5 * time.Second
	qt.Assert(t, c.now().Sub(before), qt.Equals, 5*time.Second)
}

// TestNow checks that the clock advances as time.Now does while the VM is not suspended, and that its readings have no monotonic
// reading, which differences would use.
func TestNow(t *testing.T) {
	before, real := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	qt.Assert(t, Since(before) >= 20*time.Millisecond, qt.IsTrue)
	qt.Assert(t, (Since(before)-time.Since(real)).Abs() < 10*time.Millisecond, qt.IsTrue)
	qt.Assert(t, before, qt.Equals, before.Round(0))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
