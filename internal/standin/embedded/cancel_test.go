package embedded_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/api"
	"hillreel/client"
	"hillreel/internal/core/verdict"
	entry "hillreel/internal/entry/process"
	"hillreel/internal/standin/embedded"
	"hillreel/internal/standin/loopback"
)

// ask sends one request about a job to one entry and returns the status and the answer.
func ask(t *testing.T, cluster *embedded.Cluster, entry int, method, id string, j *api.Job) (int, api.Answer) {
	var body []byte
	if j != nil {
		var err error
		body, err = json.Marshal(j)
		qt.Assert(t, err, qt.IsNil)
	}
	request, err := http.NewRequest(method, "http://"+cluster.Callers()[entry]+"/v1/jobs/"+id, bytes.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	var a api.Answer
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&a), qt.IsNil)
	return response.StatusCode, a
}

// twoSteps returns a job of two steps, each of which takes a while on half an upstream's cores.
func twoSteps() api.Job {
	step := api.Step{Count: 2, CPUMillis: 2000, EstimateMs: 700}
	second := step
	second.After = []uint32{0}
	return api.Job{Service: "publish", Spec: `{"run_ms":700}`, ObjectiveMs: 20_000, Steps: []api.Step{step, second}}
}

// submitInBackground submits a job to one entry and returns the channel for its answer.
func submitInBackground(t *testing.T, cluster *embedded.Cluster, entry int, id string, j api.Job) <-chan api.Answer {
	answer := make(chan api.Answer, 1)
	go func() {
		_, a := ask(t, cluster, entry, http.MethodPut, id, &j)
		answer <- a
	}()
	return answer
}

// TestCancelAtAnotherEntry guards against jobs that go on after their cancellation was answered with "cancelled" or "does not exist": a
// caller whose connection leads to another entry than the one that holds its job must be able to cancel the job there.
func TestCancelAtAnotherEntry(t *testing.T) {
	for _, test := range []struct {
		name string
		// before makes the job wait or run at the first entry.
		before func(t *testing.T, cluster *embedded.Cluster)
		// running is how many tasks run when the job is cancelled.
		running int
	}{
		{"its first step runs", func(*testing.T, *embedded.Cluster) {}, 2},
		{"it waits for room", func(t *testing.T, cluster *embedded.Cluster) {
			submitInBackground(t, cluster, 2, client.NewID(), api.Job{
				Service: "publish", Spec: `{"run_ms":1500}`, ObjectiveMs: 20_000, Steps: []api.Step{{Count: 2, CPUMillis: 4000, EstimateMs: 1500}},
			})
			eventually(t, "all room to be taken", func() bool { return cluster.Ledger.Running() == 2 })
		}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := start(t, 3, 2)
			test.before(t, cluster)
			id := client.NewID()
			answer := submitInBackground(t, cluster, 0, id, twoSteps())
			eventually(t, "the job to be held", func() bool {
				return cluster.Entries[0].Node.Unanswered() == 1 && cluster.Ledger.Running() == test.running
			})
			time.Sleep(100 * time.Millisecond) // the request of the job may be held back at first
			starts, _ := cluster.Ledger.Counts()
			began := time.Now()
			_, a := ask(t, cluster, 1, http.MethodDelete, id, nil)
			qt.Check(t, a.State, qt.Equals, verdict.Cancelled)
			qt.Check(t, time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
			final := <-answer
			qt.Check(t, final.State, qt.Equals, verdict.Cancelled, qt.Commentf("%+v", final))
			time.Sleep(2 * time.Second) // the second step would have started, or the room would have come free
			after, _ := cluster.Ledger.Counts()
			qt.Check(t, after, qt.Equals, starts)
			qt.Check(t, cluster.Ledger.Running(), qt.Equals, 0)
		})
	}
}

// TestStateAtAnotherEntry guards against a job that is said not to exist while another entry holds it.
func TestStateAtAnotherEntry(t *testing.T) {
	cluster := start(t, 3, 2)
	id := client.NewID()
	answer := submitInBackground(t, cluster, 0, id, twoSteps())
	eventually(t, "the job to run", func() bool { return cluster.Ledger.Running() == 2 })
	for i := range cluster.Entries {
		status, a := ask(t, cluster, i, http.MethodGet, id, nil)
		qt.Check(t, status, qt.Equals, http.StatusAccepted)
		qt.Check(t, a.State, qt.Equals, verdict.Running)
	}
	qt.Check(t, (<-answer).State, qt.Equals, verdict.Complete)
	status, _ := ask(t, cluster, 1, http.MethodGet, id, nil)
	qt.Check(t, status, qt.Equals, http.StatusNotFound, qt.Commentf("a job that is not kept is forgotten once it is answered"))
}

// registerEntry puts the row of an entry at an address into the store, as an entry that was lost leaves it behind.
func registerEntry(cluster *embedded.Cluster, address string) {
	cluster.Store.Put("hillreel_entries", address, []byte(`{"name":"lost"}`))
}

// TestUnknownJob checks the answers to requests about a job that nobody has. While an entry that may have the job does not reply, the
// answer must not be that the job does not exist, and callers must not wait for that entry each time.
func TestUnknownJob(t *testing.T) {
	for _, test := range []struct {
		name  string
		other func(t *testing.T, cluster *embedded.Cluster)
		want  int
	}{
		{"all entries reply", func(*testing.T, *embedded.Cluster) {}, http.StatusNotFound},
		{"no process listens at an entry's address", func(_ *testing.T, cluster *embedded.Cluster) {
			registerEntry(cluster, loopback.Draw(loopback.Embedded, 7400))
		}, http.StatusNotFound},
		{"an entry does not reply", func(t *testing.T, cluster *embedded.Cluster) {
			ln, err := net.Listen("tcp", loopback.Draw(loopback.Embedded, 7400))
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() { ln.Close() })
			registerEntry(cluster, ln.Addr().String())
		}, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := start(t, 2, 1)
			test.other(t, cluster)
			for i, method := range []string{http.MethodDelete, http.MethodDelete, http.MethodGet, http.MethodGet} {
				began := time.Now()
				status, _ := ask(t, cluster, 1, method, client.NewID(), nil)
				qt.Check(t, status, qt.Equals, test.want)
				limit := time.Second
				if i == 0 {
					limit = 2 * time.Second
				}
				qt.Check(t, time.Since(began) < limit, qt.IsTrue, qt.Commentf("%s took %v", method, time.Since(began)))
			}
		})
	}
}

// TestCancelledJobIsNotTaken guards against a request that starts a job after its cancellation was answered, because the request was
// delayed in the network.
func TestCancelledJobIsNotTaken(t *testing.T) {
	for _, test := range []struct {
		name string
		keep bool
	}{{"best-effort job", false}, {"job to be kept", true}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := start(t, 2, 1)
			id, j := client.NewID(), twoSteps()
			j.Keep = test.keep
			status, _ := ask(t, cluster, 0, http.MethodDelete, id, nil)
			qt.Check(t, status, qt.Equals, http.StatusNotFound)
			for i := range cluster.Entries {
				_, a := ask(t, cluster, i, http.MethodPut, id, &j)
				qt.Check(t, a.State, qt.Equals, verdict.Unresolved)
				qt.Check(t, a.Reason, qt.Equals, verdict.ByCaller)
			}
			starts, _ := cluster.Ledger.Counts()
			qt.Check(t, starts, qt.Equals, 0)
		})
	}
}

// TestCancelledJobIsNotSentAgain guards against a cancelled job that starts anew, at another entry, because its caller is answered as if
// the job were lost, and sends it again.
func TestCancelledJobIsNotSentAgain(t *testing.T) {
	cluster := start(t, 3, 2)
	id := client.NewID()
	c, err := client.New(client.Options{Entries: cluster.Callers(), Attempts: 3, Resend: 200 * time.Millisecond})
	qt.Assert(t, err, qt.IsNil)
	answer := make(chan *api.Answer, 1)
	go func() {
		a, _ := c.Submit(context.Background(), id, twoSteps())
		answer <- a
	}()
	eventually(t, "the job to run", func() bool { return cluster.Ledger.Running() == 2 })
	holder := slices.IndexFunc(cluster.Entries, func(e *entry.Process) bool { return e.Node.Unanswered() == 1 })
	_, a := ask(t, cluster, holder, http.MethodDelete, id, nil)
	qt.Check(t, a.State, qt.Equals, verdict.Cancelled)
	final := <-answer
	qt.Assert(t, final, qt.IsNotNil)
	qt.Check(t, final.State, qt.Equals, verdict.Cancelled)
	starts, _ := cluster.Ledger.Counts()
	qt.Check(t, starts, qt.Equals, 2)
}
