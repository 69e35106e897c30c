// Package measure gathers what a run shows: response time against the ideal, outcomes, verdicts, messages.
package measure

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"hillreel/api"
	"hillreel/internal/core/verdict"
	"hillreel/internal/load/workload"
)

// scale: ratios are recorded as whole thousandths.
const scale = 1000

// highest is the largest ratio recorded, in thousandths.
const highest = 1000 * scale

// Result gathers the outcomes of one run. It is safe for use by many goroutines.
type Result struct {
	mu sync.Mutex
	// overIdeal and overLongest are response times over a job's ideal and over its longest task.
	overIdeal, overLongest *hdrhistogram.Histogram
	states                 map[verdict.State]int
	reasons                map[verdict.Reason]int
	verdicts               map[verdict.Verdict]int
	tasks, messages        int64
	foreign                int
	lost                   int
	workTime               time.Duration
}

// New returns an empty Result.
func New() *Result {
	return &Result{
		overIdeal:   hdrhistogram.New(1, highest, 3),
		overLongest: hdrhistogram.New(1, highest, 3),
		states:      make(map[verdict.State]int),
		reasons:     make(map[verdict.Reason]int),
		verdicts:    make(map[verdict.Verdict]int),
	}
}

// Add takes the answer to one job. took runs from the job's intended arrival, so that a late submission
// counts against us.
func (r *Result) Add(j *workload.Job, took, ideal time.Duration, a *api.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states[a.State]++
	if a.Reason != "" {
		r.reasons[a.Reason]++
	}
	for i := range a.Tasks {
		t := &a.Tasks[i]
		r.verdicts[t.Verdict]++
		if len(t.Answer) > 0 && t.OK && !owns(t, j.Note) {
			r.foreign++
		}
	}
	r.tasks += int64(len(j.Tasks))
	r.messages += int64(a.Messages)
	if a.State == verdict.Complete {
		r.record(r.overIdeal, took, ideal)
		r.record(r.overLongest, took, j.Longest())
		for _, run := range j.Runs {
			r.workTime += run
		}
	}
}

// Lose counts a job that got no answer at all.
func (r *Result) Lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost++
}

func (r *Result) record(h *hdrhistogram.Histogram, took, against time.Duration) {
	ratio := int64(float64(took) / float64(against) * scale)
	h.RecordValue(min(max(ratio, 1), highest)) //nolint:errcheck // the value is in range
}

// Quantiles of a ratio.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
	Max  float64 `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / scale }
	return Quantiles{at(50), at(90), at(99), at(99.9), float64(h.Max()) / scale}
}

// Point is one step of a distribution: the share of jobs at or under a ratio.
type Point struct {
	Share float64 `json:"share"`
	Ratio float64 `json:"ratio"`
}

// Report is a Result in figures.
type Report struct {
	Jobs        int                     `json:"jobs"`
	Tasks       int64                   `json:"tasks"`
	States      map[verdict.State]int   `json:"states"`
	Reasons     map[verdict.Reason]int  `json:"reasons"`
	Verdicts    map[verdict.Verdict]int `json:"verdicts"`
	NoAnswer    int                     `json:"no_answer"`
	Foreign     int                     `json:"foreign_answers"`
	OverIdeal   Quantiles               `json:"over_ideal"`
	OverLongest Quantiles               `json:"over_longest_task"`
	// PerTask is messages per task, as the entries that ended the jobs counted them.
	PerTask      float64 `json:"messages_per_task"`
	Distribution []Point `json:"distribution"`
	// WorkSeconds is the true run time of all tasks of complete jobs.
	WorkSeconds float64 `json:"work_seconds"`
}

// Report returns the figures so far.
func (r *Result) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Report{
		Tasks: r.tasks, States: r.states, Reasons: r.reasons, Verdicts: r.verdicts, NoAnswer: r.lost,
		Foreign: r.foreign, OverIdeal: quantiles(r.overIdeal), OverLongest: quantiles(r.overLongest),
		PerTask: float64(r.messages) / float64(max(r.tasks, 1)), WorkSeconds: r.workTime.Seconds(),
	}
	for _, n := range r.states {
		out.Jobs += n
	}
	for _, b := range r.overIdeal.CumulativeDistribution() {
		out.Distribution = append(out.Distribution, Point{b.Quantile / 100, float64(b.ValueAt) / scale})
	}
	return out
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) error {
	line := func(q Quantiles) string {
		return fmt.Sprintf("p50 %.3f  p90 %.3f  p99 %.3f  p99.9 %.3f  max %.3f", q.P50, q.P90, q.P99, q.P999, q.Max)
	}
	_, err := fmt.Fprintf(w, `jobs                        %d: %d complete, %d failed, %d unresolved, %d without answer
task verdicts               ran %d, not_run %d, may_have_run %d
reasons                     %v
response time over ideal    %s
over the longest task       %s
messages per task           %.3f (least possible 2: one start, one result)
answers of other requests   %d
`, r.Jobs, r.States[verdict.Complete], r.States[verdict.Failed], r.States[verdict.Unresolved], r.NoAnswer,
		r.Verdicts[verdict.Ran], r.Verdicts[verdict.NotRun], r.Verdicts[verdict.MayHaveRun], r.Reasons,
		line(r.OverIdeal), line(r.OverLongest), r.PerTask, r.Foreign)
	return errors.Wrap(err, "report")
}
