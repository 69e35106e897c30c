package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// client makes the calls of the platform's clients.
type client struct {
	rec  *recorder
	http *http.Client
}

// deadline is how long clients wait for an answer.
const deadline = 1500 * time.Millisecond

func newClient(rec *recorder) client {
	return client{rec, &http.Client{Timeout: deadline + 500*time.Millisecond}}
}

// newID returns the id of a new job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// phase is one step of a job.
type phase struct {
	Count      int     `json:"count"`
	CPU        int64   `json:"cpu"`
	Mem        int64   `json:"mem_mb"`
	GPU        int64   `json:"gpu,omitempty"`
	EstimateMs float64 `json:"estimate_ms"`
	Checkpoint bool    `json:"checkpoint,omitempty"`
	Constraint string  `json:"constraints,omitempty"`
}

// spec is the text that the executors of these cases understand.
type spec struct {
	RunMs      int64 `json:"run_ms"`
	Checkpoint bool  `json:"checkpoint,omitempty"`
	// Fails makes each run of a task fail at its end.
	Fails bool `json:"fails,omitempty"`
}

// answer is the status of an answer, or 0 if there was none, with the fields of its body.
type answer struct {
	status  int
	State   string `json:"state"`
	Waiting int    `json:"waiting"`
	Reason  string `json:"reason"`
}

func (a answer) ok() bool { return a.status/100 == 2 }

// call makes one call at an entry.
func (c client) call(e *entry, method, rest string, body any) answer {
	raw := []byte(nil)
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return answer{}
		}
	}
	req, err := http.NewRequest(method, "http://"+e.front+queuePrefix+rest, bytes.NewReader(raw))
	if err != nil {
		return answer{}
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	res, err := c.http.Do(req)
	a := answer{}
	if err == nil {
		a.status = res.StatusCode
		if text, rerr := io.ReadAll(res.Body); rerr == nil {
			json.Unmarshal(text, &a) //nolint:errcheck // the status says enough
		}
		res.Body.Close() //nolint:errcheck // the body has been read
	}
	c.rec.logf("client", "%s %s%s at %s -> %d state=%s waiting=%d %s", method, queuePrefix, rest, e.name, a.status, a.State, a.Waiting, a.Reason)
	return a
}

// submit hands a job in once.
func (c client) submit(e *entry, id string, text spec, phases ...phase) answer {
	raw, err := json.Marshal(text)
	if err != nil {
		return answer{}
	}
	return c.call(e, http.MethodPost, id, map[string]any{"spec": string(raw), "phases": phases})
}

// state asks for the state of a job.
func (c client) state(e *entry, id string) answer { return c.call(e, http.MethodGet, id, nil) }

// cancel cancels a job.
func (c client) cancel(e *entry, id string) answer { return c.call(e, http.MethodDelete, id, nil) }

// ready reports whether an entry answers for the queue.
func (c client) ready(e *entry) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.front+queuePrefix, nil)
	if err != nil {
		return false
	}
	req.Host = queueHost
	res, err := c.http.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close() //nolint:errcheck // only the status counts
	return res.StatusCode == http.StatusOK
}
