package compare

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Table writes the mean of each figure for each way and, for all ways but the first, the difference to the first with its standard error.
func (c *Comparison) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "figure\t")
	for i, way := range c.Ways {
		fmt.Fprintf(w, "%s\t", way.Name)
		if i > 0 {
			fmt.Fprint(w, "difference\tstandard error\t")
		}
	}
	fmt.Fprintln(w)
	for _, name := range c.Names {
		c.writeFigure(w, name)
	}
	return w.Flush()
}

// writeFigure writes one line. Write errors are returned by the later Flush of the tabwriter.
func (c *Comparison) writeFigure(w io.Writer, name string) {
	base := c.Ways[0].Figures[name]
	fmt.Fprintf(w, "%s\t%.4f\t", name, mean(base))
	for _, way := range c.Ways[1:] {
		difference, standardError := pairedDifference(base, way.Figures[name])
		fmt.Fprintf(w, "%.4f\t%+.4f\t%.4f\t", mean(way.Figures[name]), difference, standardError)
	}
	fmt.Fprintln(w)
}
