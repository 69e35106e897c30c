package commands_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
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
	"hillreel/internal/load/drive"
	"hillreel/internal/load/measure"
	"hillreel/internal/load/workload"
)

// patience bounds every wait of these tests; nothing is expected to take nearly as long.
const patience = 60 * time.Second

// set is a whole set as separate processes.
type set struct {
	t         *testing.T
	binary    string
	dir       string
	platform  string
	processes map[string]*exec.Cmd
	callers   map[string]string
}

func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	return ln.Addr().String()
}

func newSet(t *testing.T) *set {
	s := &set{
		t: t, dir: t.TempDir(), processes: make(map[string]*exec.Cmd), callers: make(map[string]string),
		platform: freeAddress(t),
	}
	s.binary = filepath.Join(s.dir, "hillreel")
	out, err := exec.Command("go", "build", "-o", s.binary, "hillreel").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	t.Cleanup(func() {
		for name := range s.processes {
			s.signal(name, syscall.SIGKILL)
		}
	})
	s.run("platform", []string{"standin", "platform"}, "[standin_platform]\nlist_lag = 0s\nlisten = "+s.platform)
	s.await("http://" + s.platform + "/v1/vms")
	return s
}

// run starts one process with a settings file of its own.
func (s *set) run(name string, command []string, ini string) {
	file := filepath.Join(s.dir, name+".ini")
	qt.Assert(s.t, os.WriteFile(file, []byte(ini), 0o600), qt.IsNil)
	cmd := exec.Command(s.binary, append(command, "--config", file)...)
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	qt.Assert(s.t, err, qt.IsNil)
	cmd.Stderr = log
	qt.Assert(s.t, cmd.Start(), qt.IsNil)
	s.processes[name] = cmd
}

const shared = `
[jobs]
mac_keys = process-test-mac-key
[links]
gone_after = 2s
[platform]
list_every = 50ms
address = %s
[node]
name = %s
zone = zone-1
region = region-1
link = %s
operators = %s
`

func (s *set) node(name, role, link, ops string) string {
	s.list(name, role, link)
	return fmt.Sprintf(shared, s.platform, name, link, ops)
}

func (s *set) list(name, role, link string) {
	body, err := json.Marshal(map[string]string{
		"role": role, "address": link, "zone": "zone-1", "region": "region-1", "state": "live",
	})
	qt.Assert(s.t, err, qt.IsNil)
	req, err := http.NewRequest("PUT", "http://"+s.platform+"/v1/standin/vms/"+name, strings.NewReader(string(body)))
	qt.Assert(s.t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(s.t, err, qt.IsNil)
	resp.Body.Close()
}

func (s *set) agent(name string) {
	up := freeAddress(s.t)
	s.run("up-"+name, []string{"standin", "upstream"}, "[standin_upstream]\nlisten = "+up)
	ini := s.node(name, "agent", freeAddress(s.t), freeAddress(s.t))
	s.run(name, []string{"agent"}, ini+"\n[agent]\nupstream = "+up)
}

func (s *set) entry(name string) {
	callers := freeAddress(s.t)
	ini := s.node(name, "entry", freeAddress(s.t), freeAddress(s.t))
	s.run(name, []string{"entry"}, ini+"\n[entry]\ncallers = "+callers)
	s.callers[name] = callers
	s.await("http://" + callers + "/readyz")
}

// await waits until url answers with status 200.
func (s *set) await(url string) {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get(url); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	s.t.Fatalf("%s was not ready within %s", url, patience)
}

func (s *set) signal(name string, sig syscall.Signal) {
	s.processes[name].Process.Signal(sig)
	if sig == syscall.SIGKILL {
		s.processes[name].Wait()
	}
}

func (s *set) entries() []string {
	var out []string
	for _, address := range s.callers {
		out = append(out, address)
	}
	return out
}

// TestSeparateProcesses runs a set as processes and disturbs it while jobs run: an entry is told to leave,
// another is killed, an agent is told to leave. No job may be lost, nothing may be cut.
func TestSeparateProcesses(t *testing.T) {
	for _, test := range []struct {
		name    string
		disturb func(s *set)
	}{
		{"an entry drains", func(s *set) {
			s.signal("entry-1", syscall.SIGTERM)
			qt.Assert(s.t, s.processes["entry-1"].Wait(), qt.IsNil, qt.Commentf("it ends by itself, with success"))
		}},
		{"an entry is killed", func(s *set) { s.signal("entry-1", syscall.SIGKILL) }},
		{"an agent drains", func(s *set) {
			s.signal("agent-1", syscall.SIGTERM)
			qt.Assert(s.t, s.processes["agent-1"].Wait(), qt.IsNil)
		}},
		{"an entry is frozen past its takeover", func(s *set) {
			s.signal("entry-1", syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			s.signal("entry-1", syscall.SIGCONT)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSet(t)
			for _, name := range []string{"agent-1", "agent-2", "agent-3"} {
				s.agent(name)
			}
			for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
				s.entry(name)
			}
			cl, err := client.New(client.Options{Entries: s.entries()})
			qt.Assert(t, err, qt.IsNil)
			// The agents' links need a moment; the client asks until it gets ids.
			for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
				if _, err = cl.NextID(context.Background(), "canteen"); err == nil {
					break
				}
			}
			jobs := workload.Draw(workload.Profile{
				Kind: workload.Canteen, Seed: 3, Length: 2 * time.Second, Slots: 24, Load: 0.5,
			})
			into := measure.New()
			var wg sync.WaitGroup
			wg.Add(1)
			go func() {
				defer wg.Done()
				drive.Run(context.Background(), cl, jobs, drive.Options{
					Slots: 24, RoundTrip: time.Millisecond, Patience: patience,
				}, into)
			}()
			time.Sleep(time.Second)
			test.disturb(s)
			wg.Wait()
			r := into.Report()
			qt.Assert(t, r.Foreign, qt.Equals, 0)
			qt.Assert(t, r.NoAnswer, qt.Equals, 0)
			qt.Assert(t, r.States, qt.DeepEquals, map[api.State]int{verdict.Complete: len(jobs)})
		})
	}
}
