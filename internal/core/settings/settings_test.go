package settings_test

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/settings"
)

func TestRefusals(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"unknown key", "[jobs]\nretenton = 10m", `settings: f.ini: \[jobs\] retenton: no such option`},
		{"unknown section", "[job]\nretention = 10m", `settings: f.ini: \[job\] : no such section`},
		{"no unit", "[jobs]\nretention = 10", `.*\[jobs\] retention: want a duration with its unit.*`},
		{"not a number", "[agent]\nslots = many", `.*\[agent\] slots: want a whole number without unit, not "many"`},
		{"too small", "[agent]\nslots = 0", `.*\[agent\] slots: must be at least 1`},
		{"too large", "[entry]\nmax_body = 65mb", `.*\[entry\] max_body: must be at most 64mb`},
		{"wrong size", "[entry]\nmax_body = 8gb", `.*\[entry\] max_body: want a size.*`},
		{"host name", "[node]\nlink = localhost:7400", `.*\[node\] link: want an IP number.*`},
		{"port", "[node]\nlink = 127.0.0.1:99999", `.*\[node\] link: want a port.*`},
		{"twice", "[agent]\nslots = 1\nslots = 2", `.*\[agent\] slots: given more than once`},
		{"gone before suspect", "[links]\ngone_after = 500ms", `.*\[links\] gone_after: must be longer than suspect_after`},
		{"retention too short", "[jobs]\nretention = 5s", `.*\[jobs\] retention: must be longer than twice.*`},
		{"level", "[log]\nlevel = loud", `.*\[log\] level: want debug.*`},
		{"not INI", "[jobs\nx", `(?s).*not INI.*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Parse("f.ini", test.text)
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}

func TestSecretsStaySecret(t *testing.T) {
	_, err := settings.Parse("f.ini", "[jobs]\nmac_keys = hush\n[entry]\noperator_token = hush")
	qt.Assert(t, err, qt.ErrorMatches, `.*mac_keys: a key is shorter than 16 characters`)
	s, err := settings.Parse("f.ini", "[jobs]\nmac_keys = hush-hush-hush-hush\n[entry]\noperator_token = hush\noperator_tokens = a/read/hush")
	qt.Assert(t, err, qt.IsNil)
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		qt.Assert(t, fmt.Sprintf(format, s), qt.Not(qt.Contains), "hush")
	}
}

func TestDocumentIsUpToDate(t *testing.T) {
	kept, err := os.ReadFile("../../../hillreel.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(kept), qt.Equals, settings.Document(), qt.Commentf("bin/hillreel config document > hillreel.ini"))
	_, err = settings.Parse("hillreel.ini", settings.Document())
	qt.Assert(t, err, qt.IsNil)
}
