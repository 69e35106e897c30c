// Package pace estimates the pace of upstreams that have none: those that are new, or were idle for a while. It is the median pace of the
// upstreams of the same kind, or of all.
//
// A pace is the ratio of an upstream's run times to their estimates. Which of an upstream's labels names its VM's kind isn't known: others
// name a rack, or what operators like. The kind is taken to be the label that most upstreams share, apart from labels that all have and
// from the rack that a step prefers: a region has many racks, and few kinds of VM.
package pace

import (
	"slices"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Source says where an upstream's pace is from.
type Source string

// The sources.
const (
	// Own: the upstream's recent runs.
	Own Source = "own"
	// Kind: the median of the upstreams of its kind.
	Kind Source = "kind"
	// All: the median of all upstreams.
	All Source = "all"
)

// Unknown is the pace of an upstream that has none.
const Unknown = 0

// usual is the median while no upstream has a pace: runs take as long as estimated.
const usual = 1

// minPaces is the number of paces from which on the median of a kind is used. A single one may be that of an upstream with a fault.
const minPaces = 2

// Paces holds the paces of the linked upstreams.
type Paces struct {
	upstreams map[ident.Incarnation]upstream
	all       group
	byLabel   map[job.Label]*group
}

// upstream is what is known of the upstream of one agent. No label is in labels twice.
type upstream struct {
	labels []job.Label
	pace   float64
}

// group holds the paces of some upstreams.
type group struct {
	// size is the number of upstreams, of which some may have no pace.
	size int
	// paces is sorted, because an entry of a large region receives up to 2,000 reports a second under load.
	paces []float64
}

// New returns Paces of no upstreams.
func New() *Paces {
	return &Paces{upstreams: make(map[ident.Incarnation]upstream), byLabel: make(map[job.Label]*group)}
}

// Set records the labels and the pace of an agent's upstream; the pace may be Unknown.
func (p *Paces) Set(agent ident.Incarnation, labels []job.Label, pace float64) {
	if !(pace > 0) { // also if it is not a number
		pace = Unknown
	}
	former, known := p.upstreams[agent]
	same := known && slices.Equal(former.labels, labels)
	if same && former.pace == pace {
		return
	}
	p.Remove(agent)
	u := upstream{former.labels, pace}
	if !same {
		u.labels = withoutRepeats(labels)
	}
	p.upstreams[agent] = u
	p.all.add(pace)
	for _, l := range u.labels {
		p.labelled(l).add(pace)
	}
}

// withoutRepeats returns a copy of labels that holds each once.
func withoutRepeats(labels []job.Label) []job.Label {
	var out []job.Label
	for _, l := range labels {
		if !slices.Contains(out, l) {
			out = append(out, l)
		}
	}
	return out
}

// Remove forgets an agent's upstream.
func (p *Paces) Remove(agent ident.Incarnation) {
	u, known := p.upstreams[agent]
	if !known {
		return
	}
	delete(p.upstreams, agent)
	p.all.remove(u.pace)
	for _, l := range u.labels {
		g := p.byLabel[l]
		if g.remove(u.pace); g.size == 0 {
			delete(p.byLabel, l)
		}
	}
}

// Median returns the median of all known paces.
func (p *Paces) Median() float64 {
	if len(p.all.paces) == 0 {
		return usual
	}
	return p.all.median()
}

// Of returns the pace of an agent's upstream, or an estimate of it for a step that prefers a rack; the rack may be empty.
func (p *Paces) Of(agent ident.Incarnation, rack job.Label) (float64, Source) {
	u := p.upstreams[agent]
	if u.pace != Unknown {
		return u.pace, Own
	}
	if kind := p.kind(u.labels, rack); kind != nil {
		return kind.median(), Kind
	}
	return p.Median(), All
}

// kind returns the upstreams of the kind that some labels tell, or nil if none is known well enough. Of labels that are shared equally
// often, it is the first.
func (p *Paces) kind(labels []job.Label, rack job.Label) *group {
	var best *group
	for _, l := range labels {
		g := p.byLabel[l]
		if l == rack || g.size == p.all.size || len(g.paces) < minPaces {
			continue
		}
		if best == nil || g.size > best.size {
			best = g
		}
	}
	return best
}

// labelled returns the group of a label and creates it if necessary.
func (p *Paces) labelled(l job.Label) *group {
	g := p.byLabel[l]
	if g == nil {
		g = &group{}
		p.byLabel[l] = g
	}
	return g
}

func (g *group) add(pace float64) {
	g.size++
	if pace == Unknown {
		return
	}
	i, _ := slices.BinarySearch(g.paces, pace)
	g.paces = slices.Insert(g.paces, i, pace)
}

func (g *group) remove(pace float64) {
	g.size--
	if i, found := slices.BinarySearch(g.paces, pace); found {
		g.paces = slices.Delete(g.paces, i, i+1)
	}
}

// median returns the median of the paces, of which there must be one.
func (g *group) median() float64 { return g.paces[len(g.paces)/2] }
