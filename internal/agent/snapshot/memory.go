// Package memory keeps, in the platform's store, which upstream stands beside an agent, so that the agent's next life knows it before its
// first heartbeat: its VM keeps nothing. It learns at once what runs there, and that an upstream leaves which has said so before.
package snapshot

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"hillreel/internal/agent/lives"
	"hillreel/internal/core/crash"
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

// Memory is one agent's row. It is safe for use by several goroutines.
type Store struct {
	rows Rows
	key  rows.Key

	mu sync.Mutex
	// version is the row's, as far as it is known.
	version rows.Version
	known   bool
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
	// Crashes are of this VM's upstreams.
	Crashes []crashRow `json:"crashes,omitempty"`
}

// crashRow is one of them.
type crashRow struct {
	Job job.ID `json:"job"`
	crash.Row
}

// crashes encodes crashes.
func encodeCrashes(all []fleet.Crash) []crashRow {
	var out []crashRow
	for _, c := range all {
		out = append(out, crashRow{c.Task.Job, crash.NewRow(c)})
	}
	return out
}

// New returns the memory of the agent on a VM.
func New(r Rows, vm string) *Store { return &Store{rows: r, key: rows.Key{Table: table, Name: vm}} }

// Recall returns the upstream that was remembered last, and whether there is one.
func (m *Store) Load(ctx context.Context) (lives.Snapshot, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, err := m.read(ctx)
	if err != nil || row.Version == 0 {
		return lives.Snapshot{}, false, err
	}
	var v value
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return lives.Snapshot{}, false, errors.Wrap(err, "memory: row")
	}
	up := fleet.Upstream{ID: v.ID, Service: v.Service, Labels: v.Labels, Total: job.Resources{CPU: v.CPU, Mem: v.Mem, GPU: v.GPU}}
	known := lives.Snapshot{Upstream: up, Born: v.Born, Draining: v.Draining}
	for _, c := range v.Crashes {
		known.Crashes = append(known.Crashes, c.Crash(c.Job))
	}
	return known, true, nil
}

// read reads the row, and learns its version.
func (m *Store) read(ctx context.Context) (rows.Row, error) {
	row, err := m.rows.Read(ctx, m.key)
	m.version, m.known = row.Version, err == nil
	return row, err
}

// Remember keeps an upstream. A write without an answer may be carried out seconds later; it must not bring back what a newer one has
// replaced, such as a room that has shrunk since. So each write is done only while the row is as it was read or written last.
func (m *Store) Save(ctx context.Context, u lives.Snapshot) error {
	raw, err := json.Marshal(value{u.ID, u.Born, u.Service, u.Labels, u.Total.CPU, u.Total.Mem, u.Total.GPU, u.Draining, encodeCrashes(u.Crashes)})
	if err != nil {
		return errors.Wrap(err, "memory: encode")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.known {
		if _, err := m.read(ctx); err != nil {
			return errors.Wrap(err, "memory: read the row's version")
		}
	}
	m.version, err = m.rows.Commit(ctx, rows.Txn{
		If: []rows.Condition{{Key: m.key, Version: m.version}}, Put: []rows.Row{{Key: m.key, Value: raw}},
	})
	m.known = err == nil
	return err
}
