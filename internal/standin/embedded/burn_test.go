package embedded_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/entry/burn"
	"hillreel/internal/standin/embedded"
)

func TestBurnIsServed(t *testing.T) {
	set := startSet(t, embedded.Options{Agents: 1, Entries: 1})
	ops := set.Entries[0].Ops.Address()
	status, out := operate(t, ops, embedded.Token, "PUT", "/v1/config/objective/o", "new",
		`{"service":"publish","within_ideal":5,"fast_share":0.9,"complete_share":0.5}`)
	qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
	eventually(t, "the objective in force", everywhere(set, 1))
	for _, body := range []string{`{"run_ms":1}`, `{"fail":true,"run_ms":1}`} {
		post(t, set.Callers()[0], "/v1/tasks", `{"service":"publish","team":"t","kind":"feed","payload":`+body+`}`)
	}
	req, err := http.NewRequest("GET", "http://"+ops+"/v1/burn", nil)
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+embedded.Token)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	var got []burn.Service
	qt.Assert(t, json.Unmarshal(raw, &got), qt.IsNil)
	qt.Assert(t, got[0].Rates[0].Jobs, qt.Equals, 2)
	qt.Assert(t, got[0].Rates[0].Complete, qt.Equals, 1.0, qt.Commentf("one of two failed, and half may"))
	qt.Assert(t, got[0].Culprits[0].Name, qt.Equals, "t")
}
