package report_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/report"
	"hillreel/internal/load/world"
)

// TestReport guards against a table that lacks the line for all jobs, a kind, the largest tenth of a kind, a zone or the messages,
// and against a plot in another format than its file's extension selects.
func TestReport(t *testing.T) {
	p, err := plan.Parse("f", []byte("[run]\nlength = 4s\nwarmup = 1s\n[zone a]\nupstreams = 3\n[zone b]\n[upstream u]\n[job j]\nrate = 50\ntime = 50ms\n"))
	qt.Assert(t, err, qt.IsNil)
	r, err := world.Run(p)
	qt.Assert(t, err, qt.IsNil)
	var table strings.Builder
	qt.Assert(t, report.Table(&table, p, r), qt.IsNil)
	for _, line := range []string{" all ", " j ", "largest tenth of j", "callers of a", "callers of b", "messages a second"} {
		qt.Assert(t, strings.Contains(table.String(), line), qt.IsTrue, qt.Commentf("%q in\n%s", line, table.String()))
	}
	for _, test := range []struct{ extension, magic string }{{".png", "\x89PNG"}, {".svg", "<?xml"}} {
		file := filepath.Join(t.TempDir(), "load"+test.extension)
		qt.Assert(t, report.Plot(file, r), qt.IsNil)
		raw, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, strings.HasPrefix(string(raw), test.magic), qt.IsTrue)
	}
	qt.Assert(t, report.Plot(filepath.Join(t.TempDir(), "load.unknown"), r), qt.ErrorMatches, "plot: .*")
}

// BenchmarkLargeRegion simulates ten seconds of a region with eighty upstreams and twelve entries.
func BenchmarkLargeRegion(b *testing.B) {
	p, err := plan.Read("../../../deploy/load.ini")
	qt.Assert(b, err, qt.IsNil)
	p.Load, p.Length, p.Faults = 6, 10*time.Second, nil
	for i := range p.Zones {
		p.Zones[i].Entries, p.Zones[i].Upstreams = 3, 20
	}
	for b.Loop() {
		_, err := world.Run(p)
		qt.Assert(b, err, qt.IsNil)
	}
}
