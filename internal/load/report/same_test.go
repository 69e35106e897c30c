package report_test

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/report"
	"hillreel/internal/load/world"
)

var sameWrite = flag.Bool("same-write", false, "write the results of TestSame to its expected file")

// expectedFile holds the expected tables of TestSame.
const expectedFile = "testdata/same.txt"

// TestSame guards against unintended changes of decisions: the simulations of two deployments must give exactly the tables in
// expectedFile. A change that only moves code leaves them as they are. A change of a decision updates them with make same.
func TestSame(t *testing.T) {
	var b bytes.Buffer
	for _, file := range []string{"../../../deploy/load.ini", "../../../deploy/plans/three_zones.ini"} {
		p, err := plan.Read(file)
		qt.Assert(t, err, qt.IsNil)
		p.Length, p.Warmup = 6*time.Second, time.Second
		r, err := world.Run(p)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, report.Table(&b, p, r), qt.IsNil)
	}
	t.Log(b.String())
	if *sameWrite {
		qt.Assert(t, os.WriteFile(expectedFile, b.Bytes(), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(expectedFile)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.String(), qt.Equals, string(want))
}
