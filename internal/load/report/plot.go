package report

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"hillreel/internal/load/world"
)

// Size of a plot.
const (
	width  = 20 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Plot writes a plot of the shares of jobs by outcome for each second of a simulation. The extension of file, such as .png or .svg,
// selects the format.
func Plot(file string, r *world.Result) error {
	p := plot.New()
	p.Title.Text = "What became of the jobs of each second"
	p.X.Label.Text, p.Y.Label.Text = "second in which the job was sent", "part of the jobs"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = true
	p.Legend.YOffs = height / 3 // between the curves of served and of unserved jobs
	err := plotutil.AddLines(p,
		"in time", points(r, func(t *world.Tally) int { return t.InTime }),
		"late", points(r, func(t *world.Tally) int { return t.Late }),
		"refused", points(r, func(t *world.Tally) int { return t.Refused }),
	)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(width, height, file), "plot")
}

// points returns the share of jobs that count selects, for each second in which jobs were sent.
func points(r *world.Result, count func(*world.Tally) int) plotter.XYs {
	var out plotter.XYs
	for second, t := range r.Seconds {
		if t.Sent > 0 {
			out = append(out, plotter.XY{X: float64(second), Y: fraction(float64(count(t)), float64(t.Sent))})
		}
	}
	return out
}
