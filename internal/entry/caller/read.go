package caller

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"hillreel/api"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
)

// requestError is a request that can't be taken, with the field at fault.
type requestError struct {
	field, message string
	reason         verdict.Reason
}

func badField(field, message string) *requestError {
	return &requestError{field, message, verdict.BadRequest}
}

// decode reads a JSON body within the limit; unknown fields are refused.
func (s *Server) decode(w http.ResponseWriter, r *http.Request, into any) *requestError {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, int64(s.set.Entry.MaxBody)))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil && !d.More():
		return nil
	case err == nil:
		return badField("body", "more than one JSON value")
	case errors.As(err, &tooLarge):
		return &requestError{"body", fmt.Sprintf("larger than %d bytes", tooLarge.Limit), verdict.TooLarge}
	case errors.As(err, &wrongType):
		return badField(wrongType.Field, "want "+wrongType.Type.String()+", not "+wrongType.Value)
	}
	return badField("body", err.Error())
}

func (s *Server) readSpec(w http.ResponseWriter, r *http.Request) (*wire.JobSpec, *requestError) {
	var in api.Job
	if bad := s.decode(w, r, &in); bad != nil {
		return nil, bad
	}
	return s.specOf(in)
}

// specOf checks a job field by field.
func (s *Server) specOf(in api.Job) (*wire.JobSpec, *requestError) {
	switch {
	case in.Service == "":
		return nil, badField("service", "must be set")
	case len(in.Tasks) == 0:
		return nil, badField("tasks", "must hold at least one task")
	case len(in.Tasks) > s.set.Entry.MaxTasks:
		return nil, badField("tasks", fmt.Sprintf("holds %d, at most %d are allowed", len(in.Tasks), s.set.Entry.MaxTasks))
	}
	spec := &wire.JobSpec{
		Service: in.Service, Team: in.Team, DeadlineMs: in.DeadlineMs, Repeatable: in.Repeatable,
	}
	for i, t := range in.Tasks {
		if t.Kind == "" {
			return nil, badField(fmt.Sprintf("tasks[%d].kind", i), "must be set")
		}
		spec.Tasks = append(spec.Tasks, &wire.TaskSpec{Kind: t.Kind, Payload: t.Payload, EstimateMs: t.EstimateMs})
	}
	return spec, nil
}

func (s *Server) refuse(w http.ResponseWriter, bad *requestError, v verdict.Verdict) {
	a := &api.Answer{
		State: verdict.Refused, Verdict: v, Reason: bad.reason, Field: bad.field,
		Message: bad.field + ": " + bad.message + "; this request started nothing",
	}
	write(w, statusOf(a), a)
}
