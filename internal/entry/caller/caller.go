// Package caller serves hillreel's own HTTP API for callers. Every answer, also every error, is JSON with a
// state, a verdict and a reason.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"hillreel/api"
	"hillreel/internal/core/boottime"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/core/web"
	"hillreel/internal/entry/dispatch"
)

// Jobs is what the API needs of the entry.
type Jobs interface {
	Submit(ctx context.Context, r dispatch.Request) (dispatch.Answer, error)
	// Cancel ends a job and returns the state in which it has ended, State returns its state; both return verdict.Unknown
	// when there is no such job.
	Cancel(ctx context.Context, id job.ID) (verdict.State, error)
	State(ctx context.Context, id job.ID) (verdict.State, error)
	Ready() (bool, string)
}

// Services is what operators say of services.
type Services interface {
	// Knows tells whether jobs of a service are taken.
	Knows(s ident.Service) bool
	// MaxTasks bounds a job, Deadline is given to jobs that name none; zero is none.
	MaxTasks(s ident.Service) int
	Deadline(s ident.Service) time.Duration
}

// Handler serves the API.
type Handler struct {
	jobs Jobs
	// services returns what is in force now.
	services func() Services
	maxBody  int64
	log      *logrus.Entry
}

// New returns the API's routes; maxBody bounds a request's body, in bytes.
func New(jobs Jobs, services func() Services, maxBody int64, log *logrus.Entry) http.Handler {
	h := &Handler{jobs, services, maxBody, log}
	r := chi.NewRouter()
	r.Post("/v1/jobs", h.postJob)
	r.Put("/v1/jobs/{id}", h.putJob)
	r.Get("/v1/jobs/{id}", h.getJob)
	r.Delete("/v1/jobs/{id}", h.deleteJob)
	r.Get("/readyz", web.Readiness(jobs.Ready)) // the balancer's check: an entry that leaves is not ready
	r.NotFound(h.notFound)
	r.MethodNotAllowed(h.notFound)
	return r
}

// postJob runs a job under an id that nobody else knows: if the answer is lost, so is the job.
func (h *Handler) postJob(w http.ResponseWriter, r *http.Request) {
	h.runJob(w, r, job.ID(rand.Uint64()))
}

// putJob runs a job under the caller's id. Sent again after a lost answer, it runs anew or joins the run that is
// under way, and no task of it ever runs twice at a time.
func (h *Handler) putJob(w http.ResponseWriter, r *http.Request) {
	id, ok := h.parseJobID(w, r)
	if !ok {
		return
	}
	h.runJob(w, r, id)
}

// jobID reads the id in a request's path; without a sound one the request is refused.
func (h *Handler) parseJobID(w http.ResponseWriter, r *http.Request) (id job.ID, ok bool) {
	id, err := job.ParseID(chi.URLParam(r, "id"))
	if err != nil {
		h.refuse(w, http.StatusBadRequest, verdict.BadID, "id", err.Error())
		return 0, false
	}
	return id, true
}

// run reads a job, submits it and answers with its end or, if it is to be kept, with its acceptance.
func (h *Handler) runJob(w http.ResponseWriter, r *http.Request, id job.ID) {
	began := boottime.Now()
	var body api.Job
	if !h.readBody(w, r, &body) {
		return
	}
	request, field, message := parseJob(&body)
	if field != "" {
		h.refuse(w, http.StatusBadRequest, verdict.BadRequest, field, message)
		return
	}
	request.Job = id
	if field, message := h.applyServicePolicy(&request, &body, began); field != "" {
		h.refuse(w, http.StatusBadRequest, verdict.BadRequest, field, message)
		return
	}
	a, err := h.jobs.Submit(r.Context(), request)
	if err != nil {
		// A caller that has closed only its sending side still reads, and must not take nothing for a result.
		h.log.WithFields(logrus.Fields{"job": id, "after_ms": boottime.Since(began).Milliseconds(), "error": err.Error()}).Info("caller_gone")
		a = dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.CallerGone}
	}
	h.write(w, httpStatus(a), &api.Answer{
		ID: id.String(), State: a.State, Verdict: a.Verdict, Reason: a.Reason, RetryAfterMs: a.RetryAfter.Milliseconds(),
	})
}

// readBody reads a request's body into a job; one that can't be read is refused.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, body *api.Job) (ok bool) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, h.maxBody+1))
	if err != nil {
		h.refuse(w, http.StatusBadRequest, verdict.BadRequest, "body", err.Error())
		return false
	}
	if int64(len(raw)) > h.maxBody {
		h.refuse(w, http.StatusRequestEntityTooLarge, verdict.TooLarge, "body", "the body is too large")
		return false
	}
	if err := json.Unmarshal(raw, body); err != nil {
		h.refuse(w, http.StatusBadRequest, verdict.BadRequest, "body", err.Error())
		return false
	}
	return true
}

// apply puts in force what operators say of the job's service, and the deadline. A problem is told by its field and
// a message.
func (h *Handler) applyServicePolicy(r *dispatch.Request, body *api.Job, began time.Time) (field, message string) {
	in := h.services()
	if !in.Knows(r.Route.Service) {
		return "service", "there is no such service"
	}
	if most := in.MaxTasks(r.Route.Service); most > 0 && r.Spec.TaskCount() > most {
		return "steps", fmt.Sprintf("%d tasks; the service allows %d", r.Spec.TaskCount(), most)
	}
	patience := time.Duration(body.DeadlineMs) * time.Millisecond
	if patience == 0 {
		patience = in.Deadline(r.Route.Service)
	}
	if patience > 0 {
		r.Deadline = began.Add(patience)
	}
	return "", ""
}

// status is the HTTP status of an answer.
func httpStatus(a dispatch.Answer) int {
	switch {
	case a.State == verdict.Complete, a.State == verdict.Failed:
		return http.StatusOK
	case a.State == verdict.Accepted:
		return http.StatusAccepted
	case a.State == verdict.Unresolved:
		return http.StatusGatewayTimeout
	case a.Reason == verdict.DifferentBody:
		return http.StatusConflict
	case a.Reason == verdict.TooLarge:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// getJob tells a job's state. Of a job that is not kept, nothing is known once it was answered.
func (h *Handler) getJob(w http.ResponseWriter, r *http.Request) { h.answerState(w, r, h.jobs.State) }

// deleteJob ends a job: nothing of it starts any more, and what runs is stopped.
func (h *Handler) deleteJob(w http.ResponseWriter, r *http.Request) {
	h.answerState(w, r, h.jobs.Cancel)
}

// state answers with a job's state, as ask tells it.
func (h *Handler) answerState(w http.ResponseWriter, r *http.Request, ask func(context.Context, job.ID) (verdict.State, error)) {
	id, ok := h.parseJobID(w, r)
	if !ok {
		return
	}
	state, err := ask(r.Context(), id)
	a := &api.Answer{ID: id.String(), State: state, Verdict: verdict.MayHaveRun}
	switch {
	case err != nil:
		a.State, a.Reason, a.Message = verdict.Unresolved, verdict.Unreachable, err.Error()
		h.write(w, http.StatusServiceUnavailable, a)
	case state == verdict.Unknown:
		a.Reason, a.Message = verdict.NotFound, "there is no such job; answered jobs that are not kept are forgotten"
		h.write(w, http.StatusNotFound, a)
	case state == verdict.Cancelled:
		a.Reason = verdict.ByCaller
		h.write(w, http.StatusOK, a)
	case state == verdict.Complete || state == verdict.Failed:
		a.Verdict = verdict.Ran
		h.write(w, http.StatusOK, a)
	default:
		h.write(w, http.StatusAccepted, a)
	}
}

func (h *Handler) notFound(w http.ResponseWriter, _ *http.Request) {
	h.refuse(w, http.StatusNotFound, verdict.NotFound, "path", "there is no such call")
}

// refuse answers a request that is not taken. It starts nothing; an earlier one under the same id may have.
func (h *Handler) refuse(w http.ResponseWriter, code int, reason verdict.Reason, field, message string) {
	h.log.WithFields(logrus.Fields{"status": code, "reason": reason, "field": field, "message": message}).Info("request_refused")
	h.write(w, code, &api.Answer{State: verdict.Refused, Verdict: verdict.MayHaveRun, Reason: reason, Field: field, Message: message})
}

func (h *Handler) write(w http.ResponseWriter, code int, a *api.Answer) {
	if err := web.WriteJSON(w, code, a); err != nil {
		h.log.WithField("error", err.Error()).Debug("answer_not_written")
	}
}
