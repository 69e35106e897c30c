// Package profile reads the INI profile of a load run: the set, the workloads, and the faults by schedule.
package profile

import (
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"hillreel/internal/load/workload"
	"hillreel/internal/policy/placement"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// Burst multiplies the rate of arrivals by factor.
	Burst FaultKind = "burst"
	// Straggler multiplies run times on one upstream by factor.
	Straggler FaultKind = "straggler"
	// FailAll makes one upstream fail everything at once.
	FailAll FaultKind = "fail_all"
	// UpstreamDies ends one upstream with its agent.
	UpstreamDies FaultKind = "upstream_dies"
	// EntryDies ends one entry.
	EntryDies FaultKind = "entry_dies"
	// ZoneCut cuts one availability zone off from the others.
	ZoneCut FaultKind = "zone_cut"
	// CancelWave cancels a share of the jobs that arrive, shortly after.
	CancelWave FaultKind = "cancel_wave"
	// Impossible adds jobs that can never run.
	Impossible FaultKind = "impossible"
	// StoreDown and StoreSlow disturb the platform's table and list.
	StoreDown FaultKind = "store_down"
	StoreSlow FaultKind = "store_slow"
)

var faultKinds = []FaultKind{
	Burst, Straggler, FailAll, UpstreamDies, EntryDies, ZoneCut, CancelWave, Impossible, StoreDown, StoreSlow,
}

// Fault is one fault of the schedule.
type Fault struct {
	Name string
	Kind FaultKind
	// At and For say when it begins and how long it lasts.
	At, For time.Duration
	// Target counts upstreams, entries or zones from 0.
	Target int
	// Factor multiplies, or is a share.
	Factor float64
}

// Workload is one user's part of the load.
type Workload struct {
	Kind workload.Kind
	// Load is the share of the set's slots that it keeps busy.
	Load float64
}

// Profile is a whole run.
type Profile struct {
	Entries, Agents, Slots, Zones int
	ZoneDelay, CallerDelay        time.Duration
	Placement                     placement.Name
	Seed                          uint64
	Length, Patience              time.Duration
	EstimateFactor                float64
	DeadlineMs                    uint32
	Workloads                     []Workload
	Faults                        []Fault
}

// Default is today's size: ten executors of 8 slots, three availability zones, 0.5 ms between them and
// 3 ms to callers.
func Default() Profile {
	return Profile{
		Entries: 3, Agents: 10, Slots: 8, Zones: 3, ZoneDelay: 500 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		Placement: placement.LeastLoaded, Seed: 1, Length: 10 * time.Second, Patience: 30 * time.Second, EstimateFactor: 1,
	}
}

// RoundTrip is the least time between a caller's request and its answer: caller to entry, entry to agent,
// and back.
func (p *Profile) RoundTrip() time.Duration { return 2 * (p.CallerDelay + p.ZoneDelay) }

// AllSlots is how many tasks the set runs at once.
func (p *Profile) AllSlots() int { return p.Agents * p.Slots }

// Load reads a profile. Errors name file, section and key.
func Load(file string) (Profile, error) {
	p := Default()
	raw, err := os.ReadFile(file)
	if err != nil {
		return p, errors.Wrap(err, "profile")
	}
	f, err := ini.Load(raw)
	if err != nil {
		return p, errors.Wrapf(err, "profile %s", file)
	}
	for _, s := range f.Sections() {
		if err := p.section(s); err != nil {
			return p, errors.Wrapf(err, "profile %s: [%s]", file, s.Name())
		}
	}
	if len(p.Workloads) == 0 {
		return p, errors.Errorf("profile %s: no [publish] and no [canteen]", file)
	}
	return p, nil
}

func (p *Profile) section(s *ini.Section) error {
	r := &reader{s, make(map[string]bool), nil}
	switch name := s.Name(); {
	case name == ini.DefaultSection:
	case name == "set":
		r.whole("entries", &p.Entries)
		r.whole("agents", &p.Agents)
		r.whole("slots", &p.Slots)
		r.whole("zones", &p.Zones)
		r.duration("zone_delay", &p.ZoneDelay)
		r.duration("caller_delay", &p.CallerDelay)
		p.Placement = placement.Name(r.text("placement", string(p.Placement)))
	case name == "run":
		seed := int(p.Seed)
		deadline := int(p.DeadlineMs)
		r.whole("seed", &seed)
		r.whole("deadline_ms", &deadline)
		r.duration("length", &p.Length)
		r.duration("patience", &p.Patience)
		r.number("estimate_factor", &p.EstimateFactor)
		p.Seed, p.DeadlineMs = uint64(seed), uint32(deadline)
	case name == string(workload.Publish), name == string(workload.Canteen):
		w := Workload{Kind: workload.Kind(name), Load: 0.5}
		r.number("load", &w.Load)
		p.Workloads = append(p.Workloads, w)
	case strings.HasPrefix(name, "fault "):
		x := Fault{Name: strings.TrimPrefix(name, "fault "), Factor: 1}
		x.Kind = FaultKind(r.text("kind", ""))
		r.duration("at", &x.At)
		r.duration("for", &x.For)
		r.whole("target", &x.Target)
		r.number("factor", &x.Factor)
		if !slices.Contains(faultKinds, x.Kind) {
			return errors.Errorf("kind: want one of %v", faultKinds)
		}
		p.Faults = append(p.Faults, x)
	default:
		return errors.New("no such section")
	}
	return r.finish()
}

// reader reads keys and notes which there are.
type reader struct {
	section *ini.Section
	known   map[string]bool
	err     error
}

func (r *reader) key(name string) *ini.Key {
	r.known[name] = true
	if !r.section.HasKey(name) {
		return nil
	}
	return r.section.Key(name)
}

func (r *reader) note(name string, err error) {
	if err != nil && r.err == nil {
		r.err = errors.Wrap(err, name)
	}
}

func (r *reader) whole(name string, v *int) {
	if k := r.key(name); k != nil {
		n, err := k.Int()
		*v = n
		r.note(name, err)
	}
}

func (r *reader) number(name string, v *float64) {
	if k := r.key(name); k != nil {
		n, err := k.Float64()
		*v = n
		r.note(name, err)
	}
}

func (r *reader) duration(name string, v *time.Duration) {
	if k := r.key(name); k != nil {
		d, err := k.Duration()
		*v = d
		r.note(name, err)
	}
}

func (r *reader) text(name, def string) string {
	if k := r.key(name); k != nil {
		return k.String()
	}
	return def
}

func (r *reader) finish() error {
	for _, k := range r.section.Keys() {
		if !r.known[k.Name()] {
			return errors.Errorf("%s: no such key", k.Name())
		}
	}
	return r.err
}
