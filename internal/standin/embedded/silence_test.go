package embedded_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/api"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/verdict"
	"hillreel/internal/standin/embedded"
	"hillreel/internal/standin/loopback"
	"hillreel/internal/standin/silence"
)

// proxies holds the proxies of a cluster by kind of connection.
type proxies struct {
	mu  sync.Mutex
	all map[embedded.ConnKind][]*silence.Proxy
}

// add returns a function for embedded.Options.Proxy that starts a proxy for an address and records it.
func (p *proxies) add(t *testing.T) func(embedded.ConnKind, string) string {
	return func(kind embedded.ConnKind, address string) string {
		x, err := silence.New(loopback.Draw(loopback.Embedded, 7400), address)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(x.Close)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.all[kind] = append(p.all[kind], x)
		return x.Address()
	}
}

// silence permanently silences all open connections of the given kinds, and requires at least one of each kind.
func (p *proxies) silence(t *testing.T, kinds ...embedded.ConnKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, kind := range kinds {
		n := 0
		for _, x := range p.all[kind] {
			k, err := x.Silence()
			qt.Check(t, err, qt.IsNil)
			n += k
		}
		qt.Check(t, n > 0, qt.IsTrue, qt.Commentf("no open connection of kind %s", kind))
	}
}

// TestSilence guards against runs that are lost when open connections go permanently silent, of one kind or of all kinds at once,
// although new connections work.
//
// The subtests do not run in parallel. Five clusters of six nodes and their proxies in one process, with the race detector and beside
// other load, leave a hold call unanswered for more than 400 ms, and then a lease of 800 ms lapses without any fault.
func TestSilence(t *testing.T) {
	all := []embedded.ConnKind{embedded.ConnLink, embedded.ConnUpstream, embedded.ConnHeartbeats, embedded.ConnStore}
	for _, test := range []struct {
		name  string
		kinds []embedded.ConnKind
	}{
		{"links", all[:1]}, {"upstreams", all[1:2]}, {"heartbeats", all[2:3]}, {"store", all[3:]}, {"all", all},
	} {
		t.Run(test.name, func(t *testing.T) {
			const jobs = 24
			p := &proxies{all: make(map[embedded.ConnKind][]*silence.Proxy)}
			cluster, err := embedded.Start(embedded.Options{
				Entries: 2, Agents: 4, Cores: 16, Service: "publish", Log: logs.Discard(), Adjust: relaxTimes, Proxy: p.add(t),
			})
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(cluster.Stop)
			c := newClient(t, cluster)
			done := make(chan map[api.State]int, 1)
			began := time.Now()
			go func() { done <- submitAll(t, c, jobs, job(3000, `{"run_ms":3000}`)) }()
			time.Sleep(time.Second)
			p.silence(t, test.kinds...)
			qt.Assert(t, <-done, qt.DeepEquals, map[api.State]int{verdict.Complete: jobs})
			starts, _ := cluster.Ledger.Counts()
			t.Logf("%d of %d runs lost, all jobs complete after %v", starts-2*jobs, 2*jobs, time.Since(began))
			qt.Check(t, starts, qt.Equals, 2*jobs)
			qt.Assert(t, cluster.Ledger.Violations(), qt.HasLen, 0)
		})
	}
}
