package schedule

import (
	"context"
	"testing"
	"time"

	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/jobstore"
)

// unsureCancelsFrom is the first seed of the worlds in which callers cancel kept jobs whose requests got no answer, at any entry. The write of
// such a job may still be under way, and its entry may lose its lease or end before it is carried out.
const unsureCancelsFrom = 80_000_000_000

// cancelUnsure cancels a kept job whose request got no answer, and reports whether it does: its caller then does not send the job again. The
// entries are not asked: the store alone must keep the job from being stored later.
func (s *submission) cancelUnsure() bool {
	w := s.w
	if !w.profile.unsureCancels || !s.kept {
		return false
	}
	s.cancelling, s.abandoned = true, true
	w.After(w.between(0, 4*time.Second), s.cancelInStore)
	return true
}

// cancelInStore cancels the job at the store, as an entry does that has nothing of it, and tries again while the store is away.
func (s *submission) cancelInStore() {
	w := s.w
	if w.store.silent || w.store.busy {
		w.After(resendDelay, s.cancelInStore)
		return
	}
	c, err := jobstore.NewReader(instantStore{w.store}, layout, time.Hour).CancelUnstored(context.Background(), s.id)
	if err != nil {
		w.violate("cancel: %v", err)
	}
	w.logf("cancelling job %v in the store finds %s", s.id, c.State)
	if c.State == verdict.Unknown || c.State == verdict.Cancelled {
		s.cancelledAt = w.Now()
	}
}

// checkTombstone checks a job whose cancellation was stored before the job.
func (s *submission) checkTombstone() {
	if s.accepted {
		s.w.violate("job %v was accepted, and the store has a tombstone of it", s.id)
	}
	for i, t := range s.tasks {
		if !t.started.IsZero() {
			s.w.violate("task %d of job %v has started, and the store has a tombstone of the job", i, s.id)
		}
	}
}

// TestUnsureCancels guards against jobs that run after their cancellation was confirmed, because a write of their first rows that got no answer
// was carried out late or repeated.
func TestUnsureCancels(t *testing.T) {
	requireNoViolation(t, unsureCancelsFrom+*seed, longSchedules())
}
