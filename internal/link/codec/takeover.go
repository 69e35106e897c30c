package codec

import (
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/link/wire"
)

// Holding encodes which jobs an entry has held for long; a zero entry stands for the sender.
func Holding(entry ident.Incarnation, jobs []job.ID) *wire.Msg {
	m := &wire.Holding{Entry: uint64(entry)}
	for _, id := range jobs {
		m.Jobs = append(m.Jobs, uint64(id))
	}
	return &wire.Msg{Kind: &wire.Msg_Holding{Holding: m}}
}

// ReadHolding decodes which jobs an entry has held for long; a zero entry stands for the sender.
func ReadHolding(m *wire.Holding) (entry ident.Incarnation, jobs []job.ID) {
	for _, id := range m.GetJobs() {
		jobs = append(jobs, job.ID(id))
	}
	return ident.Incarnation(m.GetEntry()), jobs
}

func takeover(t fleet.Takeover) *wire.Takeover {
	return &wire.Takeover{Job: uint64(t.Job), Holder: uint64(t.Holder), By: uint64(t.NewHolder)}
}

// readTakeover decodes a takeover. If the message does not name the new holder, it is newHolder.
func readTakeover(m *wire.Takeover, newHolder ident.Incarnation) fleet.Takeover {
	t := fleet.Takeover{Job: job.ID(m.GetJob()), Holder: ident.Incarnation(m.GetHolder()), NewHolder: ident.Incarnation(m.GetBy())}
	if t.NewHolder == 0 {
		t.NewHolder = newHolder
	}
	return t
}

// Release encodes a request to release a job so that another entry can take it over.
func Release(t fleet.Takeover) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Release{Release: &wire.Release{Takeover: takeover(t)}}}
}

// ReadRelease decodes a request to release a job. If the message does not name the new holder, it is the sender, from.
func ReadRelease(m *wire.Release, from ident.Incarnation) fleet.Takeover {
	return readTakeover(m.GetTakeover(), from)
}

// Released encodes that nothing of a job remains at the sender.
func Released(r fleet.Released) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Released{Released: &wire.Released{Takeover: takeover(r.Takeover), ByHolder: r.ByHolder}}}
}

// ReadReleased decodes that nothing of a job remains at the sender.
func ReadReleased(m *wire.Released) fleet.Released {
	return fleet.Released{Takeover: readTakeover(m.GetTakeover(), 0), ByHolder: m.GetByHolder()}
}
