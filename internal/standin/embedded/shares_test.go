package embedded_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/verdict"
	"hillreel/internal/standin/embedded"
	"hillreel/platform/standin"
)

// postJob sends a job of one long task to an entry's front and returns the status, the body and the header Retry-After.
func postJob(t *testing.T, cluster *embedded.Cluster, entry int, id string) (int, string, string) {
	body := `{"spec":"{\"run_ms\":20}","best_effort":true,"phases":[{"count":1,"cpu":1000,"estimate_ms":900}]}`
	req, err := http.NewRequest("POST", "http://"+cluster.Entries[entry].Front.Address()+"/jobs/"+id, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	req.Host = standin.Host
	res, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	qt.Assert(t, err, qt.IsNil)
	return res.StatusCode, string(raw), res.Header.Get("Retry-After")
}

// awaitTeams waits until every entry has shares of the given number of teams in force.
func awaitTeams(t *testing.T, cluster *embedded.Cluster, teams int) {
	for _, e := range cluster.Entries {
		eventually(t, "the shares to reach every entry", func() bool { return len(e.Node.Shares()) == teams })
	}
}

// TestShareRoundTrip checks that a share is refused with the field's name if it is invalid, that a dry run tells what each team would get
// and changes nothing, that a share is in force at all entries, also while the store is away, and that it can be taken back.
func TestShareRoundTrip(t *testing.T) {
	cluster := start(t, 2, 2)
	do := func(method, path, match, body string) (int, map[string]any) {
		return callAPI(t, cluster.Entries[0].Metrics.Address(), embedded.Token, method, path, match, body)
	}
	for _, test := range []struct{ spec, field string }{
		{`{"service":"publish","routes":["r-1"],"weight":-1}`, "weight"},
		{`{"service":"publish","routes":["r-9"]}`, "routes"},
		{`{"service":"publish","routes":["r-1"],"floor":0.5,"limit":0.2}`, "floor"},
	} {
		status, out := do("PUT", "/v1/config/share/news", "new", test.spec)
		qt.Assert(t, status, qt.Equals, 400)
		qt.Assert(t, out["field"], qt.Equals, test.field)
	}
	const good = `{"service":"publish","routes":["r-1"],"limit":0.001}`
	status, out := do("PUT", "/v1/config/share/news?dry_run=1", "new", good)
	qt.Assert(t, status, qt.Equals, 200)
	teams := out["shares"].([]any)
	qt.Assert(t, teams, qt.HasLen, 2)
	news := teams[1].(map[string]any)
	qt.Assert(t, news["team"], qt.Equals, "news")
	qt.Assert(t, news["capacity_cores"], qt.Equals, 8.0)
	qt.Assert(t, news["assured_cores"].(float64), qt.Equals, 0.001*news["capacity_cores"].(float64))
	qt.Assert(t, countObjects(t, cluster, 0), qt.Equals, 0)

	status, out = do("PUT", "/v1/config/share/news", "new", good)
	qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
	awaitTeams(t, cluster, 2)
	status, out = do("PUT", "/v1/config/share/music", "new", `{"service":"publish","routes":["r-1"]}`)
	qt.Assert(t, status, qt.Equals, 400)
	qt.Assert(t, out["field"], qt.Equals, "routes")
	cluster.Store.SetFault(standin.StoreFault{Busy: true})
	ids := 0 // of the jobs sent
	eventually(t, "a job to be refused at the other entry for its team's share", func() bool {
		ids++
		status, body, retry := postJob(t, cluster, 1, fmt.Sprintf("%016x", ids))
		if status != 503 {
			qt.Assert(t, status, qt.Equals, 200)
			time.Sleep(50 * time.Millisecond)
			return false
		}
		qt.Assert(t, body, qt.Contains, string(verdict.OverShare))
		qt.Assert(t, retry, qt.Not(qt.Equals), "")
		return true
	})
	cluster.Store.SetFault(standin.StoreFault{})
	status, out = do("DELETE", "/v1/config/share/news", "1", "")
	qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
	awaitTeams(t, cluster, 0)
	for i := range cluster.Entries {
		status, body, _ := postJob(t, cluster, i, fmt.Sprintf("%016x", 1000+ids+i))
		qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%s", body))
	}
	_, trail := do("GET", "/v1/audit?kind=share&name=news", "", "")
	qt.Assert(t, trail["changes"].([]any), qt.HasLen, 2)
}
