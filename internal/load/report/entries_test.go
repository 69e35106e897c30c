package report_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/report"
	"hillreel/internal/load/world"
)

// TestReportOfEntries guards against a table that lacks the lines for the kinds of entries of a plan.
func TestReportOfEntries(t *testing.T) {
	p, err := plan.Parse("f", []byte("[run]\nlength = 4s\nwarmup = 1s\n[zone a]\nentries = 2\nupstreams = 3\n[entry strong]\n[entry weak]\nlink_mbits = 2\n"+
		"[upstream u]\n[job j]\nrate = 50\ntime = 50ms\n"))
	qt.Assert(t, err, qt.IsNil)
	r, err := world.Run(p)
	qt.Assert(t, err, qt.IsNil)
	var table strings.Builder
	qt.Assert(t, report.Table(&table, p, r), qt.IsNil)
	for _, line := range []string{"asked of strong entries", "asked of weak entries", "worst kind of entry 1.00, worst entry 1.00"} {
		qt.Assert(t, strings.Contains(table.String(), line), qt.IsTrue, qt.Commentf("%q in\n%s", line, table.String()))
	}
}
