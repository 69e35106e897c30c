package ledger

import (
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/link/wire"
)

// rosterLife is how many retentions a roster is kept after an owner last named it.
const rosterLife = 2

// keptRoster is a roster that names this agent. Agents keep rosters for adopters: whoever lacks the roster
// because its keepers are lost could not have sealed those agents either.
type keptRoster struct {
	msg   *wire.Roster
	named time.Time
}

func (l *Ledger) handleRoster(from ident.Incarnation, r *wire.Roster) {
	l.rosters[string(r.GetDigest())] = keptRoster{r, l.opt.Now()}
	l.sender.Send(from, &wire.Msg{Kind: &wire.Msg_RosterAck{RosterAck: &wire.RosterAck{Digest: r.GetDigest()}}})
}

func (l *Ledger) handleRosterAsk(from ident.Incarnation, r *wire.RosterAsk) {
	if kept, ok := l.rosters[string(r.GetDigest())]; ok {
		l.sender.Send(from, &wire.Msg{Kind: &wire.Msg_Roster{Roster: kept.msg}})
	}
}

func (l *Ledger) dropOldRosters() {
	for digest, r := range l.rosters {
		if l.opt.Now().Sub(r.named) > rosterLife*l.opt.Retention {
			delete(l.rosters, digest)
		}
	}
}
