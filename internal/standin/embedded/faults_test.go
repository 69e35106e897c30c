package embedded_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/api"
	"hillreel/client"
	"hillreel/internal/core/verdict"
	"hillreel/internal/platform/vms"
	"hillreel/internal/standin/embedded"
	"hillreel/internal/standin/platform"
)

func post(t *testing.T, address, path, body string) (int, api.Answer) {
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader([]byte(body)))
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	var a api.Answer
	qt.Assert(t, json.NewDecoder(resp.Body).Decode(&a), qt.IsNil)
	return resp.StatusCode, a
}

const longTask = `{"service":"publish","kind":"preview","payload":{"run_ms":700}}`

// TestStoreIsNotOnTheJobsPath: with the platform down, slow, and losing answers, jobs run as ever.
func TestStoreIsNotOnTheJobsPath(t *testing.T) {
	set := startSet(t, embedded.Options{Agents: 2})
	for _, fault := range []platform.Fault{{Down: true}, {SlowMs: 3000}, {LoseAnswers: 5}} {
		set.Platform.SetFault(fault)
		status, a := post(t, set.Callers()[0], "/v1/tasks", `{"service":"publish","kind":"feed","payload":{"run_ms":5}}`)
		qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%+v: %+v", fault, a))
		qt.Assert(t, a.State, qt.Equals, verdict.Complete)
	}
}

func TestEntryDrain(t *testing.T) {
	set := startSet(t, embedded.Options{Agents: 2})
	leaving := set.Entries[0]
	cl, err := client.New(client.Options{Entries: []string{set.Callers()[0]}})
	qt.Assert(t, err, qt.IsNil)
	unused, err := cl.NextID(context.Background(), "publish")
	qt.Assert(t, err, qt.IsNil)
	answers := make(chan api.Answer, 1)
	go func() {
		_, a := post(t, set.Callers()[0], "/v1/tasks", longTask)
		answers <- a
	}()
	eventually(t, "the task is running", func() bool { return set.Recorder.Total() == 1 })
	drained := make(chan struct{})
	go func() {
		leaving.Drain(patience)
		close(drained)
	}()
	eventually(t, "the entry is leaving", func() bool { return leaving.Node.Status().Leaving })
	status, a := post(t, set.Callers()[0], "/v1/tasks", longTask)
	qt.Assert(t, status, qt.Equals, 503)
	qt.Assert(t, a.Reason, qt.Equals, verdict.Leaving)
	qt.Assert(t, a.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, (<-answers).State, qt.Equals, verdict.Complete, qt.Commentf("the request in progress is not cut"))
	<-drained

	// The successor runs an id that the leaving entry minted and nobody used, without any seal.
	other, err := client.New(client.Options{Entries: set.Callers()[1:]})
	qt.Assert(t, err, qt.IsNil)
	got, err := other.Submit(context.Background(), unused, api.Job{Service: "publish", Tasks: []api.Task{{Kind: "feed", Payload: json.RawMessage(`{"run_ms":5}`)}}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.State, qt.Equals, verdict.Complete)
	seals := set.Entries[1].Node.Status().Counts.Seals + set.Entries[2].Node.Status().Counts.Seals
	qt.Assert(t, seals, qt.Equals, int64(0))
}

// TestLeavingUpstreamGetsNoNewWork: by the agent's own word, by the platform's list, by a cordon.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(set *embedded.Set)
	}{
		{"the agent's word", func(set *embedded.Set) { go set.Agents[0].Drain(patience) }},
		{"the platform's list", func(set *embedded.Set) {
			set.Platform.SetVM(vms.VM{
				Name: "upstream-1", Role: vms.Agent, Address: set.AgentAddress(0), Zone: "zone-1", Region: "region-1", State: vms.Leaving,
			})
		}},
		{"a cordon", func(set *embedded.Set) {
			status, out := operate(t, set.Entries[0].Ops.Address(), embedded.Token, "PUT", "/v1/config/upstream/upstream-1", "new", `{"cordoned":true}`)
			qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			set := startSet(t, embedded.Options{Agents: 2})
			test.leave(set)
			eventually(t, "every entry knows", func() bool {
				for _, e := range set.Entries {
					for _, u := range e.Node.Upstreams() {
						if u.Name == "upstream-1" && !u.Leaving && len(u.Serves) > 0 {
							return false
						}
					}
				}
				return true
			})
			before := set.Upstreams[0].Busy()
			for range 20 {
				for _, address := range set.Callers() {
					_, a := post(t, address, "/v1/tasks", `{"service":"publish","kind":"feed","payload":{"run_ms":1}}`)
					qt.Assert(t, a.State, qt.Equals, verdict.Complete)
				}
			}
			qt.Assert(t, set.Upstreams[0].Busy(), qt.Equals, before)
		})
	}
}

func TestUpstreamThatCutsEverything(t *testing.T) {
	set := startSet(t, embedded.Options{Agents: 1, Entries: 1})
	set.Upstreams[0].SetCutAfterReading(true)
	_, a := post(t, set.Callers()[0], "/v1/tasks", longTask)
	qt.Assert(t, a.State, qt.Equals, verdict.Failed)
	qt.Assert(t, a.Tasks[0].Verdict, qt.Equals, verdict.MayHaveRun)
	qt.Assert(t, set.Recorder.Total(), qt.Equals, int64(1))
}

func TestServiceRules(t *testing.T) {
	set := startSet(t, embedded.Options{Agents: 1, Entries: 1})
	status, out := operate(t, set.Entries[0].Ops.Address(), embedded.Token, "PUT", "/v1/config/service/publish", "new", `{"max_tasks":1,"deadline_ms":100}`)
	qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%v", out))
	eventually(t, "the rules in force", everywhere(set, 1))
	for _, test := range []struct {
		body   string
		reason verdict.Reason
	}{
		{`{"service":"publish","tasks":[{"kind":"a"},{"kind":"a"}]}`, verdict.TooLarge},
		{`{"service":"publish","tasks":[{"kind":"a","payload":{"run_ms":60000}}]}`, verdict.Deadline},
		{`{"service":"canteen","tasks":[{"kind":"a"}]}`, verdict.UnknownService},
	} {
		_, a := post(t, set.Callers()[0], "/v1/jobs", test.body)
		qt.Assert(t, a.State, qt.Equals, verdict.Failed)
		qt.Assert(t, a.Reason, qt.Equals, test.reason)
	}
}

func TestDeadlineIsAnsweredAtOnce(t *testing.T) {
	set := startSet(t, embedded.Options{Agents: 1, Entries: 1, Slots: 1})
	begin := time.Now()
	_, a := post(t, set.Callers()[0], "/v1/jobs", `{"service":"publish","deadline_ms":100,"tasks":[{"kind":"a","payload":{"run_ms":60000}},{"kind":"a"}]}`)
	qt.Assert(t, a.State, qt.Equals, verdict.Failed)
	qt.Assert(t, a.Reason, qt.Equals, verdict.Deadline)
	qt.Assert(t, a.Tasks[0].Verdict, qt.Equals, verdict.MayHaveRun)
	qt.Assert(t, a.Tasks[1].Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, time.Since(begin) < patience, qt.IsTrue)
}
