// Package report presents the result of a simulation in virtual time as a table, and as a plot with a point for each second.
package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/world"
)

// Table writes the figures of a simulation: for all jobs, for each kind, for the largest tenth of each kind, for the callers of
// each availability zone, and for each kind of entry.
func Table(out io.Writer, p *plan.Plan, r *world.Result) error {
	requested := p.RequestedCores() / r.Cores
	if _, err := fmt.Fprintf(out, "asked for %.2f of the room of %.0f cores, faults and bursts aside\n\n", requested, r.Cores); err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "jobs\tasked\tin time\tlate\trefused\tfailed\tleft\tp50 ms\tp99 ms\t")
	writeLine(w, "all", r.All)
	for i := range p.Jobs {
		writeLine(w, p.Jobs[i].Name, r.Kinds[i])
	}
	for i := range p.Jobs {
		writeLine(w, "largest tenth of "+p.Jobs[i].Name, r.Largest[i])
	}
	for i := range p.Zones {
		writeLine(w, "callers of "+p.Zones[i].Name, r.Zones[i])
	}
	for i := range r.EntryKinds {
		writeLine(w, "asked of "+p.Entries[i].Name+" entries", r.EntryKinds[i])
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := writeEntries(out, r); err != nil {
		return err
	}
	if err := writeRacks(out, r); err != nil {
		return err
	}
	if err := writeIdle(out, r); err != nil {
		return err
	}
	seconds := p.Length.Seconds()
	m := r.Messages
	_, err := fmt.Fprintf(out, "\nroom used %.3f, of that wasted %.3f; runs begun %d, refused for want of room %d\n"+
		"messages a second: orders %.0f, stops %.0f, room %.0f, ends %.0f, takeovers %.0f",
		r.Used/(r.Cores*seconds), fraction(r.Wasted, r.Used), r.Runs, r.NoRoomRefusals,
		float64(m.Orders)/seconds, float64(m.Stops)/seconds, float64(m.Rooms)/seconds, float64(m.Ends)/seconds, float64(m.Takeovers)/seconds)
	if err != nil {
		return err
	}
	return writeClaims(out, p, m)
}

// writeClaims ends the line of messages, with the claims if entries make any.
func writeClaims(out io.Writer, p *plan.Plan, m world.Messages) error {
	var claims string
	if p.ClaimFrom > 0 {
		claims = fmt.Sprintf(", claims %.0f", float64(m.Claims)/p.Length.Seconds())
	}
	_, err := fmt.Fprintln(out, claims)
	return err
}

// writeEntries writes how unevenly entries refuse, if the plan has kinds of entries.
func writeEntries(out io.Writer, r *world.Result) error {
	if len(r.EntryKinds) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "\nrefused, relative to all jobs: worst kind of entry %.2f, worst entry %.2f\n",
		r.WorstRefused(r.EntryKinds), r.WorstRefused(r.Entries))
	return err
}

// writeRacks writes how many runs were away from their data, if any had data in one rack.
func writeRacks(out io.Writer, r *world.Result) error {
	if r.RunsWithData == 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "\nruns of tasks with data in one rack %d, away from it %.3f\n", r.RunsWithData, fraction(float64(r.RunsAway), float64(r.RunsWithData)))
	return err
}

// writeIdle writes how much room there was when jobs were refused, if any were.
func writeIdle(out io.Writer, r *world.Result) error {
	if r.Refusals == 0 {
		return nil
	}
	seconds, idle := r.IdleWhileRefusing()
	_, err := fmt.Fprintf(out, "\nrefusals %d, of them beside room for all tasks of the job %d; room idle in the %d seconds with refused jobs %.3f\n",
		r.Refusals, r.RefusedBesideRoom, seconds, idle)
	return err
}

// writeLine writes one line of the table. Write errors are returned by the later Flush of the tabwriter.
func writeLine(w io.Writer, name string, t *world.Tally) {
	sent := float64(t.Sent)
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t\n", name, t.Sent, t.ServedShare(),
		fraction(float64(t.Late), sent), fraction(float64(t.Refused), sent), fraction(float64(t.Failed), sent), fraction(float64(t.Left), sent),
		t.ResponseTimes.Percentile(50), t.ResponseTimes.Percentile(99))
}

// fraction returns n divided by all, or zero if all is zero.
func fraction(n, all float64) float64 {
	if all == 0 {
		return 0
	}
	return n / all
}
