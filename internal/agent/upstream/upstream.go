// Package upstream runs tasks on the agent's upstream over HTTP and says of each whether it may have run.
//
// A task is sent once. Go's transport sends some requests again by itself; the requests here are built so
// that it can do that only when no byte was written: POST, without an idempotency key, and with a body that
// can't be read again.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hillreel/internal/agent/ledger"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
)

// Headers of a task's request and of its answer.
const (
	headerJob     = "Hillreel-Job"
	headerIndex   = "Hillreel-Index"
	headerService = "Hillreel-Service"
	// headerVerdict lets an upstream say that it did not run a task: "not_run", with status 503.
	headerVerdict = "Hillreel-Verdict"
)

// idleTimeout is shorter than what HTTP servers usually allow, so that we close idle connections first.
const idleTimeout = 4 * time.Second

// Options configure a Client.
type Options struct {
	Address        ident.Address
	Connections    int
	ConnectTimeout time.Duration
	TaskTimeout    time.Duration
	AnswerLimit    int64
}

// Client runs tasks on one upstream.
type Client struct {
	opt       Options
	transport *http.Transport
}

// New returns a Client.
func New(opt Options) *Client {
	c := &Client{opt: opt}
	dialer := &net.Dialer{Timeout: opt.ConnectTimeout}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: opt.Connections,
		MaxConnsPerHost:     opt.Connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return c
}

// countingConn counts the bytes written, so that "nothing was written" can be told from "something was".
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts before it writes: a write that fails halfway counts as well.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// watch notes which connection a request got and what had been written on it before.
type watch struct {
	conn *countingConn
	base int64
}

func (w *watch) got(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	w.conn, w.base = conn, conn.written.Load()
}

// untouched tells whether no byte of the request can have reached the upstream.
func (w *watch) untouched() bool {
	return w.conn == nil || w.conn.written.Load() == w.base
}

// Close drops idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Run runs one task and returns when it has ended.
func (c *Client) Run(ctx context.Context, t ledger.Task) ledger.Outcome {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.opt.TaskTimeout)
	defer cancel()
	w := &watch{}
	req, err := c.request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.got}), t)
	if err != nil {
		return ledger.Outcome{Verdict: verdict.NotRun, Reason: verdict.BadRequest}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil && w.untouched() {
		return ledger.Outcome{Verdict: verdict.NotRun, Reason: verdict.ConnectFailed}
	}
	if err != nil {
		return ledger.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamLost, RunTime: time.Since(begin)}
	}
	out := c.read(resp)
	out.RunTime = time.Since(begin)
	return out
}

func (c *Client) request(ctx context.Context, t ledger.Task) (*http.Request, error) {
	// The wrapper hides that the payload could be read again.
	body := io.NopCloser(bytes.NewReader(t.Payload))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(c.opt.Address)+"/task", body)
	if err != nil {
		return nil, errors.Wrap(err, "upstream")
	}
	req.ContentLength = int64(len(t.Payload))
	if len(t.Payload) == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerJob, t.Key.String())
	req.Header.Set(headerIndex, strconv.FormatUint(uint64(t.Index), 10))
	req.Header.Set(headerService, string(t.Service))
	req.Header.Set("Hillreel-Task-Kind", t.Kind)
	return req, nil
}

func (c *Client) read(resp *http.Response) ledger.Outcome {
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerVerdict) == string(verdict.NotRun) {
		return ledger.Outcome{Verdict: verdict.NotRun, Reason: verdict.UpstreamRefused}
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, c.opt.AnswerLimit+1))
	out := ledger.Outcome{
		Verdict: verdict.Ran, Status: uint32(resp.StatusCode), Answer: answer,
		OK: resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices,
	}
	if err != nil {
		return ledger.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamLost}
	}
	if int64(len(answer)) > c.opt.AnswerLimit {
		out.Answer, out.OK, out.Reason = nil, false, verdict.TooLarge
		return out
	}
	if !out.OK {
		out.Reason = verdict.TaskFailed
	}
	return out
}
