// Package witness holds what entries report to agents on other VMs about the runs of their suspected tasks. If such a run
// crashes its upstream, its agent and its entry may end with it. The witness then is the only process that knows how far
// the run had come.
package witness

import (
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// maxRuns bounds the runs that are kept of one entry. An entry has few suspects at a time.
const maxRuns = 64

// Book holds the latest report of each linked entry. The zero Book is ready for use; a single goroutine uses it.
type Book struct {
	// running has no empty lists.
	running map[ident.Incarnation][]fleet.Crash
}

// Replace replaces the runs that an entry has reported. Each run is given as the crash that it is if its entry, its agent
// and its upstream are lost now.
func (b *Book) Replace(entry ident.Incarnation, running []fleet.Crash) {
	if len(running) == 0 {
		delete(b.running, entry)
		return
	}
	if b.running == nil {
		b.running = make(map[ident.Incarnation][]fleet.Crash)
	}
	b.running[entry] = running[:min(len(running), maxRuns)]
}

// Take removes and returns the runs that an entry has reported last. It is called when the link with the entry ends.
func (b *Book) Take(entry ident.Incarnation) []fleet.Crash {
	running := b.running[entry]
	delete(b.running, entry)
	return running
}
