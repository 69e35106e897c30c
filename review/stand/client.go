package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// step is one step of a job.
type step struct {
	Count      int    `json:"count"`
	CPU        int64  `json:"cpu"`
	MemMB      int64  `json:"mem_mb,omitempty"`
	EstimateMs int64  `json:"estimate_ms"`
	After      []int  `json:"after_rev,omitempty"`
	Constraint string `json:"constraints,omitempty"`
	MaxPerExec int    `json:"anti_affinity,omitempty"`
	Checkpoint bool   `json:"checkpoint,omitempty"`
}

// jobBody is a job as a client sends it.
type jobBody struct {
	Spec       string `json:"spec"`
	Phases     []step `json:"phases"`
	BestEffort bool   `json:"best_effort,omitempty"`
}

// work returns the text of a job whose tasks each work for a time.
func work(d time.Duration) string { return fmt.Sprintf(`{"ms":[%d]}`, d.Milliseconds()) }

// newID draws a job's id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is an answer to a client; status is zero if there was none.
type answer struct {
	status int
	body   string
	at     time.Time
}

// is reports whether the answer has a status.
func (a answer) is(status int) bool { return a.status == status }

// client is one client. Each of its requests has a connection of its own.
type client struct {
	name string
	rec  *record
}

// call sends a request to an entry's front address and returns the answer.
func (c *client) call(m *machine, method, path string, body any, patience time.Duration) answer {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body) //nolint:errcheck // the bodies of this program can be encoded
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, portFront, path), bytes.NewReader(raw))
	if err != nil {
		return answer{}
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	c.rec.add(c.name, "%s %s at %s %s", method, path, m.name, raw)
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		c.rec.add(c.name, "%s %s at %s: no answer (%v)", method, path, m.name, err)
		return answer{at: time.Now()}
	}
	defer res.Body.Close() //nolint:errcheck // nothing else is read
	text, err := io.ReadAll(res.Body)
	if err != nil {
		c.rec.add(c.name, "%s %s at %s: no answer (%v)", method, path, m.name, err)
		return answer{at: time.Now()}
	}
	a := answer{res.StatusCode, strings.TrimSpace(string(text)), time.Now()}
	c.rec.add(c.name, "%s %s at %s: %d %s", method, path, m.name, a.status, a.body)
	return a
}

// submit sends a job.
func (c *client) submit(m *machine, id string, j jobBody, patience time.Duration) answer {
	return c.call(m, http.MethodPost, routePrefix+id, j, patience)
}

// state asks for a job's state.
func (c *client) state(m *machine, id string, patience time.Duration) answer {
	return c.call(m, http.MethodGet, routePrefix+id, nil, patience)
}

// cancel cancels a job.
func (c *client) cancel(m *machine, id string, patience time.Duration) answer {
	return c.call(m, http.MethodDelete, routePrefix+id, nil, patience)
}

// waiting asks for the count of the queue's jobs that have not begun, or returns -1 if there is no such answer.
func (c *client) waiting(m *machine) int {
	a := c.call(m, http.MethodGet, routePrefix, nil, 2*time.Second)
	var body struct {
		Waiting *int `json:"waiting"`
	}
	if !a.is(http.StatusOK) || json.Unmarshal([]byte(a.body), &body) != nil || body.Waiting == nil {
		return -1
	}
	return *body.Waiting
}
