// Package compare plays a plan in several ways, which differ in the value of one field of its file, and tells how their figures differ.
// Each way is played with the same seeds, so that the ways meet the same jobs and faults, and differences are taken seed by seed.
package compare

import (
	"math"
	"strings"

	"github.com/pkg/errors"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/world"
)

// Option is a field of a plan file with the values to compare.
type Option struct {
	Section, Key string
	Values       []string
}

// defaultSection is the section of options that name none.
const defaultSection = "run"

// ParseOption reads an option such as claim_from=0,8, or delays/handling=100us,1ms with the section of the field.
func ParseOption(text string) (Option, error) {
	name, list, ok := strings.Cut(text, "=")
	o := Option{Section: defaultSection, Key: strings.TrimSpace(name)}
	if section, key, named := strings.Cut(name, "/"); named {
		o.Section, o.Key = strings.TrimSpace(section), strings.TrimSpace(key)
	}
	for value := range strings.SplitSeq(list, ",") {
		o.Values = append(o.Values, strings.TrimSpace(value))
	}
	if !ok || o.Section == "" || o.Key == "" || len(o.Values) < 2 {
		return o, errors.Errorf("compare: %q: want NAME=VALUE,VALUE or SECTION/NAME=VALUE,VALUE with at least two values", text)
	}
	return o, nil
}

// Way is one way to play a plan: its name, such as claim_from=8, and the values of all figures by name, one for each seed.
type Way struct {
	Name    string
	Figures map[string][]float64
}

// Comparison holds the ways in the order of the option's values, and the names of the figures in the order in which they are told.
type Comparison struct {
	Ways  []Way
	Names []string
}

// Run plays the plan in file with each value of the option and the seeds 1 to seeds. It calls adapt for each plan before it is played.
func Run(file string, o Option, seeds int, adapt func(*plan.Plan)) (*Comparison, error) {
	c := &Comparison{}
	for _, value := range o.Values {
		p, err := plan.Read(file, plan.Override{Section: o.Section, Key: o.Key, Value: value})
		if err != nil {
			return nil, err
		}
		adapt(p)
		w := Way{Name: o.Key + "=" + value, Figures: make(map[string][]float64)}
		for seed := 1; seed <= seeds; seed++ {
			p.Seed = uint64(seed)
			r, err := world.Run(p)
			if err != nil {
				return nil, err
			}
			c.Names = nil
			for _, f := range figures(p, r) {
				c.Names = append(c.Names, f.name)
				w.Figures[f.name] = append(w.Figures[f.name], f.value)
			}
		}
		c.Ways = append(c.Ways, w)
	}
	return c, nil
}

// figure is one number of a simulation.
type figure struct {
	name  string
	value float64
}

// figures returns the numbers by which ways are compared.
func figures(p *plan.Plan, r *world.Result) []figure {
	sent := float64(r.All.Sent)
	out := []figure{
		{"in time", r.All.ServedShare()}, {"late", fraction(float64(r.All.Late), sent)}, {"refused", r.All.RefusedShare()},
	}
	for i := range p.Jobs {
		out = append(out, figure{"in time: " + p.Jobs[i].Name, r.Kinds[i].ServedShare()})
	}
	for i := range r.EntryKinds {
		out = append(out, figure{"refused: asked of " + p.Entries[i].Name + " entries", r.EntryKinds[i].RefusedShare()})
	}
	if len(r.EntryKinds) > 0 {
		out = append(out, figure{"refused, worst kind of entry over all", r.WorstRefused(r.EntryKinds)})
	}
	_, idle := r.IdleWhileRefusing()
	m := r.Messages
	messages := m.Orders + m.Stops + m.Rooms + m.Ends + m.Takeovers + m.Claims + m.Demands
	return append(out,
		figure{"refused, worst entry over all", r.WorstRefused(r.Entries)},
		figure{"refused, worst zone over all", r.WorstRefused(r.Zones)},
		figure{"refused, worst kind of job over all", r.WorstRefused(r.Kinds)},
		figure{"refusals beside room for all tasks, of all", fraction(float64(r.RefusedBesideRoom), float64(r.Refusals))},
		figure{"room idle in seconds with refused jobs", idle},
		figure{"orders refused for want of room, per run", fraction(float64(r.NoRoomRefusals), float64(r.Runs))},
		figure{"messages a second", float64(messages) / p.Length.Seconds()},
	)
}

// fraction returns n divided by all, or zero if all is zero.
func fraction(n, all float64) float64 {
	if all == 0 {
		return 0
	}
	return n / all
}

// mean returns the mean of values.
func mean(values []float64) float64 {
	var sum float64
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// pairedDifference returns the mean of other minus base, taken seed by seed, and its standard error, which is NaN for a single seed.
func pairedDifference(base, other []float64) (difference, standardError float64) {
	differences := make([]float64, len(base))
	for i := range base {
		differences[i] = other[i] - base[i]
	}
	difference = mean(differences)
	var squares float64
	for _, d := range differences {
		squares += (d - difference) * (d - difference)
	}
	n := float64(len(differences))
	return difference, math.Sqrt(squares / (n - 1) / n)
}
