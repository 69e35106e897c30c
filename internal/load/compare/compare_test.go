package compare

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
)

// TestParseOption guards against options that are read as another field, or without their values.
func TestParseOption(t *testing.T) {
	for _, test := range []struct {
		text string
		want Option
		ok   bool
	}{
		{"claim_from=0,8", Option{"run", "claim_from", []string{"0", "8"}}, true},
		{"delays/handling = 100us, 1ms,2ms", Option{"delays", "handling", []string{"100us", "1ms", "2ms"}}, true},
		{"zone a/entries=1,2", Option{"zone a", "entries", []string{"1", "2"}}, true},
		{"load=1", Option{}, false},
		{"load", Option{}, false},
		{"=1,2", Option{}, false},
		{"/load=1,2", Option{}, false},
	} {
		got, err := ParseOption(test.text)
		qt.Check(t, err == nil, qt.Equals, test.ok, qt.Commentf(test.text))
		if test.ok {
			qt.Check(t, got, qt.DeepEquals, test.want)
		}
	}
}

// TestPairedDifference guards against differences with another sign, or whose error is that of figures that are not paired.
func TestPairedDifference(t *testing.T) {
	for _, test := range []struct {
		name                 string
		base, other          []float64
		difference, standard float64
	}{
		{"all seeds differ alike", []float64{1, 2, 5}, []float64{2, 3, 6}, 1, 0},
		{"seeds differ", []float64{1, 1, 1, 1}, []float64{0, 2, 0, 2}, 0, math.Sqrt(4.0 / 3 / 4)},
		{"lower", []float64{3, 3}, []float64{1, 2}, -1.5, 0.5},
		{"one seed", []float64{3}, []float64{1}, -2, math.NaN()},
	} {
		difference, standard := pairedDifference(test.base, test.other)
		qt.Check(t, difference, qt.Equals, test.difference, qt.Commentf(test.name))
		same := math.Abs(standard-test.standard) < 1e-12 || math.IsNaN(standard) && math.IsNaN(test.standard)
		qt.Check(t, same, qt.IsTrue, qt.Commentf("%s: %v", test.name, standard))
	}
}

const small = "[run]\nlength = 3s\nwarmup = 1s\n[zone a]\nentries = 2\nupstreams = 2\n[entry strong]\n[entry weak]\nlink_mbits = 2\n[upstream u]\n" +
	"[job j]\nrate = 50\ntime = 50ms\n"

// TestRun guards against ways that are played without their value or with different jobs, and against errors that hide the field.
func TestRun(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f.ini")
	qt.Assert(t, os.WriteFile(file, []byte(small), 0o600), qt.IsNil)
	compare := func(option string) (*Comparison, error) {
		o, err := ParseOption(option)
		qt.Assert(t, err, qt.IsNil)
		return Run(file, o, 2, func(p *plan.Plan) { p.Load *= 4 })
	}
	same, err := compare("returns=0,0")
	qt.Assert(t, err, qt.IsNil)
	var table strings.Builder
	qt.Assert(t, same.Table(&table), qt.IsNil)
	t.Log("\n" + table.String())
	for _, name := range same.Names {
		difference, standard := pairedDifference(same.Ways[0].Figures[name], same.Ways[1].Figures[name])
		qt.Check(t, difference == 0 && standard == 0, qt.IsTrue, qt.Commentf(name))
	}
	for _, part := range []string{"returns=0", "in time: j", "asked of weak entries", "worst kind of entry", "worst zone", "messages a second"} {
		qt.Check(t, strings.Contains(table.String(), part), qt.IsTrue, qt.Commentf(part))
	}

	differs, err := compare("job j/rate=50,150")
	qt.Assert(t, err, qt.IsNil)
	served, _ := pairedDifference(differs.Ways[0].Figures["in time"], differs.Ways[1].Figures["in time"])
	qt.Check(t, served < 0, qt.IsTrue, qt.Commentf("%v", served))
	seeds := differs.Ways[0].Figures["messages a second"]
	qt.Check(t, len(seeds) == 2 && seeds[0] != seeds[1], qt.IsTrue)

	_, err = compare("clam_from=0,8")
	qt.Check(t, err, qt.ErrorMatches, `.*\[run\] clam_from: no such field`)
	_, err = compare("load=1,much")
	qt.Check(t, err, qt.ErrorMatches, `.*\[run\] load: "much" is not a number`)
}
