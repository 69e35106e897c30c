package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/platform"
	"hillreel/platform/standin"
)

// Ports that all processes of one set share; each has an IP number of its own within 127/8.
const (
	portLink = 7420 + iota
	portFront
	portMetrics
	portControl
	portUpstream
	portStore
	portLinkProxy
)

// process is one process under test, with the proxies in front of what it talks to.
type process struct {
	name, role string
	// zone is the availability zone.
	zone string
	// metrics is the address of its metrics.
	metrics string
	args    []string
	cmd     *exec.Cmd
	// done is closed when cmd has ended.
	done chan struct{}
	// link, front and store are proxies, and so are calls and beats, to the upstream and from it. Entries have the first three,
	// agents the last three.
	link, front, store, calls, heartbeats *proxy
	upstream                              *standin.Upstream
	// frozen is true while it is stopped for longer than a slice.
	suspended atomic.Bool
	// cut is true while it is cut off, and until what callers have sent meanwhile has arrived.
	cutOff atomic.Bool
}

// paths are the kinds of connections.
var connKinds = []struct {
	name string
	of   func(p *process) *proxy
}{
	{"links", func(p *process) *proxy { return p.link }},
	{"callers", func(p *process) *proxy { return p.front }},
	{"store", func(p *process) *proxy { return p.store }},
	{"upstream", func(p *process) *proxy { return p.calls }},
	{"heartbeats", func(p *process) *proxy { return p.heartbeats }},
}

// set is a set of processes with one seed.
type cluster struct {
	t      *testing.T
	dir    string
	binary string
	// net is the second part of the set's IP numbers, so that sets can run side by side, of other runs too.
	subnet int
	rng    *rand.Rand
	store  *standin.Store
	ledger *standin.Ledger

	mu            sync.Mutex
	entries       []*process
	agents        []*process
	configVersion int
	closers       []func()
	ended         bool
}

func (s *cluster) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.subnet, kind, n+1) }

func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// firstNet and lastNet bound the second part of a set's IP numbers.
const firstSubnet, lastSubnet = 10, 250

// claim takes the first net that no set has, of this run or another: a set holds its store's address to its end. Processes may be left
// of a run that ended without stopping them; they would take the place of the set's own, so their net is passed over.
func (s *cluster) reserveSubnet(entries, agents int) net.Listener {
	for s.subnet = firstSubnet; s.subnet <= lastSubnet; s.subnet++ {
		ln, err := net.Listen("tcp", hostPort(s.ip(0, 0), portStore))
		if err == nil {
			if err = s.checkAddressesFree(entries, agents); err == nil {
				return ln
			}
			ln.Close()
		}
		s.t.Logf("net %d is taken: %v", s.subnet, err)
	}
	s.t.Fatal("no net is free")
	return nil
}

// vacant returns an error if a process has the address of one of the set's.
func (s *cluster) checkAddressesFree(entries, agents int) error {
	var ips []string
	for i := range entries {
		ips = append(ips, s.ip(1, i))
	}
	for i := range agents {
		ips = append(ips, s.ip(2, i))
	}
	for _, ip := range ips {
		ln, err := net.Listen("tcp", hostPort(ip, portMetrics))
		if err != nil {
			return err
		}
		ln.Close()
	}
	return nil
}

// listen opens an address of the set's net.
func (s *cluster) listen(address string) net.Listener {
	ln, err := net.Listen("tcp", address)
	qt.Assert(s.t, err, qt.IsNil)
	return ln
}

// serve runs an HTTP server of the test's own.
func (s *cluster) serve(ln net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go server.Serve(ln)
	s.closers = append(s.closers, func() { server.Close() })
}

func (s *cluster) addProxy(address, to string) *proxy {
	p, err := newProxy(address, to)
	qt.Assert(s.t, err, qt.IsNil)
	s.closers = append(s.closers, p.close)
	return p
}

func newSet(t *testing.T, binary string, seed uint64, entries, agents int) *cluster {
	s := &cluster{
		t: t, dir: t.TempDir(), binary: binary, rng: rand.New(rand.NewPCG(seed, 2)),
		store: standin.NewStore(), ledger: standin.NewLedger(),
	}
	s.serve(s.reserveSubnet(entries, agents), s.store.Handler())
	s.configure()
	for i := range entries {
		s.addEntry(i)
	}
	for i := range agents {
		s.addAgent(i)
	}
	return s
}

// configure puts a new version of the routes into the store.
func (s *cluster) configure() {
	s.configVersion++
	raw, err := standin.Routes(uint64(s.configVersion), "publish", 4, 2*time.Second)
	qt.Assert(s.t, err, qt.IsNil)
	s.store.Put(string(platform.ConfigKey.Table), platform.ConfigKey.Name, raw)
}

func (s *cluster) addEntry(i int) {
	ip := s.ip(1, i)
	p := &process{name: fmt.Sprintf("entry-%d", i), role: "entry", zone: zoneOf(i), metrics: hostPort(ip, portMetrics), args: []string{"entry"}}
	p.store = s.addProxy(hostPort(s.ip(3, i), portStore), hostPort(s.ip(0, 0), portStore))
	p.link = s.addProxy(hostPort(ip, portLinkProxy), hostPort(ip, portLink))
	p.front = s.addProxy(hostPort(s.ip(5, i), portFront), hostPort(ip, portFront))
	s.writeSettings(p, fmt.Sprintf("[node]\nname = %s\nzone = %s\nlink = %s\nadvertise = %s\nmetrics = %s\n[entry]\nfront = %s\nunready = 300ms\noperator_tokens = soak/read/%s\n[platform]\nstore = %s\n",
		p.name, p.zone, hostPort(ip, portLink), p.link.address(), hostPort(ip, portMetrics), hostPort(ip, portFront), readToken, p.store.address()))
	s.entries = append(s.entries, p)
	s.start(p)
}

func (s *cluster) addAgent(i int) {
	ip := s.ip(2, i)
	p := &process{name: fmt.Sprintf("agent-%d", i), role: "agent", zone: zoneOf(i), metrics: hostPort(ip, portMetrics), args: []string{"agent"}}
	p.store = s.addProxy(hostPort(s.ip(4, i), portStore), hostPort(s.ip(0, 0), portStore))
	p.calls = s.addProxy(hostPort(s.ip(6, i), portUpstream), hostPort(ip, portUpstream))
	p.heartbeats = s.addProxy(hostPort(s.ip(7, i), portControl), hostPort(ip, portControl))
	p.upstream = standin.NewUpstream(standin.UpstreamOptions{
		Name: upstreamName(i), Service: "publish", Agent: p.heartbeats.address(), CPU: upstreamCPU, MemMB: 1000, Beat: 300 * time.Millisecond, Ledger: s.ledger,
	})
	s.closers = append(s.closers, p.upstream.Close)
	s.serve(s.listen(hostPort(ip, portUpstream)), p.upstream.Handler())
	s.writeSettings(p, fmt.Sprintf("[node]\nname = %s\nzone = %s\nlink = %s\nmetrics = %s\n[agent]\nupstream = %s\ncontrol = %s\n[platform]\nstore = %s\n",
		p.name, p.zone, hostPort(ip, portLinkProxy), hostPort(ip, portMetrics), p.calls.address(), hostPort(ip, portControl), p.store.address()))
	s.agents = append(s.agents, p)
	s.start(p)
}

// zones is how many availability zones a set has; zoneOf deals VMs out to them.
const zones = 3

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", 1+i%zones) }

// upstreamCPU is an upstream's own room, in thousandths of a core.
const upstreamCPU = 4000

// upstreamName is the ledger's name of the upstream beside an agent.
func upstreamName(i int) string { return fmt.Sprintf("u%d", i) }

// processes are all entries and agents.
func (s *cluster) processes() []*process { return append(slices.Clone(s.entries), s.agents...) }

func (s *cluster) writeSettings(p *process, ini string) {
	qt.Assert(s.t, os.WriteFile(filepath.Join(s.dir, p.name+".ini"), []byte(ini), 0o600), qt.IsNil)
}

// start starts a process unless the set has ended.
func (s *cluster) start(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || p.cmd != nil {
		return
	}
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Errorf("%s: %v", p.name, err)
		return
	}
	defer log.Close()
	cmd := exec.Command(s.binary, append(p.args, "--config", filepath.Join(s.dir, p.name+".ini"))...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Errorf("%s: %v", p.name, err)
		return
	}
	p.cmd = cmd
	done := make(chan struct{})
	p.done = done
	go func() {
		cmd.Wait() //nolint:errcheck // how it ended does not matter
		close(done)
		s.mu.Lock()
		defer s.mu.Unlock()
		if p.cmd == cmd {
			p.cmd = nil
		}
	}()
}

// signal sends a signal to a process of this set, by its id.
func (s *cluster) signal(p *process, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(sig) //nolint:errcheck // it may just have ended
	}
}

// restart ends a process by a signal and starts it again after a while, as the platform does.
func (s *cluster) restart(p *process, sig syscall.Signal, down time.Duration) {
	s.signal(p, sig)
	go func() {
		time.Sleep(down)
		for range 100 {
			s.mu.Lock()
			gone := p.cmd == nil
			s.mu.Unlock()
			if gone {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.start(p)
	}()
}

func (s *cluster) stop() {
	s.mu.Lock()
	s.ended = true
	var running []chan struct{}
	for _, p := range s.processes() {
		if p.cmd != nil {
			p.cmd.Process.Signal(syscall.SIGKILL) //nolint:errcheck // it may just have ended
			running = append(running, p.done)
		}
	}
	s.mu.Unlock()
	// The next set uses the same addresses.
	for _, done := range running {
		<-done
	}
	for _, c := range s.closers {
		c()
	}
}
