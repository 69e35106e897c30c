// Package bench runs sets of policies against each other over the same scenarios and seeds, and prints the
// medians as a table. Runs go side by side on sets of their own: they mostly wait.
package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/load/profile"
	"hillreel/internal/load/scenario"
	"hillreel/internal/load/workload"
	"hillreel/internal/policy/placement"
)

// Policies is a named set of policies: options of the section [policy], as in a settings file.
type Policies struct {
	Name    string
	Options map[string]string
}

// Baseline is what the chosen set is measured against: random placement, first come, nothing learned.
var Baseline = Policies{"baseline", map[string]string{
	"placement": "random", "order": "first_come", "longest_first": "false", "learn": "false", "guard": "false", "prefetch": "2",
}}

// Chosen is the defaults.
var Chosen = Policies{"chosen", nil}

// Parse reads name:key=value,key=value.
func Parse(text string) (Policies, error) {
	name, rest, _ := strings.Cut(text, ":")
	p := Policies{name, make(map[string]string)}
	set := &settings.Settings{}
	for _, part := range strings.Split(rest, ",") {
		if part == "" {
			continue
		}
		key, value, ok := strings.Cut(part, "=")
		if !ok {
			return p, errors.Errorf("policies %s: want key=value, not %q", name, part)
		}
		if err := set.Set("policy", key, value); err != nil {
			return p, errors.Wrapf(err, "policies %s", name)
		}
		p.Options[key] = value
	}
	return p, nil
}

// Scenario is a profile with a name.
type Scenario struct {
	Name string
	profile.Profile
}

const (
	// length is how long jobs arrive in each run, faultAt when the fault begins.
	length  = 8 * time.Second
	faultAt = 2 * time.Second
	faultOf = 3 * time.Second
)

// Scenarios lists the standard scenarios of one workload.
func Scenarios(k workload.Kind) []Scenario {
	fault := func(kind profile.FaultKind, factor float64) []profile.Fault {
		return []profile.Fault{{Name: string(kind), Kind: kind, At: faultAt, For: faultOf, Factor: factor, Target: 1}}
	}
	var out []Scenario
	add := func(name string, load float64, change func(*profile.Profile)) {
		p := profile.Default()
		p.Length = length
		p.Workloads = []profile.Workload{{Kind: k, Load: load}}
		if change != nil {
			change(&p)
		}
		out = append(out, Scenario{name, p})
	}
	faults := func(kind profile.FaultKind, factor float64) func(*profile.Profile) {
		return func(p *profile.Profile) { p.Faults = fault(kind, factor) }
	}
	add("quiet, 30%", 0.3, nil)
	add("80%", 0.8, nil)
	add("bursts of 2x at 50%", 0.5, faults(profile.Burst, 2))
	add("straggler of 3x", 0.6, faults(profile.Straggler, 3))
	add("an upstream fails all", 0.6, faults(profile.FailAll, 1))
	add("an upstream dies", 0.6, faults(profile.UpstreamDies, 1))
	add("an entry dies", 0.6, faults(profile.EntryDies, 1))
	add("a zone is cut off", 0.5, faults(profile.ZoneCut, 1))
	add("declared times off by 10x", 0.8, func(p *profile.Profile) { p.EstimateFactor = 10 })
	add("cancellations", 0.6, faults(profile.CancelWave, 0.5))
	add("jobs that can't run", 0.6, faults(profile.Impossible, 0.2))
	add("overload of 2x", 2, nil)
	add("overload of 4x", 4, nil)
	add("store down", 0.6, faults(profile.StoreDown, 1))
	return out
}

// Row is the medians of one scenario under one set of policies.
type Row struct {
	Scenario, Policies   string
	Kind                 workload.Kind
	P50, P99, Max        float64
	PerTask, PerTaskAll  float64
	Jobs, NotComplete    int
	Refused, Violations  int64
	Utilisation, Goodput float64
}

// Options say what to run.
type Options struct {
	Scenarios []Scenario
	Policies  []Policies
	Repeat    int
	Seed      uint64
	// Parallel is how many sets run side by side.
	Parallel int
	Log      *logrus.Entry
}

// Run runs every scenario under every set of policies, the same seeds for each.
func Run(ctx context.Context, o Options) ([]Row, error) {
	type cell struct{ scenario, policies int }
	outcomes := make(map[cell][]scenario.Outcome)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	room := make(chan struct{}, o.Parallel)
	for s := range o.Scenarios {
		for n := range o.Repeat {
			for p := range o.Policies {
				weight := o.weight(o.Scenarios[s])
				for range weight {
					room <- struct{}{}
				}
				wg.Add(1)
				go func() {
					defer func() {
						for range weight {
							<-room
						}
						wg.Done()
					}()
					pr := o.Scenarios[s].Profile
					pr.Seed = o.Seed + uint64(n)
					out, err := scenario.Embedded(ctx, pr, o.Policies[p].tune(), o.Log)
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						failed = err
						return
					}
					outcomes[cell{s, p}] = append(outcomes[cell{s, p}], out)
				}()
			}
		}
	}
	wg.Wait()
	if failed != nil {
		return nil, failed
	}
	var rows []Row
	for s := range o.Scenarios {
		for p := range o.Policies {
			rows = append(rows, rowsOf(o.Scenarios[s].Name, o.Policies[p].Name, outcomes[cell{s, p}])...)
		}
	}
	return rows, nil
}

// weight is how many places a scenario takes: under overload a set holds thousands of connections, and two
// of them are as much as a process may have open files.
func (o Options) weight(s Scenario) int {
	for _, w := range s.Workloads {
		if w.Load > 1 {
			return max(1, o.Parallel/2)
		}
	}
	return 1
}

func (p Policies) tune() scenario.Tune {
	return scenario.Tune{Placement: placement.Name(p.Options["placement"]), Settings: func(s *settings.Settings) {
		for k, v := range p.Options {
			if err := s.Set("policy", k, v); err != nil {
				panic(err) // Parse has checked it
			}
		}
	}}
}

func rowsOf(name, policies string, outcomes []scenario.Outcome) []Row {
	var out []Row
	for k := range outcomes[0].Workloads {
		r := Row{Scenario: name, Policies: policies, Kind: k}
		pick := func(f func(o scenario.Outcome) float64) float64 {
			var v []float64
			for _, o := range outcomes {
				v = append(v, f(o))
			}
			slices.Sort(v)
			return v[len(v)/2]
		}
		r.P50 = pick(func(o scenario.Outcome) float64 { return o.Workloads[k].OverIdeal.P50 })
		r.P99 = pick(func(o scenario.Outcome) float64 { return o.Workloads[k].OverIdeal.P99 })
		r.Max = pick(func(o scenario.Outcome) float64 { return o.Workloads[k].OverIdeal.Max })
		r.PerTask = pick(func(o scenario.Outcome) float64 { return o.Workloads[k].PerTask })
		r.PerTaskAll = pick(func(o scenario.Outcome) float64 { return o.PerTask })
		r.Utilisation = pick(func(o scenario.Outcome) float64 { return o.Utilisation })
		r.Goodput = pick(func(o scenario.Outcome) float64 { return o.Goodput })
		for _, o := range outcomes {
			w := o.Workloads[k]
			r.Jobs += w.Jobs + w.NoAnswer
			r.NotComplete += w.Jobs + w.NoAnswer - w.States[verdict.Complete]
			r.Refused += o.Refused
			r.Violations = max(r.Violations, o.Violations)
		}
		out = append(out, r)
	}
	return out
}

// Print writes the rows as a table for docs/MEASUREMENTS.md.
func Print(w io.Writer, rows []Row) error {
	_, err := fmt.Fprintln(w, "| workload | scenario | policies | p50 | p99 | max | messages per task | not complete | refused | utilisation | goodput |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range rows {
		if err != nil {
			break
		}
		_, err = fmt.Fprintf(w, "| %s | %s | %s | %.2f | %.2f | %.2f | %.2f | %d of %d | %d | %.2f | %.2f |\n",
			r.Kind, r.Scenario, r.Policies, r.P50, r.P99, r.Max, r.PerTask, r.NotComplete, r.Jobs, r.Refused, r.Utilisation, r.Goodput)
	}
	return errors.Wrap(err, "bench")
}
