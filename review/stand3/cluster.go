package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of all machines of a cluster. Each machine has an address of its own within 127.0.0.0/8.
const (
	portLink    = 7720
	portFront   = 8161
	portReady   = 8167
	portControl = 8166
	portApp     = 8165
	portStore   = 8169
)

// The second octet of a cluster's addresses.
const firstSubnet, lastSubnet = 60, 250

// The clients' queue.
const (
	hostName   = "nony24.example"
	pathPrefix = "/lohu930/"
	service    = "huvo11a"
)

// zones are the availability zones of the deployment.
var zones = []string{"seq-brisbane", "seq-ipswich", "seq-logan"}

// clusterOptions are the figures of a deployment.
type clusterOptions struct {
	entries, agents int
	// cpu and mem are the room of an upstream.
	cpu, mem int64
	attempts int
}

// machine is an entry's or an agent's machine.
type machine struct {
	name, role, zone, ip, config string
	cmd                          *exec.Cmd
	done                         chan struct{}
	// gate is the store's address for this machine, upstream the executor beside an agent.
	gate     *gate
	upstream *upstream
}

// cluster is a running deployment.
type cluster struct {
	rec     *recorder
	options clusterOptions
	dir     string
	subnet  int
	// reserved is the listener that keeps other cases from using the same subnet.
	reserved net.Listener
	store    *store
	runs     *runLog
	entries  []*machine
	agents   []*machine

	mu      sync.Mutex
	stopped bool
}

func (c *cluster) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.subnet, kind, n+1) }

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// startCluster starts the store, the upstreams and all processes, and waits until the entries are ready.
func startCluster(o clusterOptions, rec *recorder) (*cluster, error) {
	c := &cluster{rec: rec, options: o, store: newStore(rec), runs: newRunLog(rec)}
	var err error
	if c.dir, err = os.MkdirTemp("", "stand3-"); err != nil {
		return nil, err
	}
	if err := c.reserveSubnet(); err != nil {
		return nil, err
	}
	c.putConfig()
	if err := c.start(); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

// reserveSubnet takes a subnet whose first address is free, and holds that address until the case ends.
func (c *cluster) reserveSubnet() error {
	for c.subnet = firstSubnet; c.subnet <= lastSubnet; c.subnet++ {
		var err error
		if c.reserved, err = net.Listen("tcp", at(c.ip(9, 0), portStore)); err == nil {
			return nil
		}
	}
	return errors.New("no free loopback subnet")
}

// putConfig writes the operator's configuration.
func (c *cluster) putConfig() {
	raw, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-3hwrr6x", "host": hostName, "path_prefix": pathPrefix, "type": "unsafe", "timeout_ms": 1500, "target_latency_ms": 60,
			"priority": 0, "service": service, "attempts": c.options.attempts, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": service, "rejects_overload": false, "headroom": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // constants can be encoded
	}
	c.store.rows.Put("op", "config", raw)
}

// start starts the machines.
func (c *cluster) start() error {
	for i := range c.options.entries {
		m := &machine{name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), role: "entry", zone: zones[i%len(zones)], ip: c.ip(1, i)}
		if err := c.prepare(m, c.ip(3, i)); err != nil {
			return err
		}
		c.entries = append(c.entries, m)
	}
	for i := range c.options.agents {
		m := &machine{name: fmt.Sprintf("side-%s-%d", zones[i%len(zones)], i/len(zones)+1), role: "agent", zone: zones[i%len(zones)], ip: c.ip(2, i)}
		if err := c.prepare(m, c.ip(4, i)); err != nil {
			return err
		}
		c.agents = append(c.agents, m)
	}
	for _, m := range append(append([]*machine{}, c.entries...), c.agents...) {
		if err := c.launch(m); err != nil {
			return err
		}
	}
	for i, m := range c.agents {
		labels := []string{"a", rackOf(i)}
		u, err := newUpstream(m.name, service, at(m.ip, portApp), at(m.ip, portControl), labels, c.options.cpu, c.options.mem, c.runs)
		if err != nil {
			return err
		}
		m.upstream = u
	}
	return c.awaitReady()
}

// rackOf returns the label of an agent's rack.
func rackOf(agent int) string { return fmt.Sprintf("r1-%d", agent/3) }

// prepare opens the store's address for a machine and writes the machine's settings, as the platform fills in the deploy file's template.
func (c *cluster) prepare(m *machine, storeIP string) error {
	var err error
	if m.gate, err = c.store.listen(at(storeIP, portStore)); err != nil {
		return err
	}
	raw, err := os.ReadFile(filepath.Join("deploy", m.role+".ini"))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(c.options.entries, 3) {
		seeds = append(seeds, at(c.ip(1, i), portControl))
	}
	text := fillTemplate(string(raw), map[string]string{
		"node_name": m.name, "zone": m.zone, "region": "seq", "ip": m.ip, "port_range.0": fmt.Sprint(portLink), "seeds": strings.Join(seeds, ","),
		"app": at(m.ip, portApp), "service": service, "listen_addrs.control": at(m.ip, portControl), "listen_addrs.front": at(m.ip, portFront),
		"listen_addrs.readiness": at(m.ip, portReady), "platform.address": at(storeIP, portStore), "platform.writes_per_s": "800",
		"platform.part_writes_s": "200", "bounds.grace_s": "6", "bounds.restore_ms": "600", "bounds.remote_factor": "1.5",
		"bounds.status_s": "120", "bounds.cancel_ms": "3000",
	})
	m.config = filepath.Join(c.dir, m.name+".ini")
	return os.WriteFile(m.config, []byte(text), 0o600)
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	gap     = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// fillTemplate fills the gaps of a template of the deploy file.
func fillTemplate(text string, values map[string]string) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		parts := section.FindStringSubmatch(s)
		if values[parts[1]] == "" {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", values[parts[1]])
	})
	return gap.ReplaceAllStringFunc(text, func(s string) string { return values[gap.FindStringSubmatch(s)[1]] })
}

// launch starts a machine's process with the command of the deploy file.
func (c *cluster) launch(m *machine) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return errors.New("the case has ended")
	}
	out, err := os.OpenFile(filepath.Join(c.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join("target", "hillreel"), m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HILLREEL_CONFIG=" + m.config}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		cmd.Wait() //nolint:errcheck // it was killed
		close(done)
	}(m.done)
	c.rec.printf("%s: process started", m.name)
	return nil
}

// stop ends all processes.
func (c *cluster) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.reserved.Close() //nolint:errcheck // the case has ended
	for _, m := range append(append([]*machine{}, c.entries...), c.agents...) {
		if m.cmd != nil {
			m.cmd.Process.Kill() //nolint:errcheck // it may have ended
			<-m.done
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(c.dir) //nolint:errcheck // a temporary folder
	} else {
		fmt.Fprintln(os.Stderr, "logs:", c.dir)
	}
}

// readyTime bounds the wait for the entries.
const readyTime = 20 * time.Second

// awaitReady waits until all entries are ready, and the time after the machines' start at which traffic begins is over.
func (c *cluster) awaitReady() error {
	began := time.Now()
	for _, m := range c.entries {
		for {
			res, err := http.Get("http://" + at(m.ip, portReady) + "/ready")
			if err == nil {
				res.Body.Close() //nolint:errcheck // only the status counts
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(began) > readyTime {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // all executors have sent a heartbeat
	c.rec.printf("the entries are ready")
	return nil
}

// client sends the requests of clients; each uses connections of its own.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends a client's request to an entry and returns the status and the body; a zero status is no answer.
func (c *cluster) call(m *machine, method, id string, body any, deadline time.Duration) (int, string) {
	var in io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			panic(err) // bodies are constants and numbers
		}
		in = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at(m.ip, portFront)+pathPrefix+id, in)
	if err != nil {
		panic(err) // the address is well formed
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	res, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(bytes.TrimSpace(raw))
}

// keptJob returns the body of a job of one step that is kept.
func keptJob(workMs int64, count int, cpu, mem int64) map[string]any {
	spec, err := json.Marshal(taskText{workMs})
	if err != nil {
		panic(err) // a number can be encoded
	}
	return map[string]any{
		"spec":   string(spec),
		"phases": []map[string]any{{"count": count, "cpu": cpu, "mem_mb": mem, "estimate_ms": workMs}},
	}
}

// submit hands a kept job in. After no answer or 504 it is sent again, as clients do.
func (c *cluster) submit(m *machine, id string, body any) int {
	status := 0
	for range 5 {
		var text string
		status, text = c.call(m, http.MethodPost, id, body, 1500*time.Millisecond)
		c.rec.printf("client: POST %s to %s: %d %s", id, m.name, status, text)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return status
}

// state asks an entry for a job's state; it is empty if there is no answer with one.
func (c *cluster) state(m *machine, id string) (int, string) {
	status, text := c.call(m, http.MethodGet, id, nil, 1500*time.Millisecond)
	var b struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &b) != nil {
		return status, ""
	}
	return status, b.State
}

// jobID returns the id of the n-th job of a case.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21%08x", n+1) }
