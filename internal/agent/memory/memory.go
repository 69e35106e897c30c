// Package memory keeps, in the platform's store, which upstream stands beside an agent, so that the agent's next
// life can take work without waiting for a heartbeat: its VM keeps nothing.
package memory

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"hillreel/internal/agent/lives"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
)

// table has one row for each agent, by the name of its VM.
const table rows.Table = "hillreel_upstreams"

// Rows is what a Memory needs of the store.
type Rows interface {
	Read(ctx context.Context, k rows.Key) (rows.Row, error)
	Commit(ctx context.Context, t rows.Txn) (rows.Version, error)
}

// Memory is one agent's row.
type Memory struct {
	rows Rows
	key  rows.Key
}

// value is that of a row.
type value struct {
	ID      ident.UpstreamID `json:"id"`
	Born    ident.Born       `json:"born_ms"`
	Service ident.Service    `json:"service"`
	Labels  []job.Label      `json:"labels"`
	CPU     int64            `json:"cpu_millis"`
	Mem     int64            `json:"mem_mb"`
	GPU     int64            `json:"gpu"`
	// Draining: the upstream has said that it leaves.
	Draining bool `json:"draining"`
}

// New returns the memory of the agent on a VM.
func New(r Rows, vm string) *Memory { return &Memory{r, rows.Key{Table: table, Name: vm}} }

// Recall returns the upstream that was remembered last, and whether there is one.
func (m *Memory) Recall(ctx context.Context) (lives.Known, bool, error) {
	row, err := m.rows.Read(ctx, m.key)
	if err != nil || row.Version == 0 {
		return lives.Known{}, false, err
	}
	var v value
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return lives.Known{}, false, errors.Wrap(err, "memory: row")
	}
	up := fleet.Upstream{ID: v.ID, Service: v.Service, Labels: v.Labels, Total: job.Resources{CPU: v.CPU, Mem: v.Mem, GPU: v.GPU}}
	return lives.Known{Upstream: up, Born: v.Born, Draining: v.Draining}, true, nil
}

// Remember keeps an upstream. Only this agent writes its row, and any life of the upstream that is remembered by
// mistake is refused by the upstream itself, so that no condition is needed.
func (m *Memory) Remember(ctx context.Context, u lives.Known) error {
	raw, err := json.Marshal(value{u.ID, u.Born, u.Service, u.Labels, u.Total.CPU, u.Total.Mem, u.Total.GPU, u.Draining})
	if err != nil {
		return errors.Wrap(err, "memory: encode")
	}
	_, err = m.rows.Commit(ctx, rows.Txn{Put: []rows.Row{{Key: m.key, Value: raw}}})
	return err
}
