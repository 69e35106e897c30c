package commands_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/api"
	"hillreel/client"
	"hillreel/internal/core/verdict"
	"hillreel/internal/standin/loopback"
)

// waitLimit bounds every wait in these tests. It is far longer than any wait is expected to take.
const waitLimit = 30 * time.Second

// set is a complete set of entries and agents with their stand-ins, each in a process of its own.
type set struct {
	t         *testing.T
	binary    string
	dir       string
	store     string
	mu        sync.Mutex // guards processes, which is also used by timers that send signals
	processes map[string]*exec.Cmd
	callers   map[string]string
	ready     map[string]string
	// logInto maps the name of a process to the file that it logs to, such as a pipe; other processes log to name.log in dir.
	logInto map[string]*os.File
}

// port is the port of all servers of a set, which differ in their addresses.
const port = 7400

// freeAddress draws a loopback address for a server.
func freeAddress() string { return loopback.Draw(loopback.Processes, port) }

// newSet builds the program and starts the stand-in for the store. It kills all processes when the test ends.
func newSet(t *testing.T) *set {
	s := &set{
		t: t, dir: t.TempDir(), store: freeAddress(), processes: make(map[string]*exec.Cmd),
		callers: make(map[string]string), ready: make(map[string]string), logInto: make(map[string]*os.File),
	}
	s.binary = filepath.Join(s.dir, "hillreel")
	out, err := exec.Command("go", "build", "-o", s.binary, "hillreel").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	t.Cleanup(func() {
		s.mu.Lock()
		var names []string
		for name := range s.processes {
			names = append(names, name)
		}
		s.mu.Unlock()
		for _, name := range names {
			s.signal(name, syscall.SIGKILL)
		}
	})
	routes := filepath.Join(s.dir, "routes.json")
	qt.Assert(t, os.WriteFile(routes, []byte(`{"version":1,"routes":[]}`), 0o600), qt.IsNil)
	s.run("store", []string{"standin", "store", "--routes", routes}, "[standin_platform]\nlisten = "+s.store)
	return s
}

// run starts a process with a settings file of its own, and redirects its output to the file in logInto or to a log file.
func (s *set) run(name string, command []string, ini string) {
	file := filepath.Join(s.dir, name+".ini")
	qt.Assert(s.t, os.WriteFile(file, []byte(ini), 0o600), qt.IsNil)
	cmd := exec.Command(s.binary, append(command, "--config", file)...)
	log := s.logInto[name]
	if log == nil {
		var err error
		log, err = os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		qt.Assert(s.t, err, qt.IsNil)
	}
	cmd.Stdout, cmd.Stderr = log, log
	qt.Assert(s.t, cmd.Start(), qt.IsNil)
	qt.Assert(s.t, log.Close(), qt.IsNil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name] = cmd
}

// relaxedLinks sets longer link timeouts than the defaults, which suits a machine under other load.
const relaxedLinks = `
[links]
keep_alive = 200ms
silence = 800ms
lease = 800ms
`

// entry starts an entry with default options.
func (s *set) entry(name string) { s.entryWith(name, "unready = 500ms\ngrace = 10s") }

// entryWith starts an entry with the given options. An entry that was started before under this name keeps its callers' and metrics
// addresses.
func (s *set) entryWith(name, options string) {
	if s.callers[name] == "" {
		s.callers[name], s.ready[name] = freeAddress(), freeAddress()
	}
	s.run(name, []string{"entry"}, fmt.Sprintf("[node]\nname = %s\nlink = %s\nmetrics = %s\n[entry]\ncallers = %s\n%s\n[platform]\nstore = %s\n%s",
		name, freeAddress(), s.ready[name], s.callers[name], options, s.store, relaxedLinks))
}

// agent starts an agent and the stand-in for its upstream.
func (s *set) agent(name string) {
	up, control := freeAddress(), freeAddress()
	s.run("upstream-"+name, []string{"standin", "upstream"}, fmt.Sprintf("[node]\nname = u-%s\n[standin_upstream]\nlisten = %s\nagent = %s\ncores = 8\nbeat = 200ms\n", name, up, control))
	s.run(name, []string{"agent"}, fmt.Sprintf("[node]\nname = %s\nmetrics = %s\n[agent]\nupstream = %s\ncontrol = %s\ngrace = 10s\n[platform]\nstore = %s\n%s",
		name, freeAddress(), up, control, s.store, relaxedLinks))
}

// log returns the log file of a process.
func (s *set) log(name string) string {
	raw, err := os.ReadFile(filepath.Join(s.dir, name+".log"))
	qt.Assert(s.t, err, qt.IsNil)
	return string(raw)
}

// signal sends a signal to the named process, if that was started. After SIGKILL it waits until the process has ended, and
// removes it from processes.
func (s *set) signal(name string, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cmd := s.processes[name]
	if cmd == nil {
		return
	}
	if err := cmd.Process.Signal(sig); err != nil {
		return
	}
	if sig == syscall.SIGKILL {
		cmd.Wait() //nolint:errcheck // it was killed
		delete(s.processes, name)
	}
}

// awaitReady waits until an entry is ready, and fails the test after waitLimit.
func (s *set) awaitReady(name string) {
	until := time.Now().Add(waitLimit)
	for time.Now().Before(until) {
		res, err := http.Get("http://" + s.ready[name] + "/readyz")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatalf("%s does not become ready:\n%s", name, s.log(name))
}

// entries returns the addresses of the callers' API of all entries.
func (s *set) entries() []string {
	var out []string
	for _, a := range s.callers {
		out = append(out, a)
	}
	return out
}

// TestProcesses guards against jobs that don't complete while a process is asked to stop, killed, suspended or told to reload. The
// cases run one after another on the same set.
func TestProcesses(t *testing.T) {
	s := newSet(t)
	for _, e := range []string{"entry-1", "entry-2"} {
		s.entry(e)
	}
	for _, a := range []string{"agent-1", "agent-2", "agent-3"} {
		s.agent(a)
	}
	s.awaitReady("entry-1")
	s.awaitReady("entry-2")
	for _, test := range []struct {
		name  string
		fault func()
	}{
		{"reload", func() { s.signal("entry-1", syscall.SIGHUP); s.signal("agent-1", syscall.SIGHUP) }},
		{"agent is asked to stop", func() { s.signal("agent-1", syscall.SIGTERM) }},
		{"entry is killed and restarted", func() { s.signal("entry-1", syscall.SIGKILL); s.entry("entry-1") }},
		{"agent is suspended", func() {
			s.signal("agent-2", syscall.SIGSTOP)
			time.AfterFunc(1500*time.Millisecond, func() { s.signal("agent-2", syscall.SIGCONT) })
		}},
		{"entry is suspended", func() {
			s.signal("entry-2", syscall.SIGSTOP)
			time.AfterFunc(1500*time.Millisecond, func() { s.signal("entry-2", syscall.SIGCONT) })
		}},
		{"agent is killed", func() { s.signal("agent-3", syscall.SIGKILL) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, s.sendJobs(t, test.fault, 4), qt.DeepEquals, map[api.State]int{verdict.Complete: 30})
		})
	}
}

// TestLogsNobodyReads guards against an entry that is killed by SIGPIPE, with all requests that it has read, when it logs to a pipe
// whose reader has closed.
func TestLogsNobodyReads(t *testing.T) {
	s := newSet(t)
	reader, writer, err := os.Pipe()
	qt.Assert(t, err, qt.IsNil)
	s.logInto["entry-1"] = writer
	s.entry("entry-1")
	s.agent("agent-1")
	s.awaitReady("entry-1")
	states := s.sendJobs(t, func() { qt.Assert(t, reader.Close(), qt.IsNil) }, 1)
	qt.Assert(t, states, qt.DeepEquals, map[api.State]int{verdict.Complete: 30})
}

// TestDrainCutsNothing guards against requests that are cut when an entry is asked to stop. The entry must answer every request that
// it has read, without a retry by the client, and exit with code 0.
//
// Requests are cut if the entry stops receiving signals after the first one, because a signal that isn't received ends a process
// immediately. This cut 15 requests 5 ms after a stop signal and 4 ms after a reload signal. With a millisecond between the two
// signals, none of the 30 jobs got an answer. All get one if the entry receives signals until it has ended.
func TestDrainCutsNothing(t *testing.T) {
	for _, test := range []struct {
		name  string
		pause time.Duration
		after []syscall.Signal
	}{
		{"asked once", 0, nil},
		{"told to reload at once", time.Millisecond, []syscall.Signal{syscall.SIGHUP}},
		{"told to reload meanwhile", 50 * time.Millisecond, []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP}},
		{"asked again", 50 * time.Millisecond, []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSet(t)
			s.entry("entry-1")
			s.agent("agent-1")
			s.awaitReady("entry-1")
			states := s.sendJobs(t, func() {
				s.signal("entry-1", syscall.SIGTERM)
				for _, next := range test.after {
					time.Sleep(test.pause)
					s.signal("entry-1", next)
				}
			}, 1)
			qt.Assert(t, states, qt.DeepEquals, map[api.State]int{verdict.Complete: 30})
			qt.Assert(t, s.processes["entry-1"].Wait(), qt.IsNil)
			delete(s.processes, "entry-1")
			log := s.log("entry-1")
			qt.Assert(t, strings.Count(log, "msg=signal"), qt.Equals, 1+len(test.after))
			qt.Assert(t, log, qt.Contains, "msg=left")
		})
	}
}

// sendJobs sends 30 jobs within 300 ms, calls fault after the first ten, and returns the number of answers by state.
func (s *set) sendJobs(t *testing.T, fault func(), attempts int) map[api.State]int {
	c, err := client.New(client.Options{Entries: s.entries(), Attempts: attempts})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	states := make(map[api.State]int)
	for i := range 30 {
		if i == 10 {
			fault()
		}
		time.Sleep(10 * time.Millisecond)
		group.Go(func() {
			a, err := c.Submit(ctx, client.NewID(), api.Job{
				Service: "publish", Spec: `{"run_ms":200}`, ObjectiveMs: 20_000, Steps: []api.Step{{Count: 2, CPUMillis: 1000, EstimateMs: 200}},
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("submit: %v", err)
				return
			}
			states[a.State]++
		})
	}
	group.Wait()
	return states
}
