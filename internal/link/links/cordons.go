package links

import (
	"hillreel/internal/config/cordon"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/wire"
)

// SendCordons sends those of the snapshots that the remote process does not have yet. It is called for each new link before any other
// message is sent there, so that an order never arrives before the cordons that its entry knows.
func (l *Link[T]) SendCordons(all []cordon.Snapshot) {
	for _, s := range l.cordons.TakeDue(all) {
		l.Session.Send(codec.Cordons(s))
	}
}

// ReceiveCordons decodes a snapshot from the remote process and records that the process has it.
func (l *Link[T]) ReceiveCordons(m *wire.Cordons) cordon.Snapshot {
	s := codec.ReadCordons(m)
	l.cordons.RecordReceived(s)
	return s
}

// SendCordons sends to each linked process those of the snapshots that the process does not have yet. Each process forwards every snapshot
// that is new to it, so a single process that reads the store is enough for all processes linked to it, directly or through others. With 11
// entries and 65 agents a change takes at most 1,430 messages of about 40 bytes.
func (s *Set[T]) SendCordons(all []cordon.Snapshot) {
	for l := range s.All() {
		l.SendCordons(all)
	}
}
