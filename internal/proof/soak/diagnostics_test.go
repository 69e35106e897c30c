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
	// readToken is the operator token with which the soak reads the entries' operator API.
	readToken = "soak"
	// fetchTimeout bounds a request for the state of a process, because a suspended process does not answer.
	fetchTimeout = time.Second
)

// saveDiagnostics copies the logs of a failed seed and the list of problems to a new directory in soakKeepDir, together with the present
// metrics of all processes and every entry's view of the upstreams. A seed that fails repeatedly gets a new directory each time.
// Without soakKeepDir it does nothing.
func (cl *cluster) saveDiagnostics(seed uint64, problems ...string) {
	if *soakKeepDir == "" {
		return
	}
	cl.saveState()
	into, err := makeDiagnosticsDir(seed)
	if err == nil {
		err = os.WriteFile(filepath.Join(cl.dir, "problems.txt"), []byte(strings.Join(problems, "\n")+"\n"), 0o600)
	}
	if err == nil {
		err = os.CopyFS(into, os.DirFS(cl.dir))
	}
	if err != nil {
		cl.t.Logf("cannot save the logs: %v", err)
	}
}

// makeDiagnosticsDir creates a new directory for the diagnostics of a seed.
func makeDiagnosticsDir(seed uint64) (string, error) {
	if err := os.MkdirAll(*soakKeepDir, 0o700); err != nil {
		return "", err
	}
	return os.MkdirTemp(*soakKeepDir, fmt.Sprintf("seed-%d-", seed))
}

// saveState writes the present metrics of all processes and the entries' views of the upstreams to files beside the logs.
func (cl *cluster) saveState() {
	var group sync.WaitGroup
	for _, p := range cl.processes() {
		group.Go(func() { cl.saveResponse(p, "/metrics", "metrics") })
		if p.role == "entry" {
			group.Go(func() { cl.saveResponse(p, "/v1/upstreams", "upstreams") })
		}
	}
	group.Wait()
}

// saveResponse writes the response at a path of a process's metrics address, or the error, to a file beside the logs.
func (cl *cluster) saveResponse(p *process, path, what string) {
	raw, err := fetch("http://" + p.metrics + path)
	if err != nil {
		raw = []byte(err.Error() + "\n")
	}
	if err := os.WriteFile(filepath.Join(cl.dir, p.name+"."+what+".json"), raw, 0o600); err != nil {
		cl.t.Logf("cannot save the %s of %s: %v", what, p.name, err)
	}
}

// fetch returns the body of a GET request with the soak's operator token. It does not check the status.
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
