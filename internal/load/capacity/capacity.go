// Package capacity measures the slopes from which docs/CAPACITY.md is worked out: what one more task, job,
// link, object or agent costs, each at four sizes or more, fitted by least squares.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// Slope is one fitted line.
type Slope struct {
	// Name is what the calculations call it; What says it in words.
	Name, What string
	// X and Y are the sizes and the values measured.
	X, Y []float64
	Unit string
	// PerUnit and Base are the fitted line's slope and its value at zero; R2 is how well it fits.
	PerUnit, Base, R2 float64
}

// Measure measures every slope, in order.
func Measure(progress io.Writer) ([]Slope, error) {
	var out []Slope
	for _, m := range []func() (Slope, error){
		agentMemory, agentTime, entryTime, entryTimeByRoster, entryMemory, sealTime, linkMemory, linkIdle, messageTime,
		taskBytes, rosterBytes, snapshotBytes, snapshotTime,
	} {
		s, err := m()
		if err != nil {
			return nil, err
		}
		s.Base, s.PerUnit = stat.LinearRegression(s.X, s.Y, nil, false)
		s.R2 = stat.RSquared(s.X, s.Y, nil, s.Base, s.PerUnit)
		out = append(out, s)
		if _, err := fmt.Fprintf(progress, "%-18s %12.4g %s\n", s.Name, s.PerUnit, s.Unit); err != nil {
			return nil, errors.Wrap(err, "capacity")
		}
	}
	return out, nil
}

// at runs f at each size and keeps the least of three values: what else the machine does only adds.
func at(s Slope, sizes []int, f func(n int) (float64, error)) (Slope, error) {
	for _, n := range sizes {
		best := 0.0
		for i := range 3 {
			y, err := f(n)
			if err != nil {
				return s, err
			}
			if i == 0 || y < best {
				best = y
			}
		}
		s.X = append(s.X, float64(n))
		s.Y = append(s.Y, best)
	}
	return s, nil
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Print writes the slopes as a table.
func Print(w io.Writer, slopes []Slope) error {
	_, err := fmt.Fprintln(w, "| slope | what | measured at | per unit | at zero | fit (R²) |\n| --- | --- | --- | --- | --- | --- |")
	for _, s := range slopes {
		if err != nil {
			break
		}
		_, err = fmt.Fprintf(w, "| `%s` | %s | %.0f | %.4g %s | %.4g | %.3f |\n", s.Name, s.What, s.X, s.PerUnit, s.Unit, s.Base, s.R2)
	}
	return errors.Wrap(err, "capacity")
}
