// Package table is a client of the platform's transactional table service: rows with versions, conditional
// writes of several rows at once.
package table

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
)

// Version counts the writes of a row. Zero: the row does not exist.
type Version uint64

// Row is one row.
type Row struct {
	Key     string          `json:"key"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Write is one conditional write: it needs the row to have version If. A nil value deletes.
type Write struct {
	Key   string          `json:"key"`
	If    Version         `json:"if"`
	Value json.RawMessage `json:"value"`
}

// Txn is a set of writes that take effect together or not at all.
type Txn struct {
	Writes []Write `json:"writes"`
}

// Rows is the platform's answer to a list or a transaction.
type Rows struct {
	Rows []Row `json:"rows"`
}

// ErrConflict says that a row had another version than the write needed; nothing was written.
var ErrConflict = errors.New("table: conflict")

// ErrNotFound says that there is no such row.
var ErrNotFound = errors.New("table: no such row")

// Client speaks to one table service.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client of the service at address; timeout bounds each call.
func New(address ident.Address, timeout time.Duration) *Client {
	return &Client{"http://" + string(address) + "/v1", &http.Client{Timeout: timeout}}
}

// Get reads one row.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var r Row
	err := c.call(ctx, http.MethodGet, "/row?key="+url.QueryEscape(key), nil, &r)
	return r, err
}

// List reads all rows whose keys begin with prefix, in order of their keys.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var out Rows
	err := c.call(ctx, http.MethodGet, "/rows?prefix="+url.QueryEscape(prefix), nil, &out)
	return out.Rows, err
}

// Commit does a transaction. Its error carries a verdict: not_run for a conflict, may_have_run when the
// answer was lost, in which case the write may have taken effect.
func (c *Client) Commit(ctx context.Context, t Txn) ([]Row, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return nil, errors.Wrap(err, "table: encode")
	}
	var out Rows
	err = c.call(ctx, http.MethodPost, "/txn", body, &out)
	return out.Rows, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "table")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.Unreachable, Cause: err}
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.Conflict, Cause: ErrConflict}
	default:
		return &verdict.Error{
			Verdict: verdict.MayHaveRun, Reason: verdict.Unreachable, Cause: errors.Errorf("table: status %d", resp.StatusCode),
		}
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "table: decode")
}
