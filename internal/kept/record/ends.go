package record

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"hillreel/internal/core/job"
)

// Ends is a list of ends. It is encoded as one string of space-separated "step.index.run", with an "f" appended to runs that
// have failed. This is compact enough for a job of 1,500 tasks to fit into a row.
type Ends []End

// Contains reports whether the list contains the end of a run.
func (e Ends) Contains(step, index uint32, run job.Run) bool {
	return slices.ContainsFunc(e, func(end End) bool {
		return end.Step == step && end.Index == index && end.Run == run
	})
}

// failedSuffix follows a run that has failed.
const failedSuffix = "f"

// MarshalJSON encodes the list as one string.
func (e Ends) MarshalJSON() ([]byte, error) {
	var b strings.Builder
	for i, end := range e {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.Itoa(int(end.Step)) + "." + strconv.Itoa(int(end.Index)) + "." + strconv.Itoa(int(end.Run)))
		if end.Failed {
			b.WriteString(failedSuffix)
		}
	}
	return json.Marshal(b.String())
}

// endNumbers is the number of numbers in the text of an end.
const endNumbers = 3

// UnmarshalJSON decodes the string that MarshalJSON writes.
func (e *Ends) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Wrap(err, "record: ends")
	}
	*e = nil
	for _, field := range strings.Fields(text) {
		number, failed := strings.CutSuffix(field, failedSuffix)
		parts := strings.Split(number, ".")
		if len(parts) != endNumbers {
			return errors.Errorf("record: end %q: want step.index.run", field)
		}
		var n [endNumbers]uint32
		for i, p := range parts {
			v, err := strconv.ParseUint(p, 10, 32)
			if err != nil {
				return errors.Wrapf(err, "record: end %q", field)
			}
			n[i] = uint32(v)
		}
		*e = append(*e, End{Step: n[0], Index: n[1], Run: job.Run(n[2]), Failed: failed})
	}
	return nil
}
