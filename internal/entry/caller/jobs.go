package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/api"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/job"
	"hillreel/internal/link/wire"
)

// useWithinPart is the part of the retention in which an id may be submitted first.
const useWithinPart = 2

func (s *Server) postIDs(w http.ResponseWriter, r *http.Request) {
	var req api.IDRequest
	if bad := s.decode(w, r, &req); bad != nil {
		s.refuse(w, bad, verdict.NotRun)
		return
	}
	if req.Count < 1 || req.Count > maxIDs {
		s.refuse(w, badField("count", "must be from 1 to "+strconv.Itoa(maxIDs)), verdict.NotRun)
		return
	}
	ids, err := s.jobs.Mint(ident.Service(req.Service), req.Count)
	if err != nil {
		s.refuseError(w, err)
		return
	}
	out := api.IDs{UseWithinMs: int64(s.set.Jobs.Retention/time.Millisecond) / useWithinPart}
	for _, id := range ids {
		out.IDs = append(out.IDs, id.Text)
	}
	write(w, http.StatusOK, out)
}

// postJob runs a job that its caller will never submit again: the id is minted here.
func (s *Server) postJob(w http.ResponseWriter, r *http.Request) {
	spec, bad := s.readSpec(w, r)
	s.runUnnamed(w, r, spec, bad)
}

// postTask runs one task on the same path as a job.
func (s *Server) postTask(w http.ResponseWriter, r *http.Request) {
	var in api.SingleTask
	bad := s.decode(w, r, &in)
	var spec *wire.JobSpec
	if bad == nil {
		spec, bad = s.specOf(in.Job())
	}
	s.runUnnamed(w, r, spec, bad)
}

func (s *Server) runUnnamed(w http.ResponseWriter, r *http.Request, spec *wire.JobSpec, bad *requestError) {
	if bad != nil {
		s.refuse(w, bad, verdict.NotRun)
		return
	}
	ids, err := s.jobs.Mint(ident.Service(spec.GetService()), 1)
	if err != nil {
		s.refuseError(w, err)
		return
	}
	s.serve(w, r, job.Request{ID: ids[0], Op: job.OpSubmit, Spec: spec})
}

// putJob submits a job under an id; submitting it again attaches to it.
func (s *Server) putJob(w http.ResponseWriter, r *http.Request) {
	id, ok := s.readID(w, r)
	if !ok {
		return
	}
	spec, bad := s.readSpec(w, r)
	if bad == nil && spec.GetService() != string(id.Service) {
		bad = badField("service", "the id was minted for service "+string(id.Service))
	}
	if bad != nil {
		// An earlier submission of this id may have run.
		s.refuse(w, bad, verdict.MayHaveRun)
		return
	}
	s.serve(w, r, job.Request{ID: id, Op: job.OpSubmit, Spec: spec})
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request) {
	id, ok := s.readID(w, r)
	if !ok {
		return
	}
	op := job.OpRead
	if r.URL.Query().Get("wait") != "" {
		op = job.OpWait
	}
	s.serve(w, r, job.Request{ID: id, Op: op})
}

func (s *Server) deleteJob(w http.ResponseWriter, r *http.Request) {
	id, ok := s.readID(w, r)
	if !ok {
		return
	}
	s.serve(w, r, job.Request{ID: id, Op: job.OpCancel})
}

// serve waits for the answer. A caller that goes away does not stop its job.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, req job.Request) {
	select {
	case a := <-s.jobs.Do(req):
		own := a.GetId() == req.ID.Text
		invariant.Check(own, invariant.AnswerIsOwn, func() logrus.Fields { return logrus.Fields{"job": req.ID.Key} })
		if own {
			s.answer(w, req, a)
		}
	case <-r.Context().Done():
	}
}

func (s *Server) answer(w http.ResponseWriter, req job.Request, a *wire.Answer) {
	out := &api.Answer{
		ID: a.GetId(), State: verdict.State(a.GetState()), Verdict: verdict.Verdict(a.GetVerdict()),
		Reason: verdict.Reason(a.GetReason()), Message: a.GetMessage(), RetryAfterMs: a.GetRetryAfterMs(),
		Messages: a.GetMessages(),
	}
	for _, t := range a.GetTasks() {
		out.Tasks = append(out.Tasks, taskAnswer(t))
	}
	if out.State != verdict.Complete && out.Message == "" {
		out.Message = explain(out)
	}
	s.log.WithFields(logrus.Fields{
		"job": req.ID.Key, "op": req.Op, "state": out.State, "verdict": out.Verdict, "reason": out.Reason,
	}).Debug("job_answered")
	retryHeader(w, out)
	write(w, statusOf(out), out)
}

func taskAnswer(t *wire.TaskAnswer) api.TaskAnswer {
	out := api.TaskAnswer{
		Index: t.GetIndex(), Verdict: verdict.Verdict(t.GetVerdict()), OK: t.GetOk(), Status: t.GetStatus(),
		AnswerGone: t.GetAnswerGone(), Reason: verdict.Reason(t.GetReason()),
	}
	if json.Valid(t.GetAnswer()) {
		out.Answer = t.GetAnswer()
	} else {
		out.AnswerBytes = t.GetAnswer()
	}
	return out
}

// statusOf gives the HTTP status. A job that ended, complete or failed, was served: its failure stands in
// the body, but for what the caller should try again later under a new id.
func statusOf(a *api.Answer) int {
	switch a.Reason {
	case verdict.Overloaded, verdict.Leaving, verdict.NoAgents:
		return http.StatusServiceUnavailable
	case verdict.DifferentBody:
		return http.StatusConflict
	case verdict.Expired:
		return http.StatusGone
	case verdict.BadID, verdict.BadRequest:
		return http.StatusBadRequest
	case verdict.TooLarge:
		return http.StatusRequestEntityTooLarge
	}
	switch a.State {
	case verdict.Complete, verdict.Failed:
		return http.StatusOK
	case verdict.Running:
		return http.StatusAccepted
	case verdict.Unknown:
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

func explain(a *api.Answer) string {
	switch a.State {
	case verdict.Failed:
		return "the job failed: " + string(a.Reason) + "; each task has its verdict"
	case verdict.Running:
		return "the job is running"
	case verdict.Unresolved:
		return "the outcome can't be told now: " + string(a.Reason) + "; ask again under the same id"
	}
	return string(a.Reason)
}

func retryHeader(w http.ResponseWriter, a *api.Answer) {
	if a.RetryAfterMs > 0 {
		seconds := (a.RetryAfterMs + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatUint(uint64(seconds), 10))
	}
}

func (s *Server) readID(w http.ResponseWriter, r *http.Request) (ident.JobID, bool) {
	id, err := s.jobs.Signer().Parse(chi.URLParam(r, "id"))
	if err != nil {
		// No job can exist under an id that no entry signed.
		write(w, http.StatusBadRequest, &api.Answer{
			State: verdict.Refused, Verdict: verdict.NotRun, Reason: verdict.BadID, Field: "id", Message: err.Error(),
		})
		return id, false
	}
	return id, true
}

func (s *Server) refuseError(w http.ResponseWriter, err error) {
	var ve *verdict.Error
	a := &api.Answer{State: verdict.Refused, Verdict: verdict.Of(err), Message: err.Error()}
	if errors.As(err, &ve) {
		a.Reason = ve.Reason
		a.RetryAfterMs = uint32(time.Second / time.Millisecond)
	}
	retryHeader(w, a)
	write(w, statusOf(a), a)
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	write(w, http.StatusNotFound, &api.Answer{
		State: verdict.Refused, Verdict: verdict.NotRun, Reason: verdict.NotFound,
		Message: "no such call: " + r.Method + " on this path; docs/API.md lists them",
	})
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v) //nolint:errcheck // the caller has gone
}
