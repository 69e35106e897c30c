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

// Ports of the servers of a cluster. All processes use the same ports, each at its own IP address within 127.0.0.0/8.
const (
	portLink = 7420 + iota
	portFront
	portMetrics
	portControl
	portUpstream
	portStore
	portLinkProxy
)

// process is one entry or agent under test, with the proxies for its connections.
type process struct {
	name, role string
	zone       string
	// metrics is the host and port of its metrics address.
	metrics string
	args    []string
	cmd     *exec.Cmd
	// done is closed when cmd has exited.
	done chan struct{}
	// The proxies in front of the process's connections; those that the role does not have are nil. An entry has link (from agents),
	// front (from callers) and store. An agent has store, calls (to its upstream) and heartbeats (from its upstream).
	link, front, store, calls, heartbeats *proxy
	upstream                              *standin.Upstream
	// suspended is true while the process is stopped by suspend, so that throttle does not resume it.
	suspended atomic.Bool
	// cutOff is true while the process is cut off from the network, and until data that callers sent meanwhile has arrived.
	cutOff atomic.Bool
}

// connKinds lists the kinds of connections with the proxy of each. of returns nil for a role without that kind.
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

// cluster is a running cluster of separate processes, with faults drawn from one seed.
type cluster struct {
	t      *testing.T
	dir    string
	binary string
	// subnet is the second octet of the cluster's IP addresses. It differs between clusters that run at the same time, also of other
	// test runs.
	subnet int
	// claimFrom is the setting claim_from of the entries.
	claimFrom int
	rng       *rand.Rand
	store     *standin.Store
	ledger    *standin.Ledger

	mu            sync.Mutex
	entries       []*process
	agents        []*process
	configVersion int
	closers       []func()
	ended         bool
}

// ip returns the address of the n-th server of a kind: 0 the store, 1 entries, 2 agents; 3 and 4 the store proxies of entries and
// agents; 5 the proxies for callers, 6 those for calls to upstreams, 7 those for heartbeats.
func (cl *cluster) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", cl.subnet, kind, n+1) }

func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// firstSubnet and lastSubnet bound the second octet of a cluster's IP addresses.
const firstSubnet, lastSubnet = 10, 250

// reserveSubnet takes the first subnet that no other cluster uses, of this test run or another, and returns the listener of its store
// address, which the cluster holds until it stops. An earlier run may have ended without stopping its processes. They would be taken
// for the new cluster's processes, so reserveSubnet also skips subnets in which such processes listen.
func (cl *cluster) reserveSubnet(entries, agents int) net.Listener {
	for cl.subnet = firstSubnet; cl.subnet <= lastSubnet; cl.subnet++ {
		ln, err := net.Listen("tcp", hostPort(cl.ip(0, 0), portStore))
		if err == nil {
			if err = cl.checkAddressesFree(entries, agents); err == nil {
				return ln
			}
			ln.Close()
		}
		cl.t.Logf("subnet %d is in use: %v", cl.subnet, err)
	}
	cl.t.Fatalf("no subnet from 127.%d to 127.%d is free", firstSubnet, lastSubnet)
	return nil
}

// checkAddressesFree returns an error if another process listens at the metrics address of one of the cluster's processes.
func (cl *cluster) checkAddressesFree(entries, agents int) error {
	var ips []string
	for i := range entries {
		ips = append(ips, cl.ip(1, i))
	}
	for i := range agents {
		ips = append(ips, cl.ip(2, i))
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

// listen opens a listener at an address of the cluster's subnet.
func (cl *cluster) listen(address string) net.Listener {
	ln, err := net.Listen("tcp", address)
	qt.Assert(cl.t, err, qt.IsNil)
	return ln
}

// serve runs an HTTP server inside the test process until the cluster stops.
func (cl *cluster) serve(ln net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go server.Serve(ln)
	cl.closers = append(cl.closers, func() { server.Close() })
}

// addProxy starts a proxy that runs until the cluster stops.
func (cl *cluster) addProxy(address, to string) *proxy {
	p, err := newProxy(address, to)
	qt.Assert(cl.t, err, qt.IsNil)
	cl.closers = append(cl.closers, p.close)
	return p
}

// newCluster starts a cluster with the given numbers of entries and agents. It does not wait until they are ready.
func newCluster(t *testing.T, binary string, seed uint64, entries, agents int) *cluster {
	cl := &cluster{
		t: t, dir: t.TempDir(), binary: binary, rng: rand.New(rand.NewPCG(seed, 2)),
		store: standin.NewStore(), ledger: standin.NewLedger(), claimFrom: claimFrom(seed),
	}
	cl.serve(cl.reserveSubnet(entries, agents), cl.store.Handler())
	cl.configure()
	for i := range entries {
		cl.addEntry(i)
	}
	for i := range agents {
		cl.addAgent(i)
	}
	return cl
}

// claimFrom returns the setting of clusters of a seed: entries claim room, however few there are, in one of two.
func claimFrom(seed uint64) int { return int(seed % 2) }

// configure writes a new version of the routing configuration to the store.
func (cl *cluster) configure() {
	cl.configVersion++
	raw, err := standin.Routes(uint64(cl.configVersion), "publish", 4, 2*time.Second)
	qt.Assert(cl.t, err, qt.IsNil)
	cl.store.Put(string(platform.ConfigKey.Table), platform.ConfigKey.Name, raw)
}

func (cl *cluster) addEntry(i int) {
	ip := cl.ip(1, i)
	p := &process{name: fmt.Sprintf("entry-%d", i), role: "entry", zone: zoneOf(i), metrics: hostPort(ip, portMetrics), args: []string{"entry"}}
	p.store = cl.addProxy(hostPort(cl.ip(3, i), portStore), hostPort(cl.ip(0, 0), portStore))
	p.link = cl.addProxy(hostPort(ip, portLinkProxy), hostPort(ip, portLink))
	p.front = cl.addProxy(hostPort(cl.ip(5, i), portFront), hostPort(ip, portFront))
	cl.writeSettings(p, fmt.Sprintf("[node]\nname = %s\nzone = %s\nlink = %s\nadvertise = %s\nmetrics = %s\n[entry]\nfront = %s\nunready = 300ms\nclaim_from = %d\noperator_tokens = soak/read/%s\n[platform]\nstore = %s\n",
		p.name, p.zone, hostPort(ip, portLink), p.link.address(), hostPort(ip, portMetrics), hostPort(ip, portFront), cl.claimFrom, readToken, p.store.address()))
	cl.entries = append(cl.entries, p)
	cl.start(p)
}

func (cl *cluster) addAgent(i int) {
	ip := cl.ip(2, i)
	p := &process{name: fmt.Sprintf("agent-%d", i), role: "agent", zone: zoneOf(i), metrics: hostPort(ip, portMetrics), args: []string{"agent"}}
	p.store = cl.addProxy(hostPort(cl.ip(4, i), portStore), hostPort(cl.ip(0, 0), portStore))
	p.calls = cl.addProxy(hostPort(cl.ip(6, i), portUpstream), hostPort(ip, portUpstream))
	p.heartbeats = cl.addProxy(hostPort(cl.ip(7, i), portControl), hostPort(ip, portControl))
	p.upstream = standin.NewUpstream(standin.UpstreamOptions{
		Name: upstreamName(i), Service: "publish", Agent: p.heartbeats.address(), CPU: upstreamCPU, MemMB: 1000, HeartbeatInterval: 300 * time.Millisecond, Ledger: cl.ledger,
	})
	cl.closers = append(cl.closers, p.upstream.Close)
	cl.serve(cl.listen(hostPort(ip, portUpstream)), p.upstream.Handler())
	cl.writeSettings(p, fmt.Sprintf("[node]\nname = %s\nzone = %s\nlink = %s\nmetrics = %s\n[agent]\nupstream = %s\ncontrol = %s\n[platform]\nstore = %s\n",
		p.name, p.zone, hostPort(ip, portLinkProxy), hostPort(ip, portMetrics), p.calls.address(), hostPort(ip, portControl), p.store.address()))
	cl.agents = append(cl.agents, p)
	cl.start(p)
}

// zones is the number of availability zones of a cluster; zoneOf assigns VMs to them in turn.
const zones = 3

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", 1+i%zones) }

// upstreamCPU is the regular capacity of an upstream, in thousandths of a core.
const upstreamCPU = 4000

// upstreamName returns the name under which the ledger records the upstream of the i-th agent.
func upstreamName(i int) string { return fmt.Sprintf("u%d", i) }

// processes returns all entries and agents.
func (cl *cluster) processes() []*process { return append(slices.Clone(cl.entries), cl.agents...) }

// writeSettings writes the settings file of a process.
func (cl *cluster) writeSettings(p *process, ini string) {
	qt.Assert(cl.t, os.WriteFile(filepath.Join(cl.dir, p.name+".ini"), []byte(ini), 0o600), qt.IsNil)
}

// start starts a process unless it is running or the cluster has been stopped.
func (cl *cluster) start(p *process) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.ended || p.cmd != nil {
		return
	}
	log, err := os.OpenFile(filepath.Join(cl.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cl.t.Errorf("%s: %v", p.name, err)
		return
	}
	defer log.Close()
	cmd := exec.Command(cl.binary, append(p.args, "--config", filepath.Join(cl.dir, p.name+".ini"))...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cl.t.Errorf("%s: %v", p.name, err)
		return
	}
	p.cmd = cmd
	done := make(chan struct{})
	p.done = done
	go func() {
		cmd.Wait() //nolint:errcheck // the exit status does not matter
		close(done)
		cl.mu.Lock()
		defer cl.mu.Unlock()
		if p.cmd == cmd {
			p.cmd = nil
		}
	}()
}

// signal sends a signal to a process, if it is running.
func (cl *cluster) signal(p *process, sig syscall.Signal) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(sig) //nolint:errcheck // it may have exited already
	}
}

// restart sends a process a signal that ends it, and starts it again as the platform does: after the time down, or once it has exited
// if that takes longer, for at most another 10 s.
func (cl *cluster) restart(p *process, sig syscall.Signal, down time.Duration) {
	cl.signal(p, sig)
	go func() {
		time.Sleep(down)
		for range 100 {
			cl.mu.Lock()
			exited := p.cmd == nil
			cl.mu.Unlock()
			if exited {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		cl.start(p)
	}()
}

// stop kills all processes, waits for their exit and closes all servers and proxies.
func (cl *cluster) stop() {
	cl.mu.Lock()
	cl.ended = true
	var running []chan struct{}
	for _, p := range cl.processes() {
		if p.cmd != nil {
			p.cmd.Process.Signal(syscall.SIGKILL) //nolint:errcheck // it may have exited already
			running = append(running, p.done)
		}
	}
	cl.mu.Unlock()
	// The next cluster uses the same addresses.
	for _, done := range running {
		<-done
	}
	for _, c := range cl.closers {
		c()
	}
}
