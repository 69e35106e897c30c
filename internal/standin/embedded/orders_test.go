package embedded_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/api"
	"hillreel/internal/core/verdict"
	"hillreel/platform/standin"
)

// TestUnclearOrders guards against tasks that run at two upstreams at once because the answer to a start was taken for a refusal, or no
// answer for a start that was lost: the upstream carries it out all the same, or seconds later.
func TestUnclearOrders(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault standin.UpstreamFault
	}{
		{"carried out, and answered with a server's error", standin.UpstreamFault{Status: http.StatusInternalServerError}},
		{"carried out, and answered by a gateway", standin.UpstreamFault{Status: http.StatusGatewayTimeout}},
		{"taken up when the answer is not waited for any more", standin.UpstreamFault{Delay: 400 * time.Millisecond}},
		{"taken up when the lease in it is over", standin.UpstreamFault{Delay: 2 * time.Second}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			set := start(t, 2, 3)
			c := newClient(t, set)
			set.Upstreams[0].SetFault(test.fault)
			qt.Assert(t, submitAll(t, c, 20, job(100, `{"run_ms":100}`)), qt.DeepEquals, map[api.State]int{verdict.Complete: 20})
			set.Upstreams[0].SetFault(standin.UpstreamFault{})
			time.Sleep(2*test.fault.Delay + 100*time.Millisecond) // what is taken up late
			qt.Assert(t, submitAll(t, c, 6, job(100, `{"run_ms":100}`)), qt.DeepEquals, map[api.State]int{verdict.Complete: 6})
		})
	}
}
