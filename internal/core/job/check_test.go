package job_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/job"
)

// TestSpecCheck guards against jobs of other writers that end the process which schedules them, or take all its memory.
func TestSpecCheck(t *testing.T) {
	for _, test := range []struct {
		name    string
		steps   []job.Step
		problem string
	}{
		{"good", []job.Step{{Count: 3}, {Count: 7, After: []uint32{0}, Estimate: time.Second}}, ""},
		{"no steps", nil, "steps: missing"},
		{"no tasks", []job.Step{{}}, `steps\[0\]: count: 0.*`},
		{"after a step that does not exist", []job.Step{{Count: 1, After: []uint32{7}}}, `steps\[0\]: after: step 7 .*`},
		{"after itself", []job.Step{{Count: 1}, {Count: 1, After: []uint32{1}}}, `steps\[1\]: after: step 1 .*`},
		{"after a number that is too large", []job.Step{{Count: 1, After: []uint32{math.MaxUint32}}}, `steps\[0\]: after: .*`},
		{"too many tasks", []job.Step{{Count: 11}}, `steps\[0\]: count: .*`},
		{"too many tasks in all", []job.Step{{Count: 6}, {Count: math.MaxUint32}}, `steps\[1\]: count: .*`},
		{"a negative need", []job.Step{{Count: 1, Each: job.Resources{CPU: -1}}}, `steps\[0\]: each: .*`},
		{"a negative estimate", []job.Step{{Count: 1, Estimate: -1}}, `steps\[0\]: estimate_ns: .*`},
		{"an estimate that is too large", []job.Step{{Count: 1, Estimate: math.MaxInt64}}, `steps\[0\]: estimate_ns: .*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := (&job.Spec{Steps: test.steps}).Check(10)
			if test.problem == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, test.problem)
		})
	}
}
