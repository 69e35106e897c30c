package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// size is the size of a deployment.
type size struct {
	entries, sides int
	// cpu is the capacity of each executor, in thousandths of a core.
	cpu int64
}

// Ports: alike on all machines, each of which has a loopback address of its own.
const (
	portFront   = 8161
	portApp     = 8165
	portControl = 8166
	portReady   = 8167
	portStore   = 8169
	portLink    = 7720
)

// The kinds of addresses, the third number of a loopback address.
const (
	kindStore = iota
	kindEdge
	kindSide
	kindEdgeStore
	kindSideStore
)

const (
	serviceName = "svc11a"
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
)

// zoneNames are the zones of the deployment; machines are spread over them in turn.
var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// machine is a machine that runs one of the project's processes.
type machine struct {
	name, role, ip, config string
	cmd                    *exec.Cmd
	done                   chan struct{}
}

// lab is a running deployment.
type lab struct {
	root, dir string
	// logs is the folder of the processes' output.
	logs   string
	size   size
	subnet int
	rec    *record
	ledger *ledger
	store  *store
	edges  []*machine
	sides  []*machine
	execs  []*executor

	mu      sync.Mutex
	stopped bool
	servers []*http.Server
}

// newLab starts a deployment and waits until all its entries are ready.
func newLab(root, logs string, s size, rec *record) (*lab, error) {
	if _, err := os.Stat(programPath(root)); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l := &lab{root: root, dir: dir, logs: logs, size: s, rec: rec, ledger: newLedger(rec), store: newStore(rec)}
	if logs == "" {
		l.logs = dir
	}
	l.stopAtSignalOrAfter(maxLength)
	if err := l.start(); err != nil {
		l.stop()
		return nil, err
	}
	return l, nil
}

// start starts the stand-ins and the processes.
func (l *lab) start() error {
	if err := l.takeSubnet(); err != nil {
		return err
	}
	if err := l.configure(1); err != nil {
		return err
	}
	for i := range l.size.entries {
		if err := l.addEdge(i); err != nil {
			return err
		}
	}
	for i := range l.size.sides {
		if err := l.addSide(i); err != nil {
			return err
		}
	}
	return l.awaitReady()
}

// Subnets: the second number of the loopback addresses.
const firstSubnet, lastSubnet = 101, 220

// takeSubnet takes the first subnet in which no other play runs.
func (l *lab) takeSubnet() error {
	for l.subnet = firstSubnet; l.subnet <= lastSubnet; l.subnet++ {
		if err := l.serve(l.address(kindStore, 0, portStore), http.NotFoundHandler()); err == nil {
			return nil
		}
	}
	return errors.New("no free subnet")
}

func (l *lab) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", l.subnet, kind, n+1) }

func (l *lab) address(kind, n, port int) string { return fmt.Sprintf("%s:%d", l.ip(kind, n), port) }

// serve runs an HTTP server until the lab stops.
func (l *lab) serve(address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	l.servers = append(l.servers, server)
	go server.Serve(ln) //nolint:errcheck // it ends with the lab
	return nil
}

// configure writes the operator's configuration, with one queue.
func (l *lab) configure(version int) error {
	raw, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-3hwrr6x", "host": routeHost, "path_prefix": routePrefix, "type": "unsafe", "timeout_ms": 20000, "target_latency_ms": 60,
			"priority": 0, "service": serviceName, "attempts": 3, "stretch": 1.6,
		}},
		"services": []map[string]any{{
			"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": false, "headroom": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	l.store.put("op", "config", raw)
	return nil
}

// settings returns the settings that the platform has for a machine.
func (l *lab) settings(name, ip, zone, store string) fields {
	seeds := []string{}
	for i := range min(l.size.entries, 3) {
		seeds = append(seeds, l.address(kindEdge, i, portControl))
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	return fields{
		"node_name": name, "ip": ip, "zone": zone, "region": "reg", "seeds": seeds, "port_range": []string{fmt.Sprint(portLink), fmt.Sprint(portLink + 15)},
		"listen_addrs": fields{"front": at(portFront), "readiness": at(portReady), "control": at(portControl)},
		"app":          at(portApp), "service": serviceName,
		"bounds":   fields{"grace_s": 6, "remote_factor": 1.5, "status_s": 120},
		"platform": fields{"address": store, "writes_per_s": writesPerSec, "part_writes_s": 200, "row_bytes": rowBytes},
	}
}

// addEdge starts an entry.
func (l *lab) addEdge(i int) error {
	m := &machine{name: fmt.Sprintf("edge-%d", i+1), role: "entry", ip: l.ip(kindEdge, i)}
	l.edges = append(l.edges, m)
	storeAddress := l.address(kindEdgeStore, i, portStore)
	if err := l.serve(storeAddress, l.store.handler(m.name)); err != nil {
		return err
	}
	return l.begin(m, l.settings(m.name, m.ip, zoneNames[i%len(zoneNames)], storeAddress))
}

// addSide starts an executor and the agent beside it.
func (l *lab) addSide(i int) error {
	m := &machine{name: fmt.Sprintf("side-%d", i+1), role: "agent", ip: l.ip(kindSide, i)}
	l.sides = append(l.sides, m)
	storeAddress := l.address(kindSideStore, i, portStore)
	if err := l.serve(storeAddress, l.store.handler(m.name)); err != nil {
		return err
	}
	zone := zoneNames[i%len(zoneNames)]
	e := newExecutor(fmt.Sprintf("exec-%d", i+1))
	e.service, e.zone, e.cpu, e.rec, e.ledger = serviceName, zone, l.size.cpu, l.rec, l.ledger
	e.address, e.control = l.address(kindSide, i, portApp), l.address(kindSide, i, portControl)
	e.labels = []string{"a", fmt.Sprintf("r1-%d", i/3)}
	l.execs = append(l.execs, e)
	if err := l.serve(e.address, e.handler()); err != nil {
		return err
	}
	if err := l.begin(m, l.settings(m.name, m.ip, zone, storeAddress)); err != nil {
		return err
	}
	go e.run()
	return nil
}

// begin writes the settings of a machine's process and starts it.
func (l *lab) begin(m *machine, f fields) error {
	template, err := os.ReadFile(filepath.Join(l.root, "deploy", m.role+".ini"))
	if err != nil {
		return err
	}
	m.config = filepath.Join(l.dir, m.name+".ini")
	if err := os.WriteFile(m.config, []byte(fill(string(template), f)), 0o600); err != nil {
		return err
	}
	return l.launch(m)
}

// launch starts the process of a machine with the command of the deploy file.
func (l *lab) launch(m *machine) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || m.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(l.logs, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process has its own descriptor
	program, err := filepath.Abs(programPath(l.root))
	if err != nil {
		return err
	}
	cmd := exec.Command(program, m.role)
	cmd.Dir, cmd.Stdout, cmd.Stderr = l.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HILLREEL_CONFIG=" + m.config}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.done = cmd, make(chan struct{})
	l.rec.add(m.name, "process started")
	go func(done chan struct{}) {
		cmd.Wait() //nolint:errcheck // the state tells how it ended
		l.rec.add(m.name, "process ended: %v", cmd.ProcessState)
		l.mu.Lock()
		if m.cmd == cmd {
			m.cmd = nil
		}
		l.mu.Unlock()
		close(done)
	}(m.done)
	return nil
}

// signal sends a signal to the process of a machine.
func (l *lab) signal(m *machine, s syscall.Signal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.cmd != nil {
		l.rec.add(m.name, "gets %v", s)
		m.cmd.Process.Signal(s) //nolint:errcheck // it may have ended
	}
}

// restart ends the process of a machine with a signal, and starts it again once it has ended and the time down has passed.
func (l *lab) restart(m *machine, s syscall.Signal, down time.Duration) {
	l.mu.Lock()
	done := m.done
	l.mu.Unlock()
	l.signal(m, s)
	go func() {
		<-done
		time.Sleep(down)
		if err := l.launch(m); err != nil {
			l.rec.add(m.name, "not started: %v", err)
		}
	}()
}

// readyTimeout bounds the wait for a deployment that starts, and lead is how long it then runs before traffic.
const (
	readyTimeout = 20 * time.Second
	lead         = 4 * time.Second
)

// awaitReady waits until each entry says that it is ready, and then for lead.
func (l *lab) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, m := range l.edges {
		for !l.ready(m) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(lead)
	return nil
}

// ready makes one readiness check.
func (l *lab) ready(m *machine) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, portReady))
	if err != nil {
		return false
	}
	res.Body.Close() //nolint:errcheck // nothing is read
	return res.StatusCode == http.StatusOK
}

// stopAtSignalOrAfter ends all processes and exits when this process is asked to stop, or after a time.
func (l *lab) stopAtSignalOrAfter(d time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(d):
		}
		l.rec.add("case", "could not run: stopped")
		l.stop()
		l.rec.close()
		os.Exit(exitFailed)
	}()
}

// stop ends all processes and servers.
func (l *lab) stop() {
	l.mu.Lock()
	if l.stopped {
		l.mu.Unlock()
		return
	}
	l.stopped = true
	var running []chan struct{}
	for _, m := range append(append([]*machine{}, l.edges...), l.sides...) {
		if m.cmd != nil {
			m.cmd.Process.Signal(syscall.SIGKILL) //nolint:errcheck // it may have ended
			running = append(running, m.done)
		}
	}
	l.mu.Unlock()
	for _, done := range running {
		<-done
	}
	for _, e := range l.execs {
		e.stop()
	}
	for _, s := range l.servers {
		s.Close() //nolint:errcheck // nothing else can be done
	}
	os.RemoveAll(l.dir) //nolint:errcheck // it is a temporary folder
}
