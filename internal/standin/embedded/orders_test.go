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

// TestUnclearOrders guards against tasks that run at two upstreams at once. That happens if an error answer to a start is taken as a
// refusal, or a missing answer as a lost start, although the upstream carries out the start immediately or seconds later.
func TestUnclearOrders(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault standin.UpstreamFault
	}{
		{"carried out, and answered with a server error", standin.UpstreamFault{Status: http.StatusInternalServerError}},
		{"carried out, and answered with a gateway timeout", standin.UpstreamFault{Status: http.StatusGatewayTimeout}},
		{"carried out after the call timed out", standin.UpstreamFault{Late: 400 * time.Millisecond}},
		{"carried out after its lease expired", standin.UpstreamFault{Late: 2 * time.Second}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := start(t, 2, 3)
			c := newClient(t, cluster)
			cluster.Upstreams[0].Break(test.fault)
			qt.Assert(t, submitAll(t, c, 20, job(100, `{"run_ms":100}`)), qt.DeepEquals, map[api.State]int{verdict.Complete: 20})
			cluster.Upstreams[0].Break(standin.UpstreamFault{})
			time.Sleep(2*test.fault.Late + 100*time.Millisecond) // let delayed starts and stops take effect
			qt.Assert(t, submitAll(t, c, 6, job(100, `{"run_ms":100}`)), qt.DeepEquals, map[api.State]int{verdict.Complete: 6})
		})
	}
}
