package cordon

import "slices"

// Peer is what the process at the other end of a link knows of cordons, as far as is known here. With it processes tell each other only
// what differs: the store's version rises with every write of anybody, so that two of them seldom read a table at the same one.
type Peer struct{ known map[Source]Snapshot }

// NewPeer returns a Peer of which nothing is known.
func NewPeer() *Peer { return &Peer{make(map[Source]Snapshot)} }

// NewOpenPeer returns a Peer that takes all zones for open until it is told otherwise, so that it needs to hear of cordons only.
func NewPeerWithoutCordons() *Peer {
	p := NewPeer()
	for _, source := range Sources {
		p.known[source] = Snapshot{Source: source}
	}
	return p
}

// Heard notes what the peer has told.
func (p *Peer) RecordReceived(s Snapshot) {
	if have, known := p.known[s.Source]; !known || s.Version >= have.Version {
		p.known[s.Source] = s
	}
}

// Due lists the snapshots that the peer should be told, and notes them as told: those that are newer than what it knows and say
// something else. What it has told of an older version is answered that way.
func (p *Peer) TakeDue(all []Snapshot) []Snapshot {
	var out []Snapshot
	for _, s := range all {
		have, known := p.known[s.Source]
		if known && (s.Version <= have.Version || slices.Equal(s.Zones, have.Zones)) {
			continue
		}
		p.known[s.Source] = s
		out = append(out, s)
	}
	return out
}
