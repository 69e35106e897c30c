// Package peer asks the other entries of a region about a job that this entry does not know. Entries have no permanent sessions with each
// other: a session is opened to an entry's link address when there is something to ask, and is closed once it has been idle for a while.
package peer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/metrics"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// Options configures a Client.
type Options struct {
	Dial   session.Dialer
	Limits session.Limits
	// ReplyTimeout bounds the wait for a reply on one session, which may have fallen silent. A new session is opened after it.
	ReplyTimeout time.Duration
	// RetryPause is the pause after a query that got no reply.
	RetryPause time.Duration
	// Hello returns the first message of a session.
	Hello func() *wire.Hello
	Log   *logrus.Entry
}

// Client sends queries to other entries. It is safe for concurrent use.
type Client struct {
	opts     Options
	counters *metrics.Counters
	dials    singleflight.Group

	mu sync.Mutex
	// conns holds the open sessions.
	conns map[ident.Address]*conn
	// silent holds the entries whose last query got no reply.
	silent map[ident.Address]bool
	closed bool
}

// New returns a Client without sessions.
func New(o Options) *Client {
	return &Client{opts: o, counters: metrics.NewCounters("peers"), conns: make(map[ident.Address]*conn), silent: make(map[ident.Address]bool)}
}

// Outcome is what a query to several entries has shown.
type Outcome struct {
	// State is the job's state. It is verdict.Unknown if no entry that replied has the job.
	State verdict.State
	// Silent lists the entries that have not replied and may have the job. It is empty if the reply of another entry settles the query.
	Silent []ident.Address
}

// Ask sends a query to entries and waits until one of the replies settles it, until each entry has replied or has ended, or until ctx ends.
func (c *Client) Ask(ctx context.Context, entries []ident.Address, q fleet.JobQuery) Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		entry ident.Address
		reply fleet.JobReply
		err   error
	}
	results := make(chan result, len(entries))
	for _, e := range entries {
		go func() {
			reply, err := c.askEntry(ctx, e, q)
			results <- result{e, reply, err}
		}()
	}
	c.forgetOthers(entries)
	began := time.Now()
	out := Outcome{State: verdict.Unknown}
	for range entries {
		r := <-results
		switch {
		case r.err != nil:
			c.recordSilent(r.entry, time.Since(began))
			out.Silent = append(out.Silent, r.entry)
			if q.Refusing {
				return out // one entry that can't tell suffices
			}
		case q.SettledBy(r.reply):
			return Outcome{State: r.reply.State}
		case r.reply.State != verdict.Unknown:
			out.State = r.reply.State
		}
	}
	return out
}

// Tell sends a query to one entry and returns the entry's reply. It waits until the entry has replied or has ended, or until ctx ends. An
// entry that has ended has nothing of the job.
func (c *Client) Tell(ctx context.Context, e ident.Address, q fleet.JobQuery) (fleet.JobReply, error) {
	began := time.Now()
	reply, err := c.askEntry(ctx, e, q)
	if err != nil {
		c.recordSilent(e, time.Since(began))
	}
	return reply, err
}

// recordSilent records that an entry has not replied to a query in a time. If that was too short to tell, the entry does not count as silent.
func (c *Client) recordSilent(e ident.Address, waited time.Duration) {
	c.counters.Add("silent", 1)
	if waited >= c.opts.ReplyTimeout {
		c.markSilent(e)
	}
}

// askEntry sends a query to one entry until the entry replies, until it is known to have ended, or until ctx ends. An entry that did not
// reply the last time is not tried again after ReplyTimeout, so that callers do not wait long for an entry without power again and again.
func (c *Client) askEntry(ctx context.Context, e ident.Address, q fleet.JobQuery) (fleet.JobReply, error) {
	silent, giveUp := c.isSilent(e), time.Now().Add(c.opts.ReplyTimeout)
	for {
		reply, err := c.try(ctx, e, q)
		if q.Refusing && (errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, errCantTell)) {
			return reply, err // an entry that has ended may have left a write under way
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			// No process listens there: the entry has ended, and the jobs that it held have ended with it.
			reply, err = fleet.JobReply{State: verdict.Unknown}, nil
		}
		if err == nil {
			c.unmarkSilent(e)
			return reply, nil
		}
		if silent && time.Now().After(giveUp) || !sleep(ctx, c.opts.RetryPause) {
			return fleet.JobReply{}, err
		}
	}
}

// sleep waits for d and returns true, or returns false when ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// isSilent reports whether the last query to an entry got no reply.
func (c *Client) isSilent(e ident.Address) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent[e]
}

// markSilent records that the last query to an entry got no reply. The next one opens a new session, because the present one may have fallen
// silent.
func (c *Client) markSilent(e ident.Address) {
	c.mu.Lock()
	c.silent[e] = true
	open := c.conns[e]
	c.mu.Unlock()
	if open != nil {
		c.discard(e, open)
	}
}

// unmarkSilent records that the last query to an entry got a reply.
func (c *Client) unmarkSilent(e ident.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.silent, e)
}

// forgetOthers forgets which entries were silent, except those listed.
func (c *Client) forgetOthers(entries []ident.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.silent, func(e ident.Address, _ bool) bool { return !slices.Contains(entries, e) })
}

// try sends a query to one entry once.
func (c *Client) try(ctx context.Context, e ident.Address, q fleet.JobQuery) (fleet.JobReply, error) {
	open, err := c.connect(ctx, e)
	if err != nil {
		return fleet.JobReply{}, err
	}
	c.counters.Add("queries", 1)
	reply, err := open.ask(ctx, q, c.opts.ReplyTimeout)
	if err != nil {
		if ctx.Err() == nil {
			c.discard(e, open)
		}
		return reply, err
	}
	c.counters.Add("replies", 1)
	if !reply.CanTell() {
		return reply, errCantTell
	}
	return reply, nil
}

// errCantTell is the error of a query to an entry that does not know whether it has the job.
var errCantTell = errors.New("peer: the entry can't tell")

// connect returns the open session with an entry, or opens one. Concurrent callers share it.
func (c *Client) connect(ctx context.Context, e ident.Address) (*conn, error) {
	c.mu.Lock()
	open := c.conns[e]
	c.mu.Unlock()
	if open != nil {
		return open, nil
	}
	done := c.dials.DoChan(string(e), func() (any, error) { return c.open(e) })
	select {
	case r := <-done:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*conn), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open opens a session with an entry.
func (c *Client) open(e ident.Address) (*conn, error) {
	s, err := session.Dial(c.opts.Dial, string(e), c.opts.Limits, c.opts.Hello())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		s.Close()
		return nil, errors.New("peer: closed")
	}
	c.counters.Add("sessions", 1)
	opened := newConn(s)
	c.conns[e] = opened
	go func() {
		err := opened.receive()
		c.opts.Log.WithFields(logrus.Fields{"entry": s.Remote.GetName(), "error": err}).Debug("peer_session_ended")
		c.discard(e, opened)
	}()
	return opened, nil
}

// discard closes a session and removes it.
func (c *Client) discard(e ident.Address, ended *conn) {
	ended.session.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[e] == ended {
		delete(c.conns, e)
	}
}

// Close closes all sessions. No further ones are opened.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, open := range c.conns {
		open.session.Close()
	}
}
