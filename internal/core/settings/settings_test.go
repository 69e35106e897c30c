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
		{"unknown key", "[links]\nlese = 10m", `settings: f.ini: \[links\] lese: no such option`},
		{"unknown section", "[job]\nretention = 10m", `settings: f.ini: \[job\] : no such section`},
		{"no unit", "[links]\nlease = 10", `.*\[links\] lease: want a duration with its unit.*`},
		{"not a number", "[agent]\nconnections = many", `.*\[agent\] connections: want a whole number without unit, not "many"`},
		{"too small", "[agent]\nconnections = 0", `.*\[agent\] connections: must be at least 1`},
		{"too large", "[entry]\nmax_body = 65mb", `.*\[entry\] max_body: must be at most 64mb`},
		{"factor too small", "[entry]\nremote_factor = 0.5", `.*\[entry\] remote_factor: must be at least 1`},
		{"factor too large", "[entry]\nremote_factor = +Inf", `.*\[entry\] remote_factor: must be at most 100`},
		{"factor not a number", "[entry]\nremote_factor = NaN", `.*\[entry\] remote_factor: must be at least 1`},
		{"claims from a negative number", "[entry]\nclaim_from = -1", `.*\[entry\] claim_from: must be at least 0`},
		{"wrong size", "[entry]\nmax_body = 8gb", `.*\[entry\] max_body: want a size.*`},
		{"host name", "[node]\nlink = localhost:7400", `.*\[node\] link: want an IP address.*`},
		{"port", "[node]\nlink = 127.0.0.1:99999", `.*\[node\] link: want a port.*`},
		{"twice", "[agent]\nconnections = 1\nconnections = 2", `.*\[agent\] connections: given more than once`},
		{"silence too short", "[links]\nsilence = 200ms", `.*\[links\] silence: must be longer than twice keep_alive`},
		{"lease too short", "[links]\nlease = 200ms", `.*\[links\] lease: must be longer than twice keep_alive`},
		{"kept lease too short", "[kept]\nlease = 3s\nrenew = 1s", `.*\[kept\] lease: must be longer than three times renew`},
		{"no writes", "[kept]\nwrites = 0", `.*\[kept\] writes: must be above 0`},
		{"no writes of a part", "[kept]\npart_writes = -1", `.*\[kept\] part_writes: must be above 0`},
		{"unready for all the grace", "[entry]\nunready = 6s", `.*\[entry\] unready: must be shorter than grace by 700ms`},
		{"unready for nearly all the grace", "[entry]\nunready = 2500ms\ngrace = 3s", `.*\[entry\] unready: must be shorter than grace by 700ms`},
		{"seed without port", "[node]\nseeds = 10.0.0.1:7400,10.0.0.2", `.*\[node\] seeds: want an IP address.*`},
		{"token", "[entry]\noperator_tokens = hush", `.*\[entry\] operator_tokens: want name/role/token`},
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
	_, err := settings.Parse("f.ini", "[entry]\noperator_token = hush\noperator_tokens = hush")
	qt.Assert(t, err, qt.ErrorMatches, `.*operator_tokens: want name/role/token`)
	s, err := settings.Parse("f.ini", "[entry]\noperator_token = hush\noperator_tokens = a/read/hush")
	qt.Assert(t, err, qt.IsNil)
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		qt.Assert(t, fmt.Sprintf(format, s), qt.Not(qt.Contains), "hush")
	}
}

func TestDocumentIsUpToDate(t *testing.T) {
	kept, err := os.ReadFile("../../../hillreel.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(kept), qt.Equals, settings.Document(), qt.Commentf("bin/hillreel settings document > hillreel.ini"))
	_, err = settings.Parse("hillreel.ini", settings.Document())
	qt.Assert(t, err, qt.IsNil)
}
