package schedule

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var sameWrite = flag.Bool("same-write", false, "write the digest of what the schedules of TestSame decide")

// sameFile holds the digest of what the schedules of TestSame decide.
const sameFile = "testdata/same.txt"

// TestSame guards against unintended changes of behaviour: schedules of each kind must decide what they did when the
// digest was last written. A change that only moves code leaves the digest as it is. A change of decisions needs a new
// digest (make same).
func TestSame(t *testing.T) {
	var b strings.Builder
	for _, from := range []uint64{1, impatientFrom, restartsFrom, cordonsFrom, crashesFrom, vmFaultsFrom, partitionsFrom, lateCallsFrom, cpuStarvationFrom} {
		all := sha256.New()
		for s := range uint64(12) {
			w := runSchedule(from+s, nil, faultCount(from+s))
			fmt.Fprintln(all, strings.Join(w.log, "\n"))
		}
		fmt.Fprintf(&b, "schedules from %d: %x\n", from, all.Sum(nil)[:8])
	}
	t.Log(b.String())
	if *sameWrite {
		qt.Assert(t, os.WriteFile(sameFile, []byte(b.String()), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(sameFile)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.String(), qt.Equals, string(want))
}
