package world

import (
	"fmt"

	"hillreel/internal/core/job"
	"hillreel/internal/load/plan"
)

// rack is a group of upstreams of one zone; data in it are near them only.
type rack struct {
	zone  string
	label job.Label
}

// rackLabel returns the label of the rack that the next upstream of a zone is in, if the zone has n upstreams already. It registers
// racks that are new.
func (w *World) rackLabel(z *plan.Zone, n int) job.Label {
	if z.Rack == 0 {
		return ""
	}
	label := job.Label(fmt.Sprintf("rack-%s-%d", z.Name, n/z.Rack))
	if n%z.Rack == 0 {
		w.racks = append(w.racks, rack{z.Name, label})
	}
	return label
}

// heatRack draws the rack that jobs of a HotRack fault prefer while it lasts.
func (w *World) heatRack(f *plan.Fault) {
	var labels []job.Label
	for _, r := range w.racks {
		if f.Zone == "" || f.Zone == r.zone {
			labels = append(labels, r.label)
		}
	}
	w.hotRacks = append(w.hotRacks, hotRack{f, labels[w.faultRNG.IntN(len(labels))]})
	w.After(f.For, func() { w.coolRack(f) })
}

func (w *World) coolRack(f *plan.Fault) {
	for i := range w.hotRacks {
		if w.hotRacks[i].fault == f {
			w.hotRacks = append(w.hotRacks[:i:i], w.hotRacks[i+1:]...)
			return
		}
	}
}

// hotRack is a HotRack fault that lasts, with its rack.
type hotRack struct {
	fault *plan.Fault
	label job.Label
}

// drawData draws the rack that holds the data of a job of kind j; it is empty for jobs whose data are anywhere.
func (w *World) drawData(j *plan.Job) job.Label {
	for _, h := range w.hotRacks {
		if (h.fault.Job == "" || h.fault.Job == j.Name) && w.loadRNG.Float64() < h.fault.Factor {
			return h.label
		}
	}
	if j.Near == 0 || w.loadRNG.Float64() >= j.Near {
		return ""
	}
	return w.racks[w.loadRNG.IntN(len(w.racks))].label
}

// remoteFactor returns how many times as long a task takes at the upstream as near its data, and counts the run.
func (u *simUpstream) remoteFactor(prefers job.Label) float64 {
	if prefers == "" {
		return 1
	}
	u.w.result.RunsWithData++
	if prefers == u.rack {
		return 1
	}
	u.w.result.RunsAway++
	return u.w.plan.RemoteFactor
}
