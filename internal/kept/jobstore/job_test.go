package jobstore_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/record"
)

// TestStored guards against an owner that gives up its own job because it takes an earlier attempt of its write, whose answer
// was lost, for the write of another entry.
func TestStored(t *testing.T) {
	const id = job.ID(7)
	layout := record.Layout{Parts: 2}
	written := record.OpenJob{Owner: "own-0", Generation: 2, Sequence: 3}
	value := func(v any) []byte { return record.EncodeLogged(logs.Discard(), v) }
	ended := rows.Row{Version: 6, Value: value(record.EndedJob{State: verdict.Failed})}
	for _, test := range []struct {
		name        string
		open, ended rows.Row
		has         bool
		version     rows.Version
		state       verdict.State
	}{
		{"the same write", rows.Row{Version: 5, Value: value(written)}, rows.Row{}, true, 5, ""},
		{"an earlier write", rows.Row{Version: 4, Value: value(record.OpenJob{Owner: "own-0", Sequence: 2})}, rows.Row{}, false, 4, ""},
		{"another owner", rows.Row{Version: 5, Value: value(record.OpenJob{Owner: "x-0", Sequence: 3})}, rows.Row{}, false, 5, ""},
		{"ended", rows.Row{}, ended, false, 0, verdict.Failed},
		{"no rows", rows.Row{}, rows.Row{}, false, 0, ""},
		{"rows that can't be decoded", rows.Row{Version: 5, Value: []byte("x")}, rows.Row{Version: 6, Value: []byte("x")}, false, 5, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			op := jobstore.JobOp(layout, id, rows.Txn{})
			qt.Assert(t, op.Part, qt.Equals, layout.Part(id))
			stored := map[rows.Key]rows.Row{layout.OpenKey(id): test.open, layout.EndedKey(id): test.ended}
			r := jobstore.Result{Outcome: jobstore.Conflict}
			for _, k := range op.ReadOnConflict {
				r.Found = append(r.Found, stored[k])
			}
			found := r.Stored(logs.Discard())
			qt.Assert(t, found.IsOpenAs(written), qt.Equals, test.has)
			qt.Assert(t, found.Version, qt.Equals, test.version)
			qt.Assert(t, found.Ended != nil, qt.Equals, test.state != "")
			if found.Ended != nil {
				qt.Assert(t, found.Ended.State, qt.Equals, test.state)
			}
		})
	}
}
