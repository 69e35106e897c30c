// Package report shows what an experiment in virtual time has found: a table, and a plot of each second.
package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/world"
)

// Table writes an experiment's figures: of all jobs, by kind, of each kind's largest tenth, and by availability zone.
func Table(out io.Writer, p *plan.Plan, r *world.Result) error {
	asked := p.RequestedCores() / r.Cores
	if _, err := fmt.Fprintf(out, "asked for %.2f of the room of %.0f cores, faults and bursts aside\n\n", asked, r.Cores); err != nil {
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
	if err := w.Flush(); err != nil {
		return err
	}
	seconds := p.Length.Seconds()
	m := r.Messages
	_, err := fmt.Fprintf(out, "\nroom used %.3f, of that wasted %.3f; runs begun %d, refused for want of room %d\n"+
		"messages a second: orders %.0f, stops %.0f, room %.0f, ends %.0f, takeovers %.0f\n",
		r.Used/(r.Cores*seconds), fraction(r.Wasted, r.Used), r.Runs, r.NoRoomRefusals,
		float64(m.Orders)/seconds, float64(m.Stops)/seconds, float64(m.Rooms)/seconds, float64(m.Ends)/seconds, float64(m.Takeovers)/seconds)
	return err
}

// line writes one line of the table; errors of w come out when it is flushed.
func writeLine(w io.Writer, name string, t *world.Tally) {
	asked := float64(t.Sent)
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t\n", name, t.Sent, t.ServedShare(),
		fraction(float64(t.Late), asked), fraction(float64(t.Refused), asked), fraction(float64(t.Failed), asked), fraction(float64(t.Left), asked),
		t.ResponseTimes.Percentile(50), t.ResponseTimes.Percentile(99))
}

// part is n of all, and zero of nothing.
func fraction(n, all float64) float64 {
	if all == 0 {
		return 0
	}
	return n / all
}
