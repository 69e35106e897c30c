package crash

import (
	"time"

	"hillreel/internal/core/fleet"
)

const (
	// maxAgeError is the most by which the recorded age of a run at a crash may be below its true age: an upstream on which no run starts
	// or ends answers its agent every 50 ms, and the answer takes some time to arrive.
	maxAgeError = 60 * time.Millisecond
	// maxAloneAgeError is maxAgeError while a task is alone: its upstream is polled about every 10 ms, 20 ms at worst, and answers may be
	// slow.
	maxAloneAgeError = 25 * time.Millisecond
	// maxLostReportDelay is the longest time between an answer of an upstream and the report of the age of a run there that was lost with its
	// agent: 20 ms until the entry has the agent's report, and as much until a witness has the entry's.
	maxLostReportDelay = 40 * time.Millisecond
	// maxStartDelay is the most by which the recorded age may be above the true age: the start was still on its way to the upstream.
	maxStartDelay = 5 * time.Millisecond
)

// isAgeUnknown reports whether a crash may have been at any point of the task's run, because the upstream was lost with its agent.
func isAgeUnknown(c fleet.Crash) bool { return c.Loss == 0 }

// earliestAge, latestAge and greatestAge are the bounds of the true age of a task's run at a crash. If its agent was lost too, the run most
// likely ended when the agent was heard last, up to latestAge. If the agent had fallen silent before, the run may have gone on up to
// greatestAge.
func earliestAge(c fleet.Crash) time.Duration { return c.Age - maxStartDelay }

func latestAge(c fleet.Crash) time.Duration { return likelyMaxAge(c) + ageError(c) }

func greatestAge(c fleet.Crash) time.Duration { return max(c.Age, c.MaxAge) + ageError(c) }

// likelyMaxAge returns the highest recorded age, unless the agent was silent before the crash.
func likelyMaxAge(c fleet.Crash) time.Duration {
	if c.WithAgent && !isAgeUnknown(c) {
		return max(c.Age, min(c.MaxAge, c.Age+maxLostReportDelay))
	}
	return max(c.Age, c.MaxAge)
}

// ageError returns the most by which the recorded age may be below the true age.
func ageError(c fleet.Crash) time.Duration {
	if c.Alone {
		return maxAloneAgeError
	}
	return maxAloneAgeError + maxAgeError
}

// mayBeSamePoint reports whether two crashes may have been at the same point of a task's run, unless agents were silent before them.
func mayBeSamePoint(a, b fleet.Crash) bool {
	return earliestAge(a) <= latestAge(b) && earliestAge(b) <= latestAge(a)
}

// isPossiblyAt reports whether a crash may have been at the point of another one if its agent had fallen silent before.
func isPossiblyAt(c, at fleet.Crash) bool {
	return earliestAge(c) <= latestAge(at) && earliestAge(at) <= greatestAge(c)
}
