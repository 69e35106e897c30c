package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// readToken lets the soak read what entries tell operators.
	readToken = "soak"
	// readWait is how long a process has to tell what it knows; one that stands still tells nothing.
	fetchTimeout = time.Second
)

// keep copies the logs of a seed that failed, and asks all processes what they know: their metrics, and entries for the upstreams as
// they see them. A seed that fails again has a directory of its own each time.
func (s *cluster) saveDiagnostics(seed uint64, problems ...string) {
	if *soakKeepDir == "" {
		return
	}
	s.saveState()
	into, err := makeDiagnosticsDir(seed)
	if err == nil {
		err = os.WriteFile(filepath.Join(s.dir, "problems.txt"), []byte(strings.Join(problems, "\n")+"\n"), 0o600)
	}
	if err == nil {
		err = os.CopyFS(into, os.DirFS(s.dir))
	}
	if err != nil {
		s.t.Logf("logs not kept: %v", err)
	}
}

// keptDir makes a directory for what is kept of a seed.
func makeDiagnosticsDir(seed uint64) (string, error) {
	if err := os.MkdirAll(*soakKeepDir, 0o700); err != nil {
		return "", err
	}
	return os.MkdirTemp(*soakKeepDir, fmt.Sprintf("seed-%d-", seed))
}

// keepState writes what the processes know now beside their logs.
func (s *cluster) saveState() {
	var group sync.WaitGroup
	for _, p := range s.processes() {
		group.Go(func() { s.saveResponse(p, "/metrics", "metrics") })
		if p.role == "entry" {
			group.Go(func() { s.saveResponse(p, "/v1/upstreams", "upstreams") })
		}
	}
	group.Wait()
}

// keepAnswer writes what a process answers at a path of its metrics address, or why it does not.
func (s *cluster) saveResponse(p *process, path, what string) {
	raw, err := fetch("http://" + p.metrics + path)
	if err != nil {
		raw = []byte(err.Error() + "\n")
	}
	if err := os.WriteFile(filepath.Join(s.dir, p.name+"."+what+".json"), raw, 0o600); err != nil {
		s.t.Logf("%s of %s not kept: %v", what, p.name, err)
	}
}

// readAnswer reads what operators may read.
func fetch(url string) ([]byte, error) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+readToken)
	client := &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	return io.ReadAll(res.Body)
}
