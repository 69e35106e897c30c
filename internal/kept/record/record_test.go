package record_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/record"
)

// TestRoundTrip checks that a decoded row equals the encoded one. A field without encoding would be lost in a takeover.
func TestRoundTrip(t *testing.T) {
	open := record.OpenJob{
		Owner: "a-0", Generation: 2, Sequence: 9, VoidRuns: []record.TaskRun{{Step: 1, Index: 2, Run: 3}},
		Ends:        record.Ends{{Step: 0, Index: 7, Run: 1}, {Step: 1, Index: 0, Run: 1025, Failed: true}},
		Checkpoints: []record.Checkpoint{{Index: 4, Text: "saved"}},
		Crashes:     []crash.Row{{Step: 1, Index: 2, VM: "vm", ID: "i-1", Born: 7, Loss: 8, AgeMs: 9, MaxAgeMs: 10, Alone: true, Sole: true}},
	}
	raw, err := record.Encode(open)
	qt.Assert(t, err, qt.IsNil)
	got, err := record.Decode[record.OpenJob](rows.Row{Value: raw})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, open)
	kept := record.Job{Spec: job.Spec{Text: "x", Steps: []job.Step{{
		Count: 3, Each: job.Resources{CPU: 1, Mem: 2, GPU: 3}, Estimate: time.Second, Requires: "a", Prefers: "b", MaxPerUpstream: 1,
	}, {Count: 1, After: []uint32{0}}}}}
	raw, err = record.Encode(kept)
	qt.Assert(t, err, qt.IsNil)
	gotJob, err := record.Decode[record.Job](rows.Row{Value: raw})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, gotJob, qt.DeepEquals, kept)
}

// TestLargestJobFitsIntoARow checks that the progress of a job with the maximum number of tasks fits into a row. Otherwise the
// job could be accepted, but its progress could never be stored.
func TestLargestJobFitsIntoARow(t *testing.T) {
	var open record.OpenJob
	for i := range uint32(1500) {
		open.Ends = append(open.Ends, record.End{Step: i % 30, Index: i, Run: 1025})
		open.AddCrash(fleet.Crash{
			Task: job.TaskID{Step: i % 30, Index: i},
			VM:   "a-vm-with-quite-a-long-name-of-50-bytes-in-zone-abc", Life: ident.UpstreamLife{ID: "i-0123456789", Born: 1 << 41},
			Loss: 1 << 41, Age: time.Hour, MaxAge: time.Hour, Alone: true, OnlyTask: true,
		})
	}
	raw, err := record.Encode(open)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(raw) < 48<<10, qt.IsTrue, qt.Commentf("%d bytes", len(raw)))
}

// TestUnreadableRows checks that the error of a row that can't be decoded names the row and the cause.
func TestUnreadableRows(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{`{`, "record: row t/n: .*"},
		{`{"ends":"0.1"}`, `.*end "0.1": want step.index.run`},
		{`{"ends":"0.x.1"}`, `.*end "0.x.1": .*`},
		{`{"ends":[1]}`, `.*ends.*`},
	} {
		_, err := record.Decode[record.OpenJob](rows.Row{Key: rows.Key{Table: "t", Name: "n"}, Value: []byte(test.text)})
		qt.Assert(t, err, qt.ErrorMatches, test.want)
	}
	_, err := record.ParseJobID(rows.Key{Table: "t", Name: "zz"})
	qt.Assert(t, err, qt.ErrorMatches, "record: row t/zz: id.*")
}

// TestLayout checks that jobs are distributed over all parts, and that an expiry leads to all rows of its job. Rows that it
// misses would never be deleted.
func TestLayout(t *testing.T) {
	l := record.Layout{Parts: 3}
	seen := make(map[string]int)
	for id := range job.ID(3000) {
		seen[l.Part(id)]++
	}
	for _, p := range l.AllParts() {
		qt.Assert(t, seen[p] > 800, qt.IsTrue, qt.Commentf("%v", seen))
	}
	key := l.ExpiryKey(7, 90*time.Second)
	qt.Assert(t, l.ExpiredJobKeys(key), qt.DeepEquals, []rows.Key{key, l.JobKey(7), l.EndedKey(7), l.CancelKey(7)})
	qt.Assert(t, l.ExpiredJobKeys(rows.Key{Name: "what"}), qt.DeepEquals, []rows.Key{{Name: "what"}})
	due := record.ExpiredRows(key.Part, 91*time.Second)
	qt.Assert(t, key.Name < due.To, qt.IsTrue)
	qt.Assert(t, l.ExpiryKey(7, 92*time.Second).Name < due.To, qt.IsFalse)
}

// TestCounted checks which runs the row of an ended job reports as counted. A wrong answer makes agents discard an end, or
// withhold it for ever.
func TestCounted(t *testing.T) {
	complete := record.EndedJob{State: verdict.Complete, Runs: record.Ends{{Index: 1, Run: 5}}}
	failed := record.EndedJob{State: verdict.Failed}
	for _, test := range []struct {
		row   record.EndedJob
		index uint32
		run   job.Run
		want  bool
	}{{complete, 0, 1, true}, {complete, 0, 2, false}, {complete, 1, 5, true}, {complete, 1, 1, false}, {failed, 0, 1, false}} {
		qt.Assert(t, test.row.Counted(0, test.index, test.run), qt.Equals, test.want)
	}
}

// TestCrashes checks that crashes are returned as they were added, that the crashes of a refuted loss are removed, and that
// their number is bounded.
func TestCrashes(t *testing.T) {
	var open record.OpenJob
	lost := fleet.Crash{
		Task: job.TaskID{Job: 7, Step: 1, Index: 2}, VM: "vm", Life: ident.UpstreamLife{ID: "i-1", Born: 5},
		Loss: 9, Age: 10 * time.Millisecond, MaxAge: 20 * time.Millisecond, Alone: true, OnlyTask: true,
	}
	again := lost
	again.Loss = 10
	open.AddCrash(lost)
	open.AddCrash(again)
	qt.Assert(t, open.CrashesOf(7), qt.DeepEquals, []fleet.Crash{lost, again})
	open.DropCrashes(fleet.Refutation{Life: lost.Life, UpTo: 9})
	qt.Assert(t, open.CrashesOf(7), qt.DeepEquals, []fleet.Crash{again})
	for range 100 {
		open.AddCrash(lost)
	}
	qt.Assert(t, open.Crashes, qt.HasLen, 64)
}
