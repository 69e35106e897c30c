package links

import (
	"hillreel/internal/config/cordon"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/wire"
)

// TellCordons tells one side the snapshots that are newer than what it is known to have. It is called for each new link before
// anything else is sent there, so that an order never comes ahead of what its entry knows of cordons.
func (l *Link[T]) TellCordons(all []cordon.Snapshot) {
	for _, s := range all {
		if have, known := l.cordons[s.Source]; known && have >= s.Version {
			continue
		}
		l.cordons[s.Source] = s.Version
		l.Session.Send(codec.Cordons(s))
	}
}

// ReadCordons reads what the other side has told, and notes that it knows that.
func (l *Link[T]) ReadCordons(m *wire.Cordons) cordon.Snapshot {
	s := codec.ReadCordons(m)
	if have, known := l.cordons[s.Source]; !known || have < s.Version {
		l.cordons[s.Source] = s.Version
	}
	return s
}

// TellCordons tells all sides the snapshots that are newer than what they are known to have. Each process passes on what it has
// not known before, so that one that reads the store is enough for all that are linked, through others or directly: with
// 11 entries and 65 agents at most 1,430 messages of about 40 bytes a change.
func (s *Set[T]) TellCordons(all []cordon.Snapshot) {
	for l := range s.All() {
		l.TellCordons(all)
	}
}
