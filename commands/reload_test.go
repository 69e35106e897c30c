package commands

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/logs"
	"hillreel/internal/core/settings"
)

// TestReload guards against these faults of a reload: changed seeds or a changed log level have no effect, other changed options are
// not reported as needing a restart, and an invalid file changes settings or is logged without its field.
func TestReload(t *testing.T) {
	for _, test := range []struct {
		name, text string
		seeds      []string
		level      string
		want       string
	}{
		{"unchanged", "[log]\nlevel = info\n", nil, "info", ""},
		{"seeds", "[node]\nseeds = 10.0.0.1:1,10.0.0.2:1\n", []string{"10.0.0.1:1", "10.0.0.2:1"}, "info", "needs_restart=false"},
		{"level", "[log]\nlevel = warning\n", nil, "warning", ""},
		{"another option", "[node]\nname = other\n", nil, "info", "needs_restart=true"},
		{"wrong field", "[links]\nlease = 400\n", nil, "info", "lease: want a duration"},
		{"not INI", "[links\n", nil, "info", "settings_refused"},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "node.ini")
			qt.Assert(t, os.WriteFile(file, []byte("[log]\nlevel = info\n"), 0o600), qt.IsNil)
			set, err := settings.Load(file)
			qt.Assert(t, err, qt.IsNil)
			var out bytes.Buffer
			log, err := logs.New(&out, "info", "entry", "e")
			qt.Assert(t, err, qt.IsNil)
			var got []string
			r := newReloader(file, set, func(s []string) { got = s }, log)
			qt.Assert(t, os.WriteFile(file, []byte(test.text), 0o600), qt.IsNil)
			r.reload()
			r.reload()
			qt.Assert(t, got, qt.DeepEquals, test.seeds)
			qt.Assert(t, set.Log.Level, qt.Equals, test.level)
			qt.Assert(t, out.String(), qt.Contains, test.want)
		})
	}
}
