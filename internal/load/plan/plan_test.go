package plan_test

import (
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
)

// small is a minimal plan.
const small = "[zone a]\n[upstream u]\n[job j]\nrate = 10\ntime = 50ms\n"

// TestExample guards against an example plan, deploy/load.ini, that is invalid or whose sections are read incompletely.
func TestExample(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/load.ini")
	qt.Assert(t, err, qt.IsNil)
	p, err := plan.Parse("load.ini", raw)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.Zones, qt.HasLen, 4)
	qt.Assert(t, p.Jobs, qt.HasLen, 3)
	qt.Assert(t, p.Faults, qt.HasLen, 2)
	qt.Assert(t, p.Cores(), qt.Equals, 8*32+3*48.0)
	qt.Assert(t, p.Warmup, qt.Equals, 4*time.Second)
}

// TestBadInput guards against errors from which the author of a plan can't tell the section, the field and the reason.
func TestBadInput(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"unknown field", small + "[run]\nlenght = 3s\n", `plan: f: [run] lenght: no such field`},
		{"unknown section", small + "[runs]\n", `plan: f: [runs] : the section needs a name, as in [zone a]`},
		{"unknown named section", small + "[zones b]\n", `plan: f: [zones b] : no such section; the sections are run, delays, zone, entry, upstream, job, share and fault`},
		{"no number", small + "[zone b]\nshare = much\n", `plan: f: [zone b] share: "much" is not a number`},
		{"out of bounds", small + "[zone b]\nshare = -1\n", `plan: f: [zone b] share: -1 is not between 0 and 1000`},
		{"no whole number", small + "[zone b]\nentries = 1.5\n", `plan: f: [zone b] entries: "1.5" is not a whole number`},
		{"no time", small + "[run]\nlength = 10\n", `plan: f: [run] length: "10" is not a duration such as 60ms`},
		{"no kind", small + "[fault f]\nkind = rain\n", `plan: f: [fault f] kind: "rain" is not one of [`},
		{"no zone of that name", small + "[fault f]\nkind = burst\nzone = z\n", `plan: f: [fault f] zone: no zone is named z`},
		{"no job of that name", small + "[fault f]\nkind = burst\njob = x\n", `plan: f: [fault f] job: no job is named x`},
		{"no time of a job", "[zone a]\n[upstream u]\n[job j]\nrate = 10\n", `plan: f: [job j] time: 0s is not between 1ms and 1h0m0s`},
		{"a remote factor below one", small + "[run]\nremote_factor = 0.5\n", `plan: f: [run] remote_factor: 0.5 is not between 1 and 100`},
		{"no racks", small + "[job k]\nrate = 1\ntime = 1s\nnear = 0.5\n", `plan: f: [job k] near: no zone has racks`},
		{"more than all jobs", small + "[zone b]\nrack = 1\n[fault f]\nkind = hot_rack\nfactor = 1.5\n", `plan: f: [fault f] factor: 1.5 is not between 0 and 1`},
		{"no racks in the zone", small + "[zone b]\nrack = 1\n[fault f]\nkind = hot_rack\nzone = a\n", `plan: f: [fault f] zone: has no racks`},
		{"a wave below nothing", small + "[zone b]\nswing = 1.1\n", `plan: f: [zone b] swing: 1.1 is not between 0 and 1`},
		{"no period", small + "[zone b]\nperiod = 0s\n", `plan: f: [zone b] period: 0s is not between 100ms and 1h0m0s`},
		{"a burst on a crest beyond bounds", "[zone a]\nswing = 0.5\n[upstream u]\n[job j]\nrate = 10\ntime = 50ms\n[fault f]\nkind = burst\nfactor = 3\n",
			`plan: f: [fault f] factor: one zone would send more than 4 times the usual jobs of all zones`},
		{"no kind of entry of that name", small + "[zone b]\nentry_kind = x\n", `plan: f: [zone b] entry_kind: no kind of entry is named x`},
		{"an entry without a name", small + "[entry]\nweight = 1\n", `plan: f: [entry] : the section needs a name, as in [zone a]`},
		{"an entry's link", small + "[entry e]\nlink_mbits = -1\n", `plan: f: [entry e] link_mbits: -1 is not between 0 and 1e+06`},
		{"an entry's handling", small + "[entry e]\nhandling = 2s\n", `plan: f: [entry e] handling: 2s is not between 0s and 1s`},
		{"no jobs", "[zone a]\n[upstream u]\n", `plan: f: [job] rate: the rates of all jobs are 0`},
		{"no upstreams", "[zone a]\n[job j]\nrate = 10\ntime = 50ms\n", `plan: f: [upstream] : at least one [upstream NAME] section is needed`},
		{"no VMs", "[zone a]\nupstreams = 0\n[upstream u]\n[job j]\nrate = 10\ntime = 50ms\n", `plan: f: [zone] entries, upstreams: at least one entry and one upstream are needed`},
		{"a burst beyond bounds", small + "[fault f]\nkind = burst\nfactor = 5\n", `plan: f: [fault f] factor: one zone would send more than 4 times the usual jobs of all zones`},
		{"no weight", small + "[share s]\nroutes = j\nweight = 0\n", `plan: f: [share s] weight: 0 is not between 0.001 and 1e+06`},
		{"no routes", small + "[share s]\n", `plan: f: [share s] routes: a job's name is missing`},
		{"no route of that name", small + "[share s]\nroutes = j, k\n", `plan: f: [share s] routes: no job is named k`},
		{"a route of two teams", small + "[share s]\nroutes = j\n[share t]\nroutes = j\n", `plan: f: [share t] routes: j belongs to s`},
		{"a floor above the limit", small + "[share s]\nroutes = j\nfloor = 0.6\nlimit = 0.5\n", `plan: f: [share s] floor: must be at most the limit`},
		{"all warmup", small + "[run]\nlength = 2s\nwarmup = 2s\n", `plan: f: [run] warmup: must be shorter than the length`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := plan.Parse("f", []byte(test.text))
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, strings.HasPrefix(err.Error(), test.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestRates guards against bursts that affect other zones, other jobs or other times than those that they name.
func TestRates(t *testing.T) {
	p, err := plan.Parse("f", []byte("[zone a]\nshare = 1\n[zone b]\nshare = 3\n[upstream u]\n[job j]\nrate = 40\ntime = 50ms\n[job k]\nrate = 4\ntime = 1s\n"+
		"[fault f]\nkind = burst\nat = 2s\nfor = 1s\nzone = a\njob = j\nfactor = 2\n"))
	qt.Assert(t, err, qt.IsNil)
	for _, test := range []struct {
		zone, job int
		at        time.Duration
		want      float64
	}{
		{0, 0, time.Second, 10}, {0, 0, 2500 * time.Millisecond, 20}, {0, 0, 3 * time.Second, 10},
		{1, 0, 2500 * time.Millisecond, 30}, {0, 1, 2500 * time.Millisecond, 1},
	} {
		qt.Assert(t, p.Rate(&p.Zones[test.zone], &p.Jobs[test.job], test.at), qt.Equals, test.want)
	}
}

// TestEntryKinds guards against entries that get another kind than that of their zone or of their turn.
func TestEntryKinds(t *testing.T) {
	const kinds = "[entry strong]\nlink_mbits = 200\nweight = 2\n[entry weak]\nlink_mbits = 25\nhandling = 4ms\n[zone b]\nentry_kind = weak\n"
	p, err := plan.Parse("f", []byte(small+kinds))
	qt.Assert(t, err, qt.IsNil)
	strong := plan.Entry{Name: "strong", Weight: 2, LinkMbits: 200}
	weak := plan.Entry{Name: "weak", Weight: 1, LinkMbits: 25, Handling: 4 * time.Millisecond}
	for _, test := range []struct {
		zone, n int
		want    plan.Entry
	}{{0, 0, strong}, {0, 1, strong}, {0, 2, weak}, {0, 3, strong}, {1, 0, weak}, {1, 1, weak}} {
		qt.Assert(t, *p.EntryKind(&p.Zones[test.zone], test.n), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
	p.Central = true
	qt.Assert(t, *p.EntryKind(&p.Zones[1], 0), qt.Equals, plan.Entry{})
	p.Central, p.Entries = false, nil
	qt.Assert(t, *p.EntryKind(&p.Zones[0], 0), qt.Equals, plan.Entry{})
}

// TestWaves guards against waves with another height, length or beginning than their zone says, and against waves in other zones.
func TestWaves(t *testing.T) {
	p, err := plan.Parse("f", []byte("[zone a]\nswing = 0.5\nperiod = 8s\nphase = 0.25\n[zone b]\nswing = 1\n[zone c]\nshare = 2\n[upstream u]\n[job j]\nrate = 40\ntime = 50ms\n"))
	qt.Assert(t, err, qt.IsNil)
	for _, test := range []struct {
		zone int
		at   time.Duration
		want float64
	}{
		{0, 0, 15}, {0, 2 * time.Second, 10}, {0, 4 * time.Second, 5}, {0, 8 * time.Second, 15},
		{1, 0, 10}, {1, 5 * time.Second, 20}, {1, 15 * time.Second, 0}, {2, 5 * time.Second, 20},
	} {
		got := p.Rate(&p.Zones[test.zone], &p.Jobs[0], test.at)
		qt.Check(t, math.Abs(got-test.want) < 1e-9, qt.IsTrue, qt.Commentf("%+v: %v", test, got))
	}
}

// TestPlans guards against plans of deploy/plans that can't be read.
func TestPlans(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/plans/*.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 3, qt.IsTrue)
	for _, file := range files {
		_, err := plan.Read(file)
		qt.Check(t, err, qt.IsNil, qt.Commentf(file))
	}
}

// TestExampleOfComments guards against a commented kind of entry or share in the example plan that can't be read.
func TestExampleOfComments(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/load.ini")
	qt.Assert(t, err, qt.IsNil)
	uncommented := regexp.MustCompile(`(?m)^# (\[entry weak\]|\[share producers\]|[a-z_]+ = .*)$`).ReplaceAll(raw, []byte("$1"))
	p, err := plan.Parse("load.ini", uncommented)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.Entries, qt.DeepEquals, []plan.Entry{{Name: "weak", Weight: 1}})
	qt.Assert(t, p.Shares, qt.DeepEquals, []plan.Share{{Team: "producers", Routes: []string{"narrow", "long"}, Weight: 1}})
	qt.Assert(t, p.Zones[3].EntryKind, qt.Equals, "weak")
}
