// Package caller serves hillreel's own HTTP API for callers. Every answer, including every error, is a JSON object with a state, a
// verdict and, where there is one, a reason.
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

// Jobs runs and cancels jobs, and reports their states.
type Jobs interface {
	// Submit submits a job and waits for its answer. An error means that ctx ended first, or that the entry stopped.
	Submit(ctx context.Context, r dispatch.Request) (dispatch.Answer, error)
	// Cancel cancels a job and returns the state in which it has ended, or verdict.Unknown if the job does not exist.
	Cancel(ctx context.Context, id job.ID) (verdict.State, error)
	// State returns a job's state, or verdict.Unknown if the job does not exist.
	State(ctx context.Context, id job.ID) (verdict.State, error)
	// Ready reports whether the entry wants new connections, and why.
	Ready() (bool, string)
}

// Services holds the operators' configuration of services.
type Services interface {
	// Knows reports whether jobs of a service are accepted.
	Knows(s ident.Service) bool
	// MaxTasks returns the largest number of tasks in a job of a service, or zero for no bound.
	MaxTasks(s ident.Service) int
	// Deadline returns the deadline of a service's jobs that name none, or zero for no deadline.
	Deadline(s ident.Service) time.Duration
}

// Handler serves the API.
type Handler struct {
	jobs Jobs
	// services returns the configuration in force.
	services func() Services
	maxBody  int64
	log      *logrus.Entry
}

// New returns a handler that serves the API. services returns the configuration in force; maxBody bounds a request's body, in bytes.
func New(jobs Jobs, services func() Services, maxBody int64, log *logrus.Entry) http.Handler {
	h := &Handler{jobs, services, maxBody, log}
	r := chi.NewRouter()
	r.Post("/v1/jobs", h.postJob)
	r.Put("/v1/jobs/{id}", h.putJob)
	r.Get("/v1/jobs/{id}", h.getJob)
	r.Delete("/v1/jobs/{id}", h.deleteJob)
	r.Get("/readyz", web.Readiness(jobs.Ready)) // checked by the load balancer; an entry that leaves is not ready
	r.NotFound(h.notFound)
	r.MethodNotAllowed(h.notFound)
	return r
}

// postJob runs a job under a random id. If the answer is lost, the caller can't ask for the job again, because it doesn't know the id.
func (h *Handler) postJob(w http.ResponseWriter, r *http.Request) {
	h.runJob(w, r, job.ID(rand.Uint64()))
}

// putJob runs a job under the caller's id. If the caller sends the job again after a lost answer, the job runs again, or the request
// joins the job that is still running. No task of the job ever runs twice at the same time.
func (h *Handler) putJob(w http.ResponseWriter, r *http.Request) {
	id, ok := h.parseJobID(w, r)
	if !ok {
		return
	}
	h.runJob(w, r, id)
}

// parseJobID parses the id in a request's path. It refuses the request if the id is malformed.
func (h *Handler) parseJobID(w http.ResponseWriter, r *http.Request) (id job.ID, ok bool) {
	id, err := job.ParseID(chi.URLParam(r, "id"))
	if err != nil {
		h.refuse(w, http.StatusBadRequest, verdict.BadID, "id", err.Error())
		return 0, false
	}
	return id, true
}

// runJob parses a job and submits it. It answers when the job has ended or, for a job to be kept, when the job is accepted.
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
		// A caller that has closed only its sending side still reads. It must not take an empty answer for a result.
		h.log.WithFields(logrus.Fields{"job": id, "after_ms": boottime.Since(began).Milliseconds(), "error": err.Error()}).Info("caller_gone")
		a = dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.CallerGone}
	}
	h.write(w, httpStatus(a), &api.Answer{
		ID: id.String(), State: a.State, Verdict: a.Verdict, Reason: a.Reason, RetryAfterMs: a.RetryAfter.Milliseconds(),
	})
}

// readBody decodes a request's body into body. It refuses the request if the body is malformed or too large.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, body *api.Job) (ok bool) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, h.maxBody+1))
	if err != nil {
		h.refuse(w, http.StatusBadRequest, verdict.BadRequest, "body", err.Error())
		return false
	}
	if int64(len(raw)) > h.maxBody {
		h.refuse(w, http.StatusRequestEntityTooLarge, verdict.TooLarge, "body", fmt.Sprintf("the body is larger than %d bytes", h.maxBody))
		return false
	}
	if err := json.Unmarshal(raw, body); err != nil {
		h.refuse(w, http.StatusBadRequest, verdict.BadRequest, "body", err.Error())
		return false
	}
	return true
}

// applyServicePolicy checks a job against its service's configuration and sets the job's deadline. If the job is invalid, it returns the
// name of the offending field and a message.
func (h *Handler) applyServicePolicy(r *dispatch.Request, body *api.Job, began time.Time) (field, message string) {
	services := h.services()
	if !services.Knows(r.Route.Service) {
		return "service", fmt.Sprintf("service %.64q does not exist", r.Route.Service)
	}
	if limit := services.MaxTasks(r.Route.Service); limit > 0 && r.Spec.TaskCount() > limit {
		return "steps", fmt.Sprintf("the job has %d tasks, but the service allows at most %d", r.Spec.TaskCount(), limit)
	}
	wait := time.Duration(body.DeadlineMs) * time.Millisecond
	if wait == 0 {
		wait = services.Deadline(r.Route.Service)
	}
	if wait > 0 {
		r.Deadline = began.Add(wait)
	}
	return "", ""
}

// httpStatus returns the HTTP status of an answer.
func httpStatus(a dispatch.Answer) int {
	switch {
	case a.State == verdict.Complete, a.State == verdict.Failed, a.State == verdict.Cancelled:
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

// getJob answers with a job's state. A job that is not kept is unknown once it was answered.
func (h *Handler) getJob(w http.ResponseWriter, r *http.Request) { h.answerState(w, r, h.jobs.State) }

// deleteJob cancels a job: no further task of it starts, and its running tasks are stopped.
func (h *Handler) deleteJob(w http.ResponseWriter, r *http.Request) {
	h.answerState(w, r, h.jobs.Cancel)
}

// answerState answers with a job's state, which it gets by calling ask.
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
		a.Reason, a.Message = verdict.NotFound, "the job does not exist; a job that is not kept is forgotten once it is answered"
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
	h.refuse(w, http.StatusNotFound, verdict.NotFound, "path", "the API has no call with this method and path")
}

// refuse answers a request that is not accepted. The verdict is MayHaveRun, because an earlier request with the same id may have
// started the job.
func (h *Handler) refuse(w http.ResponseWriter, code int, reason verdict.Reason, field, message string) {
	h.log.WithFields(logrus.Fields{"status": code, "reason": reason, "field": field, "message": message}).Info("request_refused")
	h.write(w, code, &api.Answer{State: verdict.Refused, Verdict: verdict.MayHaveRun, Reason: reason, Field: field, Message: message})
}

func (h *Handler) write(w http.ResponseWriter, code int, a *api.Answer) {
	if err := web.WriteJSON(w, code, a); err != nil {
		h.log.WithField("error", err.Error()).Debug("answer_not_written")
	}
}
