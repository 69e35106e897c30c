// Package client implements a Go client of the callers' API. It sends a job to one entry after another until an entry
// answers, always under the same id, so that no task of the job has two runs at the same time.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hillreel/api"
	"hillreel/internal/core/verdict"
)

// Options configures a Client.
type Options struct {
	// Entries lists the addresses, host:port, of the callers' API of at least one entry.
	Entries []string
	// Connections is the maximum number of open connections to each entry; zero means 64.
	Connections int
	// Resend is the pause before a job is sent again after its answer was lost; zero means 1.3 s. Within this time the
	// runs of a lost entry are stopped, so a shorter pause has no advantage.
	Resend time.Duration
	// Attempts is the maximum number of requests for a job; zero means 4.
	Attempts int
}

const (
	defaultConnections = 64
	defaultResend      = 1300 * time.Millisecond
	defaultAttempts    = 4
)

// Client sends jobs to entries. It is safe for concurrent use.
type Client struct {
	o    Options
	http *http.Client
	next atomic.Uint64
}

// New returns a Client. It returns an error if o.Entries is empty.
func New(o Options) (*Client, error) {
	if len(o.Entries) == 0 {
		return nil, errors.New("client: Options.Entries is empty")
	}
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
	if o.Resend == 0 {
		o.Resend = defaultResend
	}
	if o.Attempts == 0 {
		o.Attempts = defaultAttempts
	}
	transport := &http.Transport{MaxIdleConnsPerHost: o.Connections, MaxConnsPerHost: o.Connections}
	c := &Client{o: o, http: &http.Client{Transport: transport}}
	c.next.Store(rand.Uint64())
	return c, nil
}

// NewID draws a random job id. A caller stores the id together with the purpose of the job before it submits the job.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// ErrLost means that no entry has answered, so that the job may have run.
var ErrLost = errors.New("client: no entry has answered; the job may have run")

// Submit sends a job under an id and returns the answer, in whatever state the job is. If the answer is lost, or its
// state is Unresolved, Submit sends the job again. After the last attempt, or when ctx ends, it returns an error that wraps
// ErrLost.
func (c *Client) Submit(ctx context.Context, id string, j api.Job) (*api.Answer, error) {
	body, err := json.Marshal(j)
	if err != nil {
		return nil, errors.Wrap(err, "client: encode")
	}
	return c.tryEntries(ctx, http.MethodPut, id, body)
}

// State returns the state of a job that was sent with Keep.
func (c *Client) State(ctx context.Context, id string) (*api.Answer, error) {
	return c.tryEntries(ctx, http.MethodGet, id, nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) (*api.Answer, error) {
	return c.tryEntries(ctx, http.MethodDelete, id, nil)
}

// tryEntries sends the request to one entry after another, with a pause between them, until one answers with a state other
// than Unresolved or the attempts are used up.
func (c *Client) tryEntries(ctx context.Context, method, id string, body []byte) (*api.Answer, error) {
	var last error
	for range c.o.Attempts {
		entry := c.o.Entries[c.next.Add(1)%uint64(len(c.o.Entries))]
		a, err := c.send(ctx, method, entry, id, body)
		if err == nil && a.State != verdict.Unresolved {
			return a, nil
		}
		if last = err; err == nil {
			last = errors.Errorf("entry %s: %s", entry, a.Reason)
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(ErrLost, ctx.Err().Error())
		case <-time.After(c.o.Resend):
		}
	}
	return nil, errors.Wrap(ErrLost, last.Error())
}

func (c *Client) send(ctx context.Context, method, entry, id string, body []byte) (*api.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+"/v1/jobs/"+id, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "client")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "client")
	}
	defer res.Body.Close()
	a := &api.Answer{}
	if err := json.NewDecoder(res.Body).Decode(a); err != nil {
		return nil, errors.Wrapf(err, "client: answer of %s with status %d", entry, res.StatusCode)
	}
	return a, nil
}
