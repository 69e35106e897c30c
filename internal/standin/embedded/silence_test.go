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

// proxies are those of a set, by the kind of connections.
type proxies struct {
	mu  sync.Mutex
	all map[embedded.ConnKind][]*silence.Proxy
}

func (p *proxies) through(t *testing.T) func(embedded.ConnKind, string) string {
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

// silence makes all open connections of some kinds silent for good.
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
		qt.Check(t, n > 0, qt.IsTrue, qt.Commentf("no connection of %s is open", kind))
	}
}

// TestSilence: open connections that fall silent for good cost no run, alone or together, as long as new ones work.
//
// One set at a time: side by side beside other load, five sets of six nodes and their proxies in one process with the race detector
// leave a hold unanswered for more than 400 ms, and a lease of 800 ms lapses without any fault.
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
			set, err := embedded.Start(embedded.Options{
				Entries: 2, Agents: 4, Cores: 16, Service: "publish", Log: logs.Discard(), Adjust: unhurried, Proxy: p.through(t),
			})
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(set.Stop)
			c := newClient(t, set)
			done := make(chan map[api.State]int, 1)
			began := time.Now()
			go func() { done <- submitAll(t, c, jobs, job(3000, `{"run_ms":3000}`)) }()
			time.Sleep(time.Second)
			p.silence(t, test.kinds...)
			qt.Assert(t, <-done, qt.DeepEquals, map[api.State]int{verdict.Complete: jobs})
			starts, _ := set.Ledger.Counts()
			t.Logf("%d of %d runs lost, all done after %v", starts-2*jobs, 2*jobs, time.Since(began))
			qt.Check(t, starts, qt.Equals, 2*jobs)
			qt.Assert(t, set.Ledger.Broken(), qt.HasLen, 0)
		})
	}
}
