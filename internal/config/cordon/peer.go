package cordon

import "slices"

// Peer tracks what the process at the other end of a link knows of cordons. It lets processes send each other only snapshots whose
// content differs. Versions alone are no reason to send one: the store's version rises with every write to any table, so two
// processes seldom read a table at the same version.
type Peer struct{ known map[Source]Snapshot }

// NewPeer returns a Peer for a process about which nothing is known, so that the process is sent every snapshot.
func NewPeer() *Peer { return &Peer{make(map[Source]Snapshot)} }

// NewPeerWithoutCordons returns a Peer that assumes that no zone is cordoned, so that it is sent only snapshots with cordons.
func NewPeerWithoutCordons() *Peer {
	p := NewPeer()
	for _, source := range Sources {
		p.known[source] = Snapshot{Source: source}
	}
	return p
}

// RecordReceived records a snapshot that the peer has sent.
func (p *Peer) RecordReceived(s Snapshot) {
	if have, known := p.known[s.Source]; !known || s.Version >= have.Version {
		p.known[s.Source] = s
	}
}

// TakeDue returns the snapshots to send to the peer and records them as sent. These are the snapshots that are newer than what the
// peer knows and have other content. A peer that has sent an outdated snapshot is thereby sent the newer one.
func (p *Peer) TakeDue(snapshots []Snapshot) []Snapshot {
	var due []Snapshot
	for _, s := range snapshots {
		have, known := p.known[s.Source]
		if known && (s.Version <= have.Version || slices.Equal(s.Zones, have.Zones)) {
			continue
		}
		p.known[s.Source] = s
		due = append(due, s)
	}
	return due
}
