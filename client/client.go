// Package client is the Go client of the callers' API. It sends a job to one entry after another until it has an
// answer, always under the same id, so that no task of it runs twice at a time.
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

// Options say where the entries are.
type Options struct {
	// Entries are the addresses of the callers' API of some entries.
	Entries []string
	// Connections bounds the open connections to each entry; zero is 64.
	Connections int
	// Resend is the pause before a job whose answer was lost is sent again. The runs of a lost entry are stopped
	// within it; a shorter one gains nothing. Zero is 1.3 s.
	Resend time.Duration
	// Attempts is how often a job is sent at most; zero is 4.
	Attempts int
}

const (
	defaultConnections = 64
	defaultResend      = 1300 * time.Millisecond
	defaultAttempts    = 4
)

// Client sends jobs. It is safe for use by many goroutines.
type Client struct {
	o    Options
	http *http.Client
	next atomic.Uint64
}

// New returns a Client.
func New(o Options) (*Client, error) {
	if len(o.Entries) == 0 {
		return nil, errors.New("client: no entries")
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

// NewID draws an id. A caller stores it with what the job is for before it submits.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// ErrLost says that no entry has answered, and the job may have run.
var ErrLost = errors.New("client: no entry has answered; the job may have run")

// Submit sends a job under an id and returns its answer, whatever that is. After a lost answer, or one that leaves
// the job unresolved, the job is sent again.
func (c *Client) Submit(ctx context.Context, id string, j api.Job) (*api.Answer, error) {
	body, err := json.Marshal(j)
	if err != nil {
		return nil, errors.Wrap(err, "client: encode")
	}
	return c.tryEntries(ctx, http.MethodPut, id, body)
}

// State asks for the state of a job that was sent with Keep.
func (c *Client) State(ctx context.Context, id string) (*api.Answer, error) {
	return c.tryEntries(ctx, http.MethodGet, id, nil)
}

// Cancel ends a job.
func (c *Client) Cancel(ctx context.Context, id string) (*api.Answer, error) {
	return c.tryEntries(ctx, http.MethodDelete, id, nil)
}

// try calls one entry after the other until one answers.
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
