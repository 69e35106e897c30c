// Package report writes the outcome of a load run as text, JSON and a page with plots, and sets two
// outcomes side by side.
package report

import (
	"bytes"
	_ "embed" // for the page's template
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"os"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"hillreel/internal/load/measure"
	"hillreel/internal/load/scenario"
	"hillreel/internal/load/workload"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// plotTop is the highest ratio that the plot shows.
	plotTop = 6
)

// kinds lists an outcome's workloads in a fixed order.
func kinds(o *scenario.Outcome) []workload.Kind {
	var out []workload.Kind
	for k := range o.Workloads {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Text writes the outcome for a terminal.
func Text(w io.Writer, o *scenario.Outcome) error {
	for _, k := range kinds(o) {
		if _, err := fmt.Fprintf(w, "%s\n", k); err != nil {
			return errors.Wrap(err, "report")
		}
		r := o.Workloads[k]
		if err := r.Print(w); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, `task messages per task       %.3f, all entries, with acknowledgements
starts refused              %d
utilisation                 %.3f
invariant violations        %d
`, o.PerTask, o.Refused, o.Utilisation, o.Violations)
	return errors.Wrap(err, "report")
}

// Save writes an outcome as JSON.
func Save(file string, o *scenario.Outcome) error {
	raw, err := json.MarshalIndent(o, "", "  ")
	if err != nil {
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(os.WriteFile(file, raw, 0o644), "report")
}

// Read reads an outcome that Save wrote.
func Read(file string) (*scenario.Outcome, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	var o scenario.Outcome
	return &o, errors.Wrapf(json.Unmarshal(raw, &o), "report %s", file)
}

// Compare writes the ratios of b over a.
func Compare(w io.Writer, a, b *scenario.Outcome) error {
	for _, k := range kinds(a) {
		x, y := a.Workloads[k], b.Workloads[k]
		for _, line := range []struct {
			name string
			a, b float64
		}{
			{"p50 over ideal", x.OverIdeal.P50, y.OverIdeal.P50},
			{"p90 over ideal", x.OverIdeal.P90, y.OverIdeal.P90},
			{"p99 over ideal", x.OverIdeal.P99, y.OverIdeal.P99},
			{"p99.9 over ideal", x.OverIdeal.P999, y.OverIdeal.P999},
			{"max over ideal", x.OverIdeal.Max, y.OverIdeal.Max},
			{"messages per task", x.PerTask, y.PerTask},
		} {
			if _, err := fmt.Fprintf(w, "%-8s %-20s %8.3f %8.3f  ratio %.3f\n", k, line.name, line.a, line.b, line.b/line.a); err != nil {
				return errors.Wrap(err, "compare")
			}
		}
	}
	return nil
}

type pagePart struct {
	Kind   workload.Kind
	Report measure.Report
	Plot   template.HTML
}

// Page writes the outcome as one HTML page that needs no other file.
func Page(file string, o *scenario.Outcome) error {
	var parts []pagePart
	for _, k := range kinds(o) {
		r := o.Workloads[k]
		svg, err := distribution(r)
		if err != nil {
			return err
		}
		parts = append(parts, pagePart{k, r, template.HTML(svg)})
	}
	var out bytes.Buffer
	if err := page.Execute(&out, map[string]any{"Outcome": o, "Parts": parts}); err != nil {
		return errors.Wrap(err, "report page")
	}
	return errors.Wrap(os.WriteFile(file, out.Bytes(), 0o644), "report page")
}

// distribution plots the share of jobs under each ratio, as SVG.
func distribution(r measure.Report) ([]byte, error) {
	p := plot.New()
	p.Title.Text = "response time over the ideal"
	p.X.Label.Text, p.Y.Label.Text = "ratio", "share of jobs at or under it"
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 1, plotTop, 0, 1
	var points plotter.XYs
	for _, x := range r.Distribution {
		points = append(points, plotter.XY{X: min(x.Ratio, plotTop), Y: x.Share})
	}
	if len(points) == 0 {
		points = plotter.XYs{{X: 1, Y: 0}}
	}
	if err := plotutil.AddLines(p, "all jobs", points); err != nil {
		return nil, errors.Wrap(err, "plot")
	}
	canvas, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, errors.Wrap(err, "plot")
	}
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return nil, errors.Wrap(err, "plot")
	}
	// An SVG inside a page has no XML header of its own.
	_, body, _ := bytes.Cut(svg.Bytes(), []byte("<svg"))
	return append([]byte("<svg"), body...), nil
}
