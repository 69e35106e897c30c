// Package client submits jobs to hillreel and submits them again safely: under the same id, to any entry,
// until the outcome is known.
//
// The id must be kept with the episode or the order before Submit is called, so that a caller that dies can
// submit the same job again. NextID gives it.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hillreel/api"
	"hillreel/internal/core/verdict"
)

const (
	// batch is how many ids one call brings.
	batch = 64
	// lowWater: with fewer ids at hand, more are fetched in the background.
	lowWater = 16
	// pause is the least wait before a job is submitted again.
	pause = 50 * time.Millisecond
	// maxPause bounds the wait that an entry can ask for.
	maxPause = 5 * time.Second
	// idLimit bounds one call for ids.
	idLimit = 3 * time.Second
	// maxMinted bounds the ids whose minter is remembered.
	maxMinted = 100_000
	// attemptLimit is how long one entry may take over a job before another is asked under the same id.
	attemptLimit = 15 * time.Second
)

// Options configure a Client.
type Options struct {
	// Entries are the callers' addresses of the entries, or the balancer's alone.
	Entries []string
	// Connections bounds the connections to each entry.
	Connections int
	// Transport is for tests; nil is the usual one.
	Transport http.RoundTripper
}

// Client is safe for use by many goroutines.
type Client struct {
	entries []string
	next    atomic.Uint64
	http    *http.Client

	mu  sync.Mutex
	ids map[stockKey]*stock
	// minted says which entry minted an id that was handed out and not submitted yet: that entry answers
	// for it without asking another.
	minted map[string]string
}

type stockKey struct{ entry, service string }

// stock holds the ids of one service, from one entry, that nobody has used.
type stock struct {
	ids      []string
	useUntil time.Time
	fetching bool
}

// New returns a Client of at least one entry.
func New(o Options) (*Client, error) {
	if len(o.Entries) == 0 {
		return nil, errors.New("client: no entries given")
	}
	if o.Transport == nil {
		n := max(o.Connections, 16)
		o.Transport = &http.Transport{MaxIdleConnsPerHost: n, IdleConnTimeout: 30 * time.Second}
	}
	return &Client{
		entries: o.Entries, http: &http.Client{Transport: o.Transport}, ids: make(map[stockKey]*stock),
		minted: make(map[string]string),
	}, nil
}

// NextID returns an unused id for a service. It seldom waits: ids are fetched ahead, from all entries in
// turn, so that their jobs are spread over the entries.
func (c *Client) NextID(ctx context.Context, service string) (string, error) {
	var err error
	first := c.next.Add(1)
	for i := range uint64(2 * len(c.entries)) {
		// In turn from here on: other callers move the shared counter, and chance could name the same
		// dead entry each time.
		entry := c.entries[(first+i)%uint64(len(c.entries))]
		if id, ok := c.take(ctx, entry, service); ok {
			return id, nil
		}
		var id string
		if id, err = c.fetchFrom(ctx, entry, service); err == nil {
			return id, nil
		}
		if sleep(ctx, pause) != nil {
			break
		}
	}
	return "", err
}

// take takes an id from the stock of one entry, and has more fetched when few are left.
func (c *Client) take(ctx context.Context, entry, service string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stock(entry, service)
	if time.Now().After(s.useUntil) {
		s.ids = nil
	}
	if len(s.ids) == 0 {
		return "", false
	}
	if len(s.ids) < lowWater && !s.fetching {
		s.fetching = true
		go func() {
			id, err := c.fetchFrom(context.WithoutCancel(ctx), entry, service)
			c.mu.Lock()
			defer c.mu.Unlock()
			s.fetching = false
			if err == nil {
				s.ids = append(s.ids, id)
			}
		}()
	}
	id := s.ids[0]
	s.ids = s.ids[1:]
	c.remember(id, entry)
	return id, true
}

// remember notes who minted an id that is handed out; the caller holds mu.
func (c *Client) remember(id, entry string) {
	if len(c.minted) < maxMinted {
		c.minted[id] = entry
	}
}

// stock returns the ids of a service that an entry minted; the caller holds mu.
func (c *Client) stock(entry, service string) *stock {
	key := stockKey{entry, service}
	if c.ids[key] == nil {
		c.ids[key] = &stock{}
	}
	return c.ids[key]
}

// fetchFrom fetches ids from one entry: the first is the caller's own, the others go to the stock.
func (c *Client) fetchFrom(ctx context.Context, entry, service string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, idLimit)
	defer cancel()
	var got api.IDs
	asked := time.Now()
	status, err := c.call(ctx, http.MethodPost, entry, "/v1/ids", api.IDRequest{Service: service, Count: batch}, &got)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK || len(got.IDs) == 0 {
		return "", errors.Errorf("client: no ids for service %s: status %d", service, status)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stock(entry, service)
	if len(s.ids) == 0 {
		// Half the time that the entry allows, so that a job still has time to run.
		s.useUntil = asked.Add(time.Duration(got.UseWithinMs/2) * time.Millisecond)
	}
	s.ids = append(s.ids, got.IDs[1:]...)
	c.remember(got.IDs[0], entry)
	return got.IDs[0], nil
}

// Submit runs a job under an id and returns its outcome. It submits again, to other entries, until an
// outcome is known or ctx ends; the error then carries the verdict may_have_run.
func (c *Client) Submit(ctx context.Context, id string, j api.Job) (*api.Answer, error) {
	entry := c.minter(id)
	for {
		a, err := c.attempt(ctx, entry, id, j)
		entry = c.entry()
		if err == nil && !again(a) {
			return a, nil
		}
		if err := sleep(ctx, a.RetryAfter()); err != nil {
			return a, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.Unreachable, Cause: err}
		}
	}
}

// minter returns the entry that minted an id, if this client fetched it, else any.
func (c *Client) minter(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.minted[id]
	delete(c.minted, id)
	if !ok {
		return c.entry()
	}
	return entry
}

func (c *Client) attempt(ctx context.Context, entry, id string, j api.Job) (*api.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptLimit)
	defer cancel()
	var a api.Answer
	_, err := c.call(ctx, http.MethodPut, entry, "/v1/jobs/"+id, j, &a)
	return &a, err
}

// again tells whether the same id should be asked about again.
func again(a *api.Answer) bool {
	return a.State == verdict.Unresolved && a.Reason != verdict.Expired || a.State == verdict.Running
}

// Run takes an id and submits a job under it.
func (c *Client) Run(ctx context.Context, j api.Job) (*api.Answer, error) {
	id, err := c.NextID(ctx, j.Service)
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NoAgents, Cause: err}
	}
	return c.Submit(ctx, id, j)
}

// Read asks once where a job stands.
func (c *Client) Read(ctx context.Context, id string) (*api.Answer, error) {
	var a api.Answer
	_, err := c.call(ctx, http.MethodGet, c.entry(), "/v1/jobs/"+id, nil, &a)
	return &a, err
}

// Cancel withdraws what of a job has not started, and returns the outcome.
func (c *Client) Cancel(ctx context.Context, id string) (*api.Answer, error) {
	var a api.Answer
	_, err := c.call(ctx, http.MethodDelete, c.entry(), "/v1/jobs/"+id, nil, &a)
	return &a, err
}

// entry takes the entries in turn.
func (c *Client) entry() string {
	return c.entries[c.next.Add(1)%uint64(len(c.entries))]
}

func (c *Client) call(ctx context.Context, method, entry, path string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return 0, errors.Wrap(err, "client: encode")
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, body)
	if err != nil {
		return 0, errors.Wrap(err, "client")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "client")
	}
	defer resp.Body.Close()
	return resp.StatusCode, errors.Wrap(json.NewDecoder(resp.Body).Decode(out), "client: decode")
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(min(max(d, pause), maxPause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
