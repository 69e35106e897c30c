package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// layout describes the deployment that a case plays.
type layout struct {
	entries   int
	executors []kind
	queue     queueSettings
}

// kind is what an executor offers.
type kind struct {
	room   room
	labels []string
}

// room is an amount of resources: thousandths of a core, MB and whole GPUs.
type room struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem_mb"`
	GPU int64 `json:"gpu"`
}

// repeat returns n executors of one kind.
func repeat(n int, k kind) []kind {
	out := make([]kind, n)
	for i := range out {
		out[i] = k
	}
	return out
}

// The bounds of the small deployments (SYSTEM.md).
const (
	heartbeatEvery = 1500 * time.Millisecond
	checkpointWork = 500 * time.Millisecond
	restoreTime    = 600 * time.Millisecond
	stopTime       = 50 * time.Millisecond
	longestLease   = time.Second
	cancelBound    = 3 * time.Second
	finishBound    = 14 * time.Second
	resendPause    = 1300 * time.Millisecond
	idleBound      = 3 * time.Second
	graceSeconds   = "6"
	serviceName    = "svc"
	zoneName       = "zone-a"
	regionName     = "region"
	metricsPort    = 9464
)

// entry is one entry process with the addresses at which others reach it.
type entry struct {
	name, ip, front string
	// link is the entry's only path to the store.
	link *path
}

// world is a running deployment.
type world struct {
	rec       *recorder
	folder    string
	store     *store
	entries   []*entry
	executors []*executor
	processes []*exec.Cmd
	clients   client
}

// newWorld starts a deployment and waits until it is ready.
func newWorld(l layout, rec *recorder) (*world, error) {
	folder, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, folder: folder, clients: newClient(rec)}
	if w.store, err = newStore(rec, l.queue); err != nil {
		return w, err
	}
	network := fmt.Sprintf("127.%d.%d.", 100+rand.IntN(100), 1+rand.IntN(250))
	port, err := commonPort(network, l.entries+len(l.executors))
	if err != nil {
		return w, err
	}
	seeds := ""
	for i := range l.entries {
		seeds += fmt.Sprintf(",%s%d:%d", network, i+1, port)
	}
	for i := range l.entries {
		if err := w.startEntry(fmt.Sprintf("%s%d", network, i+1), i+1, port, seeds[1:]); err != nil {
			return w, err
		}
	}
	for i, k := range l.executors {
		if err := w.startAgent(fmt.Sprintf("%s%d", network, i+1+l.entries), i+1, k, port, seeds[1:]); err != nil {
			return w, err
		}
	}
	return w, w.awaitReady()
}

// commonPort returns a port that is free at the first addresses of a network, as entries must all use the same.
func commonPort(network string, addresses int) (int, error) {
	for range 50 {
		port := 20000 + rand.IntN(10000)
		free := true
		for i := range addresses {
			for _, p := range []int{port, metricsPort} {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", network, i+1, p))
				if err != nil {
					free = false
					continue
				}
				ln.Close() //nolint:errcheck // the address is free
			}
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port in %s0", network)
}

// freeAddress returns an address with a free port.
func freeAddress(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startEntry starts an entry, which reaches the store over a path of its own.
func (w *world) startEntry(ip string, number, port int, seeds string) error {
	e := &entry{name: "edge-" + strconv.Itoa(number), ip: ip}
	var err error
	if e.link, err = newPath(w.store.address); err != nil {
		return err
	}
	if e.front, err = freeAddress(ip); err != nil {
		return err
	}
	readiness, err := freeAddress(ip)
	if err != nil {
		return err
	}
	fields := w.commonFields(e.name, ip, port, seeds)
	fields["platform.address"] = e.link.address
	fields["listen_addrs.front"], fields["listen_addrs.readiness"] = e.front, readiness
	w.entries = append(w.entries, e)
	return w.startProgram("entry", e.name, fields)
}

// startAgent starts an executor and the agent beside it.
func (w *world) startAgent(ip string, number int, k kind, port int, seeds string) error {
	name := "side-" + strconv.Itoa(number)
	control, err := freeAddress(ip)
	if err != nil {
		return err
	}
	x, err := newExecutor("x"+strconv.Itoa(number), ip, control, k, w.rec)
	if err != nil {
		return err
	}
	w.executors = append(w.executors, x)
	fields := w.commonFields(name, ip, port, seeds)
	fields["platform.address"] = w.store.address
	fields["app"], fields["service"], fields["listen_addrs.control"] = x.address, serviceName, control
	return w.startProgram("agent", name, fields)
}

// commonFields returns the fields of a process's settings that both roles have.
func (w *world) commonFields(name, ip string, port int, seeds string) map[string]string {
	return map[string]string{
		"node_name": name, "zone": zoneName, "region": regionName, "ip": ip, "port_range.0": strconv.Itoa(port), "seeds": seeds,
		"bounds.grace_s": graceSeconds, "bounds.remote_factor": "1.5", "bounds.status_s": "120",
		"platform.writes_per_s": "800", "platform.part_writes_s": "200",
	}
}

// startProgram fills the settings template of a role and starts its program, as deploy/system.toml does.
func (w *world) startProgram(role, name string, fields map[string]string) error {
	template, err := os.ReadFile(filepath.Join("deploy", role+".ini"))
	if err != nil {
		return err
	}
	file := filepath.Join(w.folder, name+".ini")
	if err := os.WriteFile(file, []byte(fill(string(template), fields)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		return err
	}
	c := exec.Command("target/hillreel", role)
	c.Env = append(os.Environ(), "HILLREEL_CONFIG="+file)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process, however that ends
	if err := c.Start(); err != nil {
		return err
	}
	w.processes = append(w.processes, c)
	return nil
}

// readyTimeout bounds the start of a deployment. settleTime is a pause after it, in which all agents link to all entries.
const (
	readyTimeout = 20 * time.Second
	settleTime   = 4 * time.Second
)

// awaitReady waits until each entry has a configuration, and then until agents and executors have registered.
func (w *world) awaitReady() error {
	limit := time.Now().Add(readyTimeout)
	for _, e := range w.entries {
		for !w.clients.ready(e) {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	w.rec.logf("case", "%d entries and %d executors are up", len(w.entries), len(w.executors))
	return nil
}

// stop ends all processes that the world has started. KEEP=1 keeps their logs.
func (w *world) stop() {
	for _, p := range w.processes {
		p.Process.Kill() //nolint:errcheck // it may have ended
	}
	for _, p := range w.processes {
		p.Wait() //nolint:errcheck // it was killed
	}
	for _, x := range w.executors {
		x.close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", w.folder)
		return
	}
	os.RemoveAll(w.folder) //nolint:errcheck // a temporary folder
}
