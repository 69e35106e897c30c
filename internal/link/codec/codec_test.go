package codec_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/config/cordon"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/codec"
)

// TestRoundTrips guards against fields that are lost or changed between encoding and decoding a message.
func TestRoundTrips(t *testing.T) {
	task := job.TaskID{Job: 0x5c0e7a21d94b36f8, Step: 1, Index: 17}
	for _, o := range []fleet.Order{
		{},
		{Seq: 7, Job: task.Job, Step: 1, Spec: "text", Each: job.Resources{CPU: 1600, Mem: 64, GPU: 1}, Estimate: 60 * time.Millisecond, RemoteFactor: 1.5,
			Tasks: []fleet.TaskRun{{Index: 3, Run: 2, Failures: 1, Checkpoint: "saved"}, {Index: 4, Run: 1, AloneFor: 200 * time.Millisecond}}},
	} {
		got, err := codec.ReadOrder(codec.Order(o).GetStart())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, o)
	}
	for _, e := range []fleet.End{
		{},
		{Task: task, Run: 3, ID: 78, Outcome: job.Stalled, Took: 250 * time.Millisecond, Checkpoint: "saved", Reason: fleet.NoProgress},
	} {
		qt.Assert(t, codec.ReadEnd(codec.End(e).GetEnded()), qt.DeepEquals, e)
	}
	for _, r := range []fleet.Room{
		{},
		{Free: job.Resources{CPU: -5, Mem: 7}, Seq: 9, Clock: 3 * time.Second, State: fleet.Probing, Pace: 1.25},
		{Free: job.Resources{CPU: 3000}, Reserved: job.Resources{CPU: 1200, Mem: 64}},
		{Suspects: []fleet.SuspectRun{{RunRef: fleet.RunRef{Task: task, Run: 4}, Age: 30 * time.Millisecond, Alone: true, OnlyRun: true}, {}}},
	} {
		qt.Assert(t, codec.ReadRoom(codec.Room(r).GetRoom()), qt.DeepEquals, r)
	}
	u := fleet.Upstream{ID: "i-1", Born: 1234, Service: "publish", Labels: []job.Label{"a", "r1-3"}, Total: job.Resources{CPU: 16000, Mem: 65536}}
	qt.Assert(t, codec.ReadUpstream(codec.Upstream(u).GetUpstream()), qt.DeepEquals, u)
	ref := fleet.OrderedRun{RunRef: fleet.RunRef{Task: task, Run: 4}, ID: 77}
	for _, reason := range []fleet.Reason{fleet.OnRequest, fleet.Moved} {
		gotRef, gotReason := codec.ReadStop(codec.Stop(ref, reason).GetStop())
		qt.Assert(t, gotRef, qt.Equals, ref)
		qt.Assert(t, gotReason, qt.Equals, reason)
	}
	refs := []fleet.OrderedRun{ref, {RunRef: fleet.RunRef{Task: job.TaskID{Job: 1}, Run: 1}}}
	qt.Assert(t, codec.ReadResumed(codec.Resumed(refs).GetResumed()), qt.DeepEquals, refs)
	progress := []fleet.Progress{{OrderedRun: ref, Left: 70 * time.Millisecond}}
	qt.Assert(t, codec.ReadProgress(codec.Progress(progress).GetProgress()), qt.DeepEquals, progress)
	for _, s := range []cordon.Snapshot{{}, {Source: cordon.Platform, Version: 78, Zones: []ident.Zone{"zone-1", "zone-3"}}} {
		qt.Assert(t, codec.ReadCordons(codec.Cordons(s).GetCordons()), qt.DeepEquals, s)
	}
	life := ident.UpstreamLife{ID: "i-1", Born: 1234}
	crashes := []fleet.Crash{
		{Task: task, VM: "vm", Life: life, Loss: 99, Age: 10 * time.Millisecond, MaxAge: 20 * time.Millisecond, Alone: true, OnlyTask: true}, {Task: task, VM: "vm-2", Life: ident.UpstreamLife{ID: "i-2"}, WithAgent: true, Agent: 8},
	}
	qt.Assert(t, codec.ReadUnconfirmed(codec.Unconfirmed(crashes).GetUnconfirmed()), qt.DeepEquals, crashes)
	qt.Assert(t, codec.ReadSuspects(codec.Suspects(crashes).GetSuspects()), qt.DeepEquals, crashes)
	refuted := []fleet.Refutation{{Life: life, UpTo: 98}}
	gotCrashes, gotRefuted := codec.ReadCrashes(codec.Crashes(crashes, refuted).GetCrashes())
	qt.Assert(t, gotCrashes, qt.DeepEquals, crashes)
	qt.Assert(t, gotRefuted, qt.DeepEquals, refuted)
	keepAlive := fleet.KeepAlive{Echo: 1500 * time.Microsecond, Config: 12, Pace: 1.5, Follows: true}
	qt.Assert(t, codec.ReadPing(codec.Ping(keepAlive).GetPing()), qt.DeepEquals, keepAlive)
	query := fleet.JobQuery{Job: 9, Cancel: true, Cancelled: true}
	number, gotQuery := codec.ReadJobQuery(codec.JobQuery(5, query).GetJobQuery())
	qt.Assert(t, number, qt.Equals, uint64(5))
	qt.Assert(t, gotQuery, qt.Equals, query)
	reply := fleet.JobReply{State: verdict.Cancelled, Shared: true}
	number, gotReply := codec.ReadJobReply(codec.JobReply(6, reply).GetJobReply())
	qt.Assert(t, number, qt.Equals, uint64(6))
	qt.Assert(t, gotReply, qt.Equals, reply)
	for _, c := range []fleet.Claim{
		{},
		{Tasks: 3, Each: job.Resources{CPU: 1200, Mem: 64}, Begun: true, Late: true, DueIn: -7 * time.Millisecond, ValidFor: 60 * time.Millisecond},
	} {
		qt.Assert(t, codec.ReadClaim(codec.Claim(c).GetClaim()), qt.DeepEquals, c)
	}
	d := fleet.Demand{Entry: 7, Routes: []fleet.RouteDemand{{Route: "a", Asked: 12.5, Refused: 0.5}, {Route: "b"}}}
	qt.Assert(t, codec.ReadDemand(codec.Demand(d).GetDemand(), 8), qt.DeepEquals, d)
	qt.Assert(t, codec.ReadDemand(codec.Demand(fleet.Demand{}).GetDemand(), 8), qt.DeepEquals, fleet.Demand{Entry: 8})
	entries := []fleet.Entry{{Address: "10.0.0.1:7720"}, {Address: "10.0.0.2:7720", Wants: []ident.Service{"a", "b"}}}
	qt.Assert(t, codec.ReadPeers(codec.Peers(entries).GetPeers()), qt.DeepEquals, entries)
}
