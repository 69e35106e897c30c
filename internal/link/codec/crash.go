package codec

import (
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/link/wire"
)

// life encodes one life of an upstream: its ID and birth time.
func life(l ident.UpstreamLife) *wire.Life {
	return &wire.Life{Id: string(l.ID), BornMs: int64(l.Born)}
}

// readLife decodes one life of an upstream.
func readLife(m *wire.Life) ident.UpstreamLife {
	return ident.UpstreamLife{ID: ident.UpstreamID(m.GetId()), Born: ident.Born(m.GetBornMs())}
}

// encodeCrash encodes one crash.
func encodeCrash(c fleet.Crash) *wire.Crash {
	return &wire.Crash{
		Job: uint64(c.Task.Job), Step: c.Task.Step, Index: c.Task.Index, Vm: string(c.VM), Life: life(c.Life),
		Loss: int64(c.Loss), AfterUs: c.Age.Microseconds(), Alone: c.Alone, Sole: c.OnlyTask, UntilUs: c.MaxAge.Microseconds(),
		WithAgent: c.WithAgent, Agent: uint64(c.Agent),
	}
}

// readCrash decodes one crash.
func readCrash(c *wire.Crash) fleet.Crash {
	return fleet.Crash{
		Task: job.TaskID{Job: job.ID(c.GetJob()), Step: c.GetStep(), Index: c.GetIndex()}, VM: ident.UpstreamName(c.GetVm()),
		Life: readLife(c.GetLife()), Loss: fleet.LossNumber(c.GetLoss()), Age: microseconds(c.GetAfterUs()), Alone: c.GetAlone(), OnlyTask: c.GetSole(),
		MaxAge: microseconds(c.GetUntilUs()), WithAgent: c.GetWithAgent(), Agent: ident.Incarnation(c.GetAgent()),
	}
}

// encodeCrashes encodes a list of crashes.
func encodeCrashes(all []fleet.Crash) []*wire.Crash {
	var out []*wire.Crash
	for _, c := range all {
		out = append(out, encodeCrash(c))
	}
	return out
}

// readCrashes decodes a list of crashes.
func readCrashes(all []*wire.Crash) []fleet.Crash {
	var out []fleet.Crash
	for _, c := range all {
		out = append(out, readCrash(c))
	}
	return out
}

// Unconfirmed encodes crashes that are not confirmed yet.
func Unconfirmed(all []fleet.Crash) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Unconfirmed{Unconfirmed: &wire.Unconfirmed{Crashes: encodeCrashes(all)}}}
}

// ReadUnconfirmed decodes crashes that are not confirmed yet.
func ReadUnconfirmed(m *wire.Unconfirmed) []fleet.Crash { return readCrashes(m.GetCrashes()) }

// Suspects encodes the runs of suspected tasks that an entry has started alone.
func Suspects(running []fleet.Crash) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Suspects{Suspects: &wire.Suspects{Crashes: encodeCrashes(running)}}}
}

// ReadSuspects decodes the runs of suspected tasks that an entry has started alone.
func ReadSuspects(m *wire.Suspects) []fleet.Crash { return readCrashes(m.GetCrashes()) }

// Crashes encodes crashes of upstreams during tasks, and refutations of earlier crash reports.
func Crashes(crashes []fleet.Crash, refuted []fleet.Refutation) *wire.Msg {
	m := &wire.Crashes{Crashes: encodeCrashes(crashes)}
	for _, r := range refuted {
		m.Refuted = append(m.Refuted, &wire.Refutation{Life: life(r.Life), UpTo: int64(r.UpTo)})
	}
	return &wire.Msg{Kind: &wire.Msg_Crashes{Crashes: m}}
}

// ReadCrashes decodes crashes and refutations.
func ReadCrashes(m *wire.Crashes) (crashes []fleet.Crash, refuted []fleet.Refutation) {
	crashes = readCrashes(m.GetCrashes())
	for _, r := range m.GetRefuted() {
		refuted = append(refuted, fleet.Refutation{Life: readLife(r.GetLife()), UpTo: fleet.LossNumber(r.GetUpTo())})
	}
	return crashes, refuted
}
