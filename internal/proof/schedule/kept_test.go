package schedule

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/record"
)

// cancelBound is how long tasks of a job may still start after the caller has learned of its cancellation.
const cancelBound = 3 * time.Second

// handleAccepted checks that a job whose caller is told that it is kept is stored. Some callers then cancel it.
func (w *world) handleAccepted(s *submission) {
	if w.store.Rows[layout.JobKey(s.id)].Version == 0 {
		w.violate("job %v is called accepted, and is not stored", s.id)
	}
	if !s.accepted && w.chance(0.15) {
		w.After(w.between(0, 2*time.Second), s.cancel)
	}
	s.accepted = true
	for range 3 {
		w.After(w.between(0, 6*time.Second), s.queryState)
	}
}

// queryState queries a random entry for the job's state.
func (s *submission) queryState() {
	w := s.w
	e := w.entries[w.rng.IntN(len(w.entries))]
	e.do(func() {
		if state, known := e.keptJobs.State(s.id); known && state != verdict.Running {
			s.checkEndState(state)
		}
	})
}

// checkEndState checks an end state that is reported for a kept job.
func (s *submission) checkEndState(state verdict.State) {
	w := s.w
	if w.store.Rows[layout.EndedKey(s.id)].Version == 0 {
		w.violate("job %v is shown as %s, and that is not stored", s.id, state)
	}
	switch state {
	case verdict.Complete:
		for i, t := range s.tasks {
			if t.done.IsZero() {
				w.violate("job %v is shown as complete, and its task %d has not ended well", s.id, i)
			}
		}
	case verdict.Failed:
		if s.hasCrashedUpstreams() {
			return
		}
		for _, t := range s.tasks {
			if t.failed >= publishRoute.Attempts {
				return
			}
		}
		w.violate("job %v is shown as failed without enough failures of any task", s.id)
	case verdict.Cancelled:
		if !s.cancelling {
			w.violate("job %v is shown as cancelled, and nobody has cancelled it", s.id)
		}
	default:
		w.violate("job %v is shown as %s", s.id, state)
	}
}

// endedState returns the end state of a kept job as the store has it.
func (s *submission) endedState() verdict.State {
	ended, err := record.Decode[record.EndedJob](s.w.store.Rows[layout.EndedKey(s.id)])
	if err != nil {
		s.w.violate("a row that can't be read: %v", err)
	}
	return ended.State
}

// cancel requests cancellation of the job at a random entry.
func (s *submission) cancel() {
	w := s.w
	e := w.entries[w.rng.IntN(len(w.entries))]
	s.cancelling = true
	caller := dispatch.CallerID(uint64(s.id)<<8 | 0xff)
	e.do(func() {
		e.waiting[caller] = func(a dispatch.Answer) { s.recordCancelled(a.State) }
		if e.keptJobs.Cancel(e.now(), s.id, caller) {
			return
		}
		delete(e.waiting, caller)
		if w.store.silent || w.store.busy || e.storeCut {
			return
		}
		c, err := jobstore.NewReader(instantStore{w.store}, layout, time.Hour).Cancel(context.Background(), s.id)
		if err != nil {
			w.violate("cancel: %v", err)
		}
		s.recordCancelled(c.State)
	})
}

// recordCancelled records the answer to a caller's cancellation.
func (s *submission) recordCancelled(state verdict.State) {
	s.w.logf("cancelling job %v is answered %s", s.id, state)
	if state == verdict.Cancelled && s.cancelledAt.IsZero() {
		s.cancelledAt = s.w.Now()
	}
}

// instantStore is a store whose calls take no time.
type instantStore struct{ s *simStore }

func (a instantStore) Commit(_ context.Context, t rows.Txn) (rows.Version, error) {
	if !a.s.commit(t) {
		return 0, rows.ErrConflict
	}
	return a.s.Version, nil
}

func (a instantStore) Read(_ context.Context, k rows.Key) (rows.Row, error) { return a.s.Rows[k], nil }

func (a instantStore) Range(_ context.Context, r rows.Range) (rows.Page, error) {
	return a.s.list(r.Table), nil
}

// checkStart records the start of a task, and checks it if the job is kept.
func (s *submission) checkStart(task job.TaskID) {
	w, t := s.w, &s.tasks[task.Index]
	t.started = w.Now()
	if !s.kept {
		return
	}
	switch {
	case t.doneForgotten:
		w.violate("%v starts though the end of a run that went well was noted", task)
	case t.failuresForgotten >= publishRoute.Attempts:
		w.violate("%v starts though %d failures of it were noted", task, t.failuresForgotten)
	case !s.cancelledAt.IsZero() && w.Now().Sub(s.cancelledAt) > cancelBound:
		w.violate("%v starts long after its job was cancelled", task)
	}
}

// simEnd is an end that an upstream lists.
type simEnd struct {
	call.Finished
	at time.Time
}

// recordForgotten checks and records an end that the upstream may forget. An end is void if the lease has lapsed since.
func (u *simUpstream) recordForgotten(e simEnd) {
	s := u.w.jobs[e.Task.Job]
	if !s.kept || u.lapsedSince(e.at) {
		return
	}
	t := &s.tasks[e.Task.Index]
	switch e.Result {
	case call.ResultDone:
		t.doneForgotten = true
		if t.started.After(e.at) {
			u.w.violate("the end of a run of %v that went well is noted, and it has started again since", e.Task)
		}
	case call.ResultFailed:
		t.failuresForgotten++
	}
}

// lapsedSince reports whether the lease has lapsed since a moment, or is lapsed now.
func (u *simUpstream) lapsedSince(at time.Time) bool {
	return !u.lastLapse.Before(at) || u.clock() > u.leaseUntil
}

// lapseTime returns when the present lease ends or ended.
func (u *simUpstream) lapseTime() time.Time {
	return u.born.Add(time.Duration(float64(u.leaseUntil) / u.rate))
}

// checkKept checks that every kept job has ended, and how.
func (w *world) checkKept() {
	for _, s := range w.order {
		if !s.kept {
			continue
		}
		if w.store.Rows[layout.OpenKey(s.id)].Version != 0 {
			w.violate("job %v is still open", s.id)
		}
		row := w.store.Rows[layout.EndedKey(s.id)]
		if row.Version == 0 {
			if s.accepted {
				w.violate("job %v was accepted, and is lost", s.id)
			}
			continue
		}
		ended, err := record.Decode[record.EndedJob](row)
		if err != nil {
			w.violate("a row that can't be read: %v", err)
		}
		if ended.IsTombstone() {
			s.checkTombstone()
			continue
		}
		s.checkEndState(ended.State)
	}
	for _, e := range w.entries {
		if n := e.keptJobs.Len(); n > 0 && e.alive {
			w.violate("%s still holds %d kept jobs", e.name, n)
		}
	}
	for _, a := range w.agents {
		if n := len(a.upstream.ends); n > 0 && a.alive {
			w.violate("%s still lists %d ends, the first that of run %d of %v", a.upstream.id, n, a.upstream.ends[0].Run, a.upstream.ends[0].Task)
		}
	}
}

// logWriter writes the log lines of a process to the log of the schedule.
type logWriter struct {
	w    *world
	name string
}

func (n logWriter) Write(line []byte) (int, error) {
	n.w.logf("%s: %s", n.name, strings.TrimSpace(string(line)))
	return len(line), nil
}

// newLog returns a process log that is written to the log of the schedule.
func (w *world) newLog(name string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(logWriter{w, name})
	l.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true, DisableColors: true})
	return logrus.NewEntry(l)
}
