package embedded_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/settings"
	"hillreel/internal/standin/embedded"
	"hillreel/internal/standin/platform"
)

// patience bounds every wait of these tests; nothing is expected to take nearly as long.
const patience = 30 * time.Second

func startSet(t *testing.T, o embedded.Options) *embedded.Set {
	invariant.SetFatal(true)
	o.Log = logs.Discard()
	set, err := embedded.Start(o)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(set.Stop)
	return set
}

// operate does one call at the first entry's operators' port.
func operate(t *testing.T, address, token, method, path, match, body string) (int, map[string]any) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+token)
	switch match {
	case "":
	case "new":
		req.Header.Set("If-None-Match", "*")
	default:
		req.Header.Set("If-Match", `"`+match+`"`)
	}
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	var out map[string]any
	qt.Assert(t, json.Unmarshal(raw, &out), qt.IsNil, qt.Commentf("%s", raw))
	return resp.StatusCode, out
}

func eventually(t *testing.T, what string, ok func() bool) {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %s: %s", patience, what)
}

func everywhere(set *embedded.Set, v ident.ConfigVersion) func() bool {
	return func() bool {
		for _, e := range set.Entries {
			if e.Node.Status().Config < v {
				return false
			}
		}
		for _, a := range set.Agents {
			if a.Node.Status().Config < v {
				return false
			}
		}
		return true
	}
}

func TestConfigReachesEverybody(t *testing.T) {
	set := startSet(t, embedded.Options{Agents: 4})
	ops := set.Entries[0].Ops.Address()
	do := func(method, path, match, body string) (int, map[string]any) {
		return operate(t, ops, embedded.Token, method, path, match, body)
	}
	status, out := do("PUT", "/v1/config/pool/p1", "new", `{"service":"publish","selector":"upstream=upstream-2"}`)
	qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
	eventually(t, "version 1 everywhere", everywhere(set, 1))
	eventually(t, "status says so", func() bool {
		s := set.Entries[0].Node.ConfigStatus()
		return s.InForce == 7 && s.Processes == 7 && s.TookMs >= 0
	})

	// A cordon by an older version is refused, and named.
	status, out = do("PUT", "/v1/config/pool/p1", "7", `{"service":"publish","selector":""}`)
	qt.Assert(t, status, qt.Equals, 409)
	qt.Assert(t, out["present"].(map[string]any)["version"], qt.Equals, 1.0)
	status, out = do("PATCH", "/v1/config/pool/p1?dry_run=1", "1", `{"selector":"upstream=nobody"}`)
	qt.Assert(t, status, qt.Equals, 200)
	moves := out["moves"].([]any)[1].(map[string]any)
	qt.Assert(t, moves["service"], qt.Equals, "publish")
	qt.Assert(t, moves["nowhere_to_run"], qt.Equals, true)

	// A new agent and a new entry take the version from the others while the store is down.
	set.Platform.SetFault(platform.Fault{Down: true})
	status, out = do("PUT", "/v1/config/team/t", "new", `{"quota":1}`)
	qt.Assert(t, status, qt.Equals, 503)
	qt.Assert(t, out["verdict"], qt.Equals, "not_run")
	set.Platform.SetFault(platform.Fault{})
	_, err := set.AddAgent(4)
	qt.Assert(t, err, qt.IsNil)
	_, err = set.AddEntry(3)
	qt.Assert(t, err, qt.IsNil)
	eventually(t, "version 1 at the newcomers", everywhere(set, 1))
}

func TestRoles(t *testing.T) {
	set := startSet(t, embedded.Options{Agents: 1, Entries: 1, Tune: func(s *settings.Settings) {
		s.Entry.OperatorTokens = settings.Secrets{"mon/read/tr", "pod/team=podcast/tp"}
	}})
	ops := set.Entries[0].Ops.Address()
	const own = `{"selector":"team=podcast","concurrency":5}`
	for _, test := range []struct {
		name, token, method, path, match, body string
		status                                 int
	}{
		{"no token", "x", "GET", "/v1/config", "", "", 401},
		{"reader reads", "tr", "GET", "/v1/config", "", "", 200},
		{"reader changes nothing", "tr", "PUT", "/v1/config/limit/podcast.a", "new", own, 403},
		{"team changes its limit", "tp", "PUT", "/v1/config/limit/podcast.a", "new", own, 200},
		{"team changes another's", "tp", "PUT", "/v1/config/limit/podcast.b", "new", `{"selector":"team=canteen","concurrency":5}`, 403},
		{"team widens a selector", "tp", "PUT", "/v1/config/limit/podcast.b", "new", `{"selector":"","concurrency":5}`, 403},
		{"team changes no quota", "tp", "PUT", "/v1/config/team/podcast", "new", `{"quota":5}`, 403},
		{"no precondition", embedded.Token, "PUT", "/v1/config/team/podcast", "", `{"quota":5}`, 428},
		{"bad field", embedded.Token, "PUT", "/v1/config/team/podcast", "new", `{"quota":-5}`, 400},
		{"no such kind", embedded.Token, "PUT", "/v1/config/tribe/podcast", "new", `{}`, 400},
		{"no such object", embedded.Token, "GET", "/v1/config/team/podcast", "", "", 404},
		{"operator changes all", embedded.Token, "PUT", "/v1/config/team/podcast", "new", `{"quota":5}`, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, out := operate(t, ops, test.token, test.method, test.path, test.match, test.body)
			qt.Assert(t, status, qt.Equals, test.status, qt.Commentf("%v", out))
			if status >= 400 {
				qt.Assert(t, out["message"], qt.Not(qt.Equals), "")
				qt.Assert(t, out["verdict"], qt.Equals, "not_run")
			}
		})
	}
	_, trail := operate(t, ops, embedded.Token, "GET", "/v1/audit", "", "")
	changes := trail["changes"].([]any)
	qt.Assert(t, changes, qt.HasLen, 2)
	qt.Assert(t, changes[0].(map[string]any)["who"], qt.Equals, "pod")
}
