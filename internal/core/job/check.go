package job

import "github.com/pkg/errors"

// Check returns an error that names the field if a job can't be scheduled. Callers' jobs are checked field by field where they are decoded;
// this is for jobs that are read from rows, which another program may have written. maxTasks bounds the tasks of all steps; zero is no bound.
func (s *Spec) Check(maxTasks int) error {
	if len(s.Steps) == 0 {
		return errors.New("steps: missing")
	}
	left := uint64(maxTasks)
	for i, step := range s.Steps {
		if err := step.check(i); err != nil {
			return errors.Wrapf(err, "steps[%d]", i)
		}
		if maxTasks > 0 && uint64(step.Count) > left {
			return errors.Errorf("steps[%d]: count: the job has more than %d tasks", i, maxTasks)
		}
		left -= uint64(step.Count)
	}
	return nil
}

// check checks the step with a number.
func (s *Step) check(number int) error {
	switch {
	case s.Count == 0:
		return errors.New("count: 0, want at least 1")
	case s.Each.CPU < 0 || s.Each.Mem < 0 || s.Each.GPU < 0:
		return errors.Errorf("each: %+v, must not be negative", s.Each)
	case s.Estimate < 0 || s.Estimate > MaxEstimate:
		return errors.Errorf("estimate_ns: %d, want 0 to %d", s.Estimate, MaxEstimate)
	}
	for _, earlier := range s.After {
		if int64(earlier) >= int64(number) {
			return errors.Errorf("after: step %d is not before step %d", earlier, number)
		}
	}
	return nil
}
