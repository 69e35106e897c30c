// Package snapshot stores the last known state of an agent's upstream in the platform's store, because the agent's VM keeps nothing. When
// the agent restarts, it loads the state before the first heartbeat. The agent then knows at once which upstream's runs to ask for, and
// whether that upstream has already announced that it ends soon.
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

// table has one row for each agent; the row's name is the name of the agent's VM.
const table rows.Table = "hillreel_upstreams"

// Rows is what a Store needs of the platform's store.
type Rows interface {
	Read(ctx context.Context, k rows.Key) (rows.Row, error)
	Commit(ctx context.Context, t rows.Txn) (rows.Version, error)
}

// Store reads and writes the row of one agent. It is safe for concurrent use.
type Store struct {
	rows Rows
	key  rows.Key

	mu sync.Mutex
	// version is the newest known version of the row; it is valid only if known is set.
	version rows.Version
	known   bool
}

// value is the JSON form of a row.
type value struct {
	ID      ident.UpstreamID `json:"id"`
	Born    ident.Born       `json:"born_ms"`
	Service ident.Service    `json:"service"`
	Labels  []job.Label      `json:"labels"`
	CPU     int64            `json:"cpu_millis"`
	Mem     int64            `json:"mem_mb"`
	GPU     int64            `json:"gpu"`
	// Draining: the upstream has announced that it ends soon.
	Draining bool `json:"draining"`
	// Crashes are the crashes of this VM's upstreams.
	Crashes []crashRow `json:"crashes,omitempty"`
}

// crashRow is one crash, with the job of its task.
type crashRow struct {
	Job job.ID `json:"job"`
	crash.Row
}

// encodeCrashes converts crashes to their JSON form.
func encodeCrashes(all []fleet.Crash) []crashRow {
	var out []crashRow
	for _, c := range all {
		out = append(out, crashRow{c.Task.Job, crash.NewRow(c)})
	}
	return out
}

// New returns the Store of the agent on a VM.
func New(r Rows, vm string) *Store { return &Store{rows: r, key: rows.Key{Table: table, Name: vm}} }

// Load returns the state that was saved last, and whether there is one.
func (s *Store) Load(ctx context.Context) (lives.Snapshot, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, err := s.read(ctx)
	if err != nil || row.Version == 0 {
		return lives.Snapshot{}, false, err
	}
	var v value
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return lives.Snapshot{}, false, errors.Wrap(err, "snapshot: decode row")
	}
	up := fleet.Upstream{ID: v.ID, Service: v.Service, Labels: v.Labels, Total: job.Resources{CPU: v.CPU, Mem: v.Mem, GPU: v.GPU}}
	known := lives.Snapshot{Upstream: up, Born: v.Born, Draining: v.Draining}
	for _, c := range v.Crashes {
		known.Crashes = append(known.Crashes, c.Crash(c.Job))
	}
	return known, true, nil
}

// read reads the row and records its version.
func (s *Store) read(ctx context.Context) (rows.Row, error) {
	row, err := s.rows.Read(ctx, s.key)
	s.version, s.known = row.Version, err == nil
	return row, err
}

// Save stores the state of the upstream. A write that got no answer may be carried out seconds later; it must not overwrite a newer state,
// for example restore the larger capacity of an upstream that has shrunk since. Each write therefore requires that the row still has the
// version that was read or written last.
func (s *Store) Save(ctx context.Context, u lives.Snapshot) error {
	raw, err := json.Marshal(value{u.ID, u.Born, u.Service, u.Labels, u.Total.CPU, u.Total.Mem, u.Total.GPU, u.Draining, encodeCrashes(u.Crashes)})
	if err != nil {
		return errors.Wrap(err, "snapshot: encode row")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		if _, err := s.read(ctx); err != nil {
			return errors.Wrap(err, "snapshot: read the row's version")
		}
	}
	s.version, err = s.rows.Commit(ctx, rows.Txn{
		If: []rows.Condition{{Key: s.key, Version: s.version}}, Put: []rows.Row{{Key: s.key, Value: raw}},
	})
	s.known = err == nil
	return err
}
