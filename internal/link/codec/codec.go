// Package codec converts between the types of package fleet and the wire messages that entries and agents exchange.
package codec

import (
	"time"

	"hillreel/internal/config/cordon"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/link/deflate"
	"hillreel/internal/link/wire"
)

func resources(r job.Resources) *wire.Resources {
	return &wire.Resources{Cpu: r.CPU, Mem: r.Mem, Gpu: r.GPU}
}

func readResources(r *wire.Resources) job.Resources {
	return job.Resources{CPU: r.GetCpu(), Mem: r.GetMem(), GPU: r.GetGpu()}
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// Order encodes an order.
func Order(o fleet.Order) *wire.Msg {
	m := &wire.Start{
		Seq: o.Seq, Job: uint64(o.Job), Step: o.Step, Each: resources(o.Each),
		EstimateUs: o.Estimate.Microseconds(), Kept: o.Kept, RemoteFactor: o.RemoteFactor,
	}
	if m.DeflatedSpec = deflate.Compress(o.Spec); m.DeflatedSpec == nil {
		m.Spec = o.Spec
	}
	for _, t := range o.Tasks {
		m.Tasks = append(m.Tasks, &wire.TaskRun{
			Index: t.Index, Run: uint32(t.Run), Id: uint64(t.ID), Failures: t.Failures, Stalls: t.Stalls, Checkpoint: t.Checkpoint, AloneUs: t.AloneFor.Microseconds(),
		})
	}
	return &wire.Msg{Kind: &wire.Msg_Start{Start: m}}
}

// ReadOrder decodes an order. It returns an error if the job's text can't be decompressed.
func ReadOrder(m *wire.Start) (fleet.Order, error) {
	spec := m.GetSpec()
	if c := m.GetDeflatedSpec(); len(c) > 0 {
		var err error
		if spec, err = deflate.Decompress(c); err != nil {
			return fleet.Order{}, err
		}
	}
	o := fleet.Order{
		Seq: m.GetSeq(), Job: job.ID(m.GetJob()), Step: m.GetStep(), Spec: spec, Each: readResources(m.GetEach()),
		Estimate: microseconds(m.GetEstimateUs()), Kept: m.GetKept(), RemoteFactor: m.GetRemoteFactor(),
	}
	for _, t := range m.GetTasks() {
		o.Tasks = append(o.Tasks, fleet.TaskRun{
			Index: t.GetIndex(), Run: job.Run(t.GetRun()), ID: fleet.RunID(t.GetId()), Failures: t.GetFailures(), Stalls: t.GetStalls(), Checkpoint: t.GetCheckpoint(),
			AloneFor: microseconds(t.GetAloneUs()),
		})
	}
	return o, nil
}

// Stop encodes a request to stop a run; reason is fleet.OnRequest or fleet.Moved.
func Stop(r fleet.OrderedRun, reason fleet.Reason) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Stop{Stop: &wire.Stop{
		Job: uint64(r.Task.Job), Step: r.Task.Step, Index: r.Task.Index, Run: uint32(r.Run), Id: uint64(r.ID), Moved: reason == fleet.Moved,
	}}}
}

// ReadStop decodes a request to stop a run, and its reason.
func ReadStop(m *wire.Stop) (fleet.OrderedRun, fleet.Reason) {
	r := readOrderedRun(m)
	if m.GetMoved() {
		return r, fleet.Moved
	}
	return r, fleet.OnRequest
}

// Ping encodes an entry's keep-alive.
func Ping(k fleet.KeepAlive) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Ping{Ping: &wire.Ping{
		EchoUs: k.Echo.Microseconds(), ConfigVersion: uint64(k.Config), Pace: k.Pace, Follows: k.Follows,
	}}}
}

// ReadPing decodes an entry's keep-alive.
func ReadPing(m *wire.Ping) fleet.KeepAlive {
	return fleet.KeepAlive{
		Echo: microseconds(m.GetEchoUs()), Config: ident.ConfigVersion(m.GetConfigVersion()), Pace: m.GetPace(), Follows: m.GetFollows(),
	}
}

// Upstream encodes the description of an upstream.
func Upstream(u fleet.Upstream) *wire.Msg {
	m := &wire.Upstream{Id: string(u.ID), Service: string(u.Service), Total: resources(u.Total), BornMs: int64(u.Born)}
	for _, l := range u.Labels {
		m.Labels = append(m.Labels, string(l))
	}
	return &wire.Msg{Kind: &wire.Msg_Upstream{Upstream: m}}
}

// ReadUpstream decodes the description of an upstream.
func ReadUpstream(m *wire.Upstream) fleet.Upstream {
	u := fleet.Upstream{
		ID: ident.UpstreamID(m.GetId()), Service: ident.Service(m.GetService()), Total: readResources(m.GetTotal()), Born: ident.Born(m.GetBornMs()),
	}
	for _, l := range m.GetLabels() {
		u.Labels = append(u.Labels, job.Label(l))
	}
	return u
}

// Room encodes an upstream's free capacity and state.
func Room(r fleet.Room) *wire.Msg {
	m := &wire.Room{
		Free: resources(r.Free), Seq: r.Seq, ClockUs: r.Clock.Microseconds(), State: string(r.State), Pace: r.Pace,
	}
	if r.Reserved != (job.Resources{}) {
		m.Reserved = resources(r.Reserved)
	}
	for _, s := range r.Suspects {
		m.Suspects = append(m.Suspects, &wire.SuspectRun{Run: runRef(s.RunRef), AfterUs: s.Age.Microseconds(), Alone: s.Alone, Sole: s.OnlyRun})
	}
	return &wire.Msg{Kind: &wire.Msg_Room{Room: m}}
}

// ReadRoom decodes an upstream's free capacity and state.
func ReadRoom(m *wire.Room) fleet.Room {
	r := fleet.Room{
		Free: readResources(m.GetFree()), Seq: m.GetSeq(), Clock: microseconds(m.GetClockUs()),
		State: fleet.State(m.GetState()), Pace: m.GetPace(), Reserved: readResources(m.GetReserved()),
	}
	for _, s := range m.GetSuspects() {
		r.Suspects = append(r.Suspects, fleet.SuspectRun{
			RunRef: readOrderedRun(s.GetRun()).RunRef, Age: microseconds(s.GetAfterUs()), Alone: s.GetAlone(), OnlyRun: s.GetSole(),
		})
	}
	return r
}

// End encodes the end of a run.
func End(e fleet.End) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Ended{Ended: &wire.Ended{
		Job: uint64(e.Task.Job), Step: e.Task.Step, Index: e.Task.Index, Run: uint32(e.Run), Id: uint64(e.ID), Outcome: string(e.Outcome),
		RunUs: e.Took.Microseconds(), Checkpoint: e.Checkpoint, Reason: string(e.Reason), Kept: e.Kept,
	}}}
}

// ReadEnd decodes the end of a run.
func ReadEnd(m *wire.Ended) fleet.End {
	r := readOrderedRun(m)
	return fleet.End{
		Task: r.Task, Run: r.Run, ID: r.ID,
		Outcome: job.Outcome(m.GetOutcome()), Took: microseconds(m.GetRunUs()), Checkpoint: m.GetCheckpoint(),
		Reason: fleet.Reason(m.GetReason()), Kept: m.GetKept(),
	}
}

// runRef encodes the reference to a run.
func runRef(r fleet.RunRef) *wire.RunRef {
	return &wire.RunRef{Job: uint64(r.Task.Job), Step: r.Task.Step, Index: r.Task.Index, Run: uint32(r.Run)}
}

// orderedRun encodes the reference to a run that an entry has ordered, with its run ID.
func orderedRun(r fleet.OrderedRun) *wire.RunRef {
	m := runRef(r.RunRef)
	m.Id = uint64(r.ID)
	return m
}

// runRefs encodes references to runs.
func runRefs(in []fleet.RunRef) []*wire.RunRef {
	var out []*wire.RunRef
	for _, r := range in {
		out = append(out, runRef(r))
	}
	return out
}

// runRefMessage is a message that refers to a run.
type runRefMessage interface {
	GetJob() uint64
	GetStep() uint32
	GetIndex() uint32
	GetRun() uint32
}

// readRunRef decodes the reference to a run.
func readRunRef(r runRefMessage) fleet.RunRef {
	return fleet.RunRef{Task: job.TaskID{Job: job.ID(r.GetJob()), Step: r.GetStep(), Index: r.GetIndex()}, Run: job.Run(r.GetRun())}
}

// orderedRunMessage is a message that refers to a run that an entry has ordered.
type orderedRunMessage interface {
	runRefMessage
	GetId() uint64
}

// readOrderedRun decodes the reference to a run that an entry has ordered.
func readOrderedRun(r orderedRunMessage) fleet.OrderedRun {
	return fleet.OrderedRun{RunRef: readRunRef(r), ID: fleet.RunID(r.GetId())}
}

// readRunRefs decodes references to runs.
func readRunRefs(in []*wire.RunRef) []fleet.RunRef {
	out := make([]fleet.RunRef, len(in))
	for i, r := range in {
		out[i] = readRunRef(r)
	}
	return out
}

// Progress encodes the progress of runs on a slow upstream.
func Progress(runs []fleet.Progress) *wire.Msg {
	m := &wire.Progress{}
	for _, r := range runs {
		m.Runs = append(m.Runs, &wire.RunProgress{Run: orderedRun(r.OrderedRun), LeftUs: r.Left.Microseconds()})
	}
	return &wire.Msg{Kind: &wire.Msg_Progress{Progress: m}}
}

// ReadProgress decodes the progress of runs on a slow upstream.
func ReadProgress(m *wire.Progress) []fleet.Progress {
	out := make([]fleet.Progress, len(m.GetRuns()))
	for i, r := range m.GetRuns() {
		out[i] = fleet.Progress{OrderedRun: readOrderedRun(r.GetRun()), Left: microseconds(r.GetLeftUs())}
	}
	return out
}

// Resumed encodes which runs of an earlier session are still running.
func Resumed(runs []fleet.OrderedRun) *wire.Msg {
	m := &wire.Resumed{}
	for _, r := range runs {
		m.Runs = append(m.Runs, orderedRun(r))
	}
	return &wire.Msg{Kind: &wire.Msg_Resumed{Resumed: m}}
}

// ReadResumed decodes which runs of an earlier session are still running.
func ReadResumed(m *wire.Resumed) []fleet.OrderedRun {
	out := make([]fleet.OrderedRun, len(m.GetRuns()))
	for i, r := range m.GetRuns() {
		out[i] = readOrderedRun(r)
	}
	return out
}

// Noted encodes that the ends of runs are stored or, with void, that they will never be counted.
func Noted(runs []fleet.RunRef, void bool) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Noted{Noted: &wire.Noted{Void: void, Runs: runRefs(runs)}}}
}

// ReadNoted decodes which ends of runs are stored or, with void, will never be counted.
func ReadNoted(m *wire.Noted) (runs []fleet.RunRef, void bool) {
	return readRunRefs(m.GetRuns()), m.GetVoid()
}

// Ask encodes a query, identified by number, for those ends of the jobs' runs that are not known to be stored.
func Ask(number uint64, jobs []job.ID) *wire.Msg {
	m := &wire.Ask{Number: number}
	for _, j := range jobs {
		m.Jobs = append(m.Jobs, uint64(j))
	}
	return &wire.Msg{Kind: &wire.Msg_Ask{Ask: m}}
}

// ReadAsk decodes a query for the ends of jobs' runs, and its number.
func ReadAsk(m *wire.Ask) (number uint64, jobs []job.ID) {
	for _, j := range m.GetJobs() {
		jobs = append(jobs, job.ID(j))
	}
	return m.GetNumber(), jobs
}

// Asked encodes that all ends that the query identified by number asked for have been sent.
func Asked(number uint64) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Asked{Asked: &wire.Asked{Number: number}}}
}

// Settled encodes that no run of an entry's earlier sessions remains.
func Settled() *wire.Msg { return &wire.Msg{Kind: &wire.Msg_Settled{Settled: &wire.Settled{}}} }

// Config encodes a configuration that is forwarded; raw is its text as stored.
func Config(v ident.ConfigVersion, raw []byte) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Config{Config: &wire.Config{Version: uint64(v), Raw: raw}}}
}

// Cordons encodes which zones a source has cordoned.
func Cordons(s cordon.Snapshot) *wire.Msg {
	m := &wire.Cordons{Source: string(s.Source), Version: uint64(s.Version)}
	for _, z := range s.Zones {
		m.Zones = append(m.Zones, string(z))
	}
	return &wire.Msg{Kind: &wire.Msg_Cordons{Cordons: m}}
}

// ReadCordons decodes which zones a source has cordoned.
func ReadCordons(m *wire.Cordons) cordon.Snapshot {
	s := cordon.Snapshot{Source: cordon.Source(m.GetSource()), Version: rows.Version(m.GetVersion())}
	for _, z := range m.GetZones() {
		s.Zones = append(s.Zones, ident.Zone(z))
	}
	return s
}

// Peers encodes the entries that the sender knows, and the services of which each wants more agents.
func Peers(entries []fleet.Entry) *wire.Msg {
	m := &wire.Peers{}
	for _, e := range entries {
		m.Links = append(m.Links, string(e.Address))
		if len(e.Wants) == 0 {
			continue
		}
		w := &wire.Wants{Link: string(e.Address)}
		for _, s := range e.Wants {
			w.Services = append(w.Services, string(s))
		}
		m.Wants = append(m.Wants, w)
	}
	return &wire.Msg{Kind: &wire.Msg_Peers{Peers: m}}
}

// ReadPeers decodes the entries that the sender knows.
func ReadPeers(m *wire.Peers) []fleet.Entry {
	wants := make(map[string][]ident.Service)
	for _, w := range m.GetWants() {
		for _, s := range w.GetServices() {
			wants[w.GetLink()] = append(wants[w.GetLink()], ident.Service(s))
		}
	}
	out := make([]fleet.Entry, len(m.GetLinks()))
	for i, l := range m.GetLinks() {
		out[i] = fleet.Entry{Address: ident.Address(l), Wants: wants[l]}
	}
	return out
}
