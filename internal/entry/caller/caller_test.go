package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/api"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/caller"
	"hillreel/internal/entry/job"
	"hillreel/internal/link/wire"
)

// fakeJobs answers every request with answer, under the request's own id.
type fakeJobs struct {
	signer  *ident.Signer
	answer  wire.Answer
	mintErr error
}

// Mint is for the server.
func (f *fakeJobs) Mint(service ident.Service, n int) ([]ident.JobID, error) {
	var out []ident.JobID
	for i := range n {
		out = append(out, f.signer.Sign(ident.JobID{Key: ident.Key{Owner: 1, Seq: uint64(i)}, Service: service}))
	}
	return out, f.mintErr
}

// Do is for the server.
func (f *fakeJobs) Do(req job.Request) <-chan *wire.Answer {
	out := make(chan *wire.Answer, 1)
	a := wire.Answer{State: f.answer.GetState(), Reason: f.answer.GetReason(), Verdict: f.answer.GetVerdict(), Id: req.ID.Text, RetryAfterMs: f.answer.GetRetryAfterMs()}
	out <- &a
	return out
}

// Signer is for the server.
func (f *fakeJobs) Signer() *ident.Signer { return f.signer }

// Ready is for the server.
func (f *fakeJobs) Ready() (bool, string) { return true, "ready" }

func serve(t *testing.T) (*fakeJobs, string) {
	set, err := settings.Parse("test", "[entry]\ncallers = 127.0.0.1:0\nmax_body = 1kb\nmax_tasks = 2\nheader_timeout = 200ms\nread_timeout = 300ms\nmax_connections = 2")
	qt.Assert(t, err, qt.IsNil)
	signer, err := ident.NewSigner([]byte("some-key-some-key"))
	qt.Assert(t, err, qt.IsNil)
	f := &fakeJobs{signer: signer, answer: wire.Answer{State: "complete", Verdict: "ran"}}
	s := caller.New(set, f, logs.Discard())
	qt.Assert(t, s.Start(context.Background()), qt.IsNil)
	t.Cleanup(s.Stop)
	return f, s.Address()
}

func call(t *testing.T, method, url, body string) (int, http.Header, api.Answer) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	var a api.Answer
	raw, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, json.Unmarshal(raw, &a), qt.IsNil, qt.Commentf("%s", raw))
	return resp.StatusCode, resp.Header, a
}

const goodJob = `{"service":"publish","tasks":[{"kind":"feed"}]}`

func TestRefusals(t *testing.T) {
	f, address := serve(t)
	id := f.signer.Sign(ident.JobID{Service: "publish"}).Text
	for _, test := range []struct {
		name, method, path, body string
		status                   int
		verdict                  verdict.Verdict
		reason                   verdict.Reason
		field                    string
	}{
		{"no such call", "GET", "/v1/nothing", "", 404, verdict.NotRun, verdict.NotFound, ""},
		{"wrong method", "PATCH", "/v1/jobs", "", 404, verdict.NotRun, verdict.NotFound, ""},
		{"not JSON", "POST", "/v1/jobs", "{", 400, verdict.NotRun, verdict.BadRequest, "body"},
		{"two values", "POST", "/v1/jobs", goodJob + "{}", 400, verdict.NotRun, verdict.BadRequest, "body"},
		{"unknown field", "POST", "/v1/jobs", `{"servce":"x"}`, 400, verdict.NotRun, verdict.BadRequest, "body"},
		{"wrong type", "POST", "/v1/jobs", `{"service":7}`, 400, verdict.NotRun, verdict.BadRequest, "service"},
		{"no service", "POST", "/v1/jobs", `{"tasks":[{"kind":"feed"}]}`, 400, verdict.NotRun, verdict.BadRequest, "service"},
		{"no tasks", "POST", "/v1/jobs", `{"service":"publish"}`, 400, verdict.NotRun, verdict.BadRequest, "tasks"},
		{"too many tasks", "POST", "/v1/jobs", `{"service":"publish","tasks":[{"kind":"a"},{"kind":"a"},{"kind":"a"}]}`, 400, verdict.NotRun, verdict.BadRequest, "tasks"},
		{"no kind", "POST", "/v1/jobs", `{"service":"publish","tasks":[{"kind":"a"},{}]}`, 400, verdict.NotRun, verdict.BadRequest, "tasks[1].kind"},
		{"too large", "POST", "/v1/jobs", `{"service":"` + strings.Repeat("x", 2000) + `"}`, 413, verdict.NotRun, verdict.TooLarge, "body"},
		{"forged id", "PUT", "/v1/jobs/AAAA", goodJob, 400, verdict.NotRun, verdict.BadID, "id"},
		{"bad body under a good id", "PUT", "/v1/jobs/" + id, "{", 400, verdict.MayHaveRun, verdict.BadRequest, "body"},
		{"another service's id", "PUT", "/v1/jobs/" + id, `{"service":"canteen","tasks":[{"kind":"a"}]}`, 400, verdict.MayHaveRun, verdict.BadRequest, "service"},
		{"no ids wanted", "POST", "/v1/ids", `{"service":"publish"}`, 400, verdict.NotRun, verdict.BadRequest, "count"},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, _, a := call(t, test.method, "http://"+address+test.path, test.body)
			qt.Assert(t, status, qt.Equals, test.status)
			qt.Assert(t, a.State, qt.Equals, verdict.Refused)
			qt.Assert(t, a.Verdict, qt.Equals, test.verdict)
			qt.Assert(t, a.Reason, qt.Equals, test.reason)
			qt.Assert(t, a.Field, qt.Equals, test.field)
			qt.Assert(t, a.Message, qt.Not(qt.Equals), "")
		})
	}
}

func TestStatusOfAnswers(t *testing.T) {
	f, address := serve(t)
	id := f.signer.Sign(ident.JobID{Service: "publish"}).Text
	for _, test := range []struct {
		state  verdict.State
		reason verdict.Reason
		status int
	}{
		{verdict.Complete, "", 200},
		{verdict.Failed, verdict.TaskFailed, 200},
		{verdict.Failed, verdict.Overloaded, 503},
		{verdict.Running, "", 202},
		{verdict.Unknown, verdict.NotFound, 404},
		{verdict.Unresolved, verdict.Unreachable, 503},
		{verdict.Unresolved, verdict.Expired, 410},
		{verdict.Refused, verdict.DifferentBody, 409},
	} {
		f.answer = wire.Answer{State: string(test.state), Reason: string(test.reason), RetryAfterMs: 1500}
		status, header, a := call(t, "PUT", "http://"+address+"/v1/jobs/"+id, goodJob)
		qt.Assert(t, status, qt.Equals, test.status, qt.Commentf("%s %s", test.state, test.reason))
		qt.Assert(t, a.ID, qt.Equals, id)
		qt.Assert(t, header.Get("Retry-After"), qt.Equals, "2")
	}
}

// TestHostileCallers: connections that send nothing, or a header without end, are closed, and the next
// caller is served although they held all the room there is.
func TestHostileCallers(t *testing.T) {
	_, address := serve(t)
	for _, first := range []string{"", "GET / HTTP/1.1\r\nX: " + strings.Repeat("y", 40_000)} {
		conn, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		io.WriteString(conn, first)
	}
	status, _, _ := call(t, "POST", "http://"+address+"/v1/jobs", goodJob)
	qt.Assert(t, status, qt.Equals, 200)
}

func TestSlowBodyIsCut(t *testing.T) {
	_, address := serve(t)
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	io.WriteString(conn, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	qt.Assert(t, resp.StatusCode, qt.Equals, 400)
}
