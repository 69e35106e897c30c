package node

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
)

// timing has the default bounds, by which a stop may take 708 ms.
var timing = fleet.Timing{
	Silence: 400 * time.Millisecond, Lease: 400 * time.Millisecond, StopBudget: 200 * time.Millisecond, KeepAlive: 100 * time.Millisecond,
}

// TestEndedLine checks that the log line of a run's end names the entry that ordered it, why and when it was stopped, and the entry that
// ordered its task anew. A run that succeeded has a line only if it was to be stopped, or if its entry does not learn of the end.
func TestEndedLine(t *testing.T) {
	end := func(o job.Outcome) fleet.End {
		return fleet.End{Task: job.TaskID{Job: 7, Index: 2}, Run: 3, Outcome: o, Took: 80 * time.Millisecond}
	}
	stop := &upstream.Stop{
		Cause: upstream.SentAgain, AskedAgo: 30 * time.Millisecond, AnsweredAgo: 20 * time.Millisecond, IsAnswered: true, Unwanted: true, UnwantedFor: 10 * time.Millisecond,
	}
	for _, test := range []struct {
		name      string
		end       upstream.Ending
		has, lack []string
	}{
		{"well", upstream.Ending{End: end(job.Done), Owner: 1}, nil, []string{"run_ended"}},
		{"well after a stop", upstream.Ending{End: end(job.Done), Owner: 1, Stop: stop}, []string{
			"msg=run_ended", "outcome=done", "entry=north", "run=3", "stop_why=sent_again", "stop_asked_ms_ago=30", "stop_answered=true", "stop_answered_ms_ago=20",
			"unwanted_ms=10",
		}, []string{"ordered_anew_by"}},
		{"well, unheard", upstream.Ending{End: end(job.Done), Owner: 1, OwnerUnlinked: true}, []string{"outcome=done", "unheard=true"}, []string{"stop_"}},
		{"lost", upstream.Ending{End: end(job.Lost), Owner: 1, StartedAgo: 90 * time.Millisecond}, []string{"outcome=lost", "begun_ms_ago=90"}, []string{"stop_"}},
		{"stopped without an answer", upstream.Ending{End: end(job.Stopped), Owner: 1, Stop: &upstream.Stop{Cause: "silent"}}, []string{
			"stop_why=silent", "stop_answered=false",
		}, []string{"stop_answered_ms_ago", "unwanted_ms"}},
		{"stopped in time", upstream.Ending{End: end(job.Stopped), Owner: 1, Stop: &upstream.Stop{Unwanted: true, UnwantedFor: 708 * time.Millisecond}}, []string{
			"unwanted_ms=708",
		}, []string{"stop_overdue"}},
		{"stopped late", upstream.Ending{End: end(job.Stopped), Owner: 1, Stop: &upstream.Stop{Unwanted: true, UnwantedFor: 709 * time.Millisecond}}, []string{
			"unwanted_ms=709", "stop_overdue=true",
		}, nil},
		{"stalled", upstream.Ending{End: end(job.Stalled), Owner: 1, Percent: 62, IdleFor: 250 * time.Millisecond, Resumed: true}, []string{
			"outcome=stalled", "percent=62", "idle_ms=250", "resumed=true",
		}, nil},
		{"ordered anew", upstream.Ending{End: end(job.Stopped), Owner: 1, Stop: stop, Successor: 2}, []string{
			"ordered_anew_by=south", "ordered_anew_by_incarnation=" + ident.Incarnation(2).String(),
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			log := logs.Discard()
			log.Logger.SetOutput(&out)
			o := newObserver(timing, log)
			all := func(ident.Incarnation) bool { return true }
			o.Linked(1, "north", all)
			o.Linked(2, "south", all)
			o.RunEnded(test.end)
			for _, part := range test.has {
				qt.Assert(t, out.String(), qt.Contains, part)
			}
			for _, part := range test.lack {
				qt.Assert(t, out.String(), qt.Not(qt.Contains), part)
			}
		})
	}
}

// TestUnconfirmedLine checks that one line lists the newest ends of which an entry may not have been told.
func TestUnconfirmedLine(t *testing.T) {
	var out bytes.Buffer
	log := logs.Discard()
	log.Logger.SetOutput(&out)
	o := newObserver(timing, log)
	o.Linked(1, "north", func(ident.Incarnation) bool { return true })
	var ends []fleet.End
	for i := range uint32(20) {
		ends = append(ends, fleet.End{Task: job.TaskID{Job: 7, Index: i}, Run: 2, Outcome: job.Done})
	}
	o.EndsUnconfirmed(1, ends)
	for _, part := range []string{"msg=ends_unconfirmed", "entry=north", "runs=20", `newest="0000000000000007.0.8/2@done`, `0000000000000007.0.19/2@done"`} {
		qt.Assert(t, out.String(), qt.Contains, part)
	}
}

// TestEntryNamesAreForgotten guards against a map of names that grows with each new entry: an agent keeps only the names that it needs.
func TestEntryNamesAreForgotten(t *testing.T) {
	o := newObserver(timing, logs.Discard())
	for e := ident.Incarnation(1); e <= 100; e++ {
		o.Linked(e, "north", func(old ident.Incarnation) bool { return old == e-1 })
	}
	qt.Assert(t, o.names, qt.HasLen, 2)
}
