// Package operator serves an entry's API for operators: versioned configuration objects, conditional changes, dry runs, the audit
// trail, burn rates, and the state of zones and upstreams. docs/ADMIN.md describes the calls.
package operator

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/config/object"
	"hillreel/internal/config/store"
	"hillreel/internal/config/view"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
	"hillreel/internal/core/verdict"
	"hillreel/internal/core/web"
	"hillreel/internal/entry/burn"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/shares"
)

// Store stores configuration objects and their audit trail.
type Store interface {
	Apply(ctx context.Context, c store.Change) (store.Audit, error)
	History(ctx context.Context, r object.Ref) ([]store.Audit, error)
}

// Objects is the entry's local copy of the configuration.
type Objects interface{ View() *view.View }

// Upstreams lists the upstreams whose agents are linked, and the state of each availability zone. It also knows the routes and who asks
// for what.
type Upstreams interface {
	Upstreams() []dispatch.Upstream
	Zones() []dispatch.ZoneStatus
	// Routes returns the routes in force, or nil before there are any.
	Routes() *route.Table
	// PreviewShares returns what each team would get now if other shares were in force.
	PreviewShares(all []shares.Share) []shares.Status
}

// BurnReporter reports how fast services use up their error budgets.
type BurnReporter interface{ Report() []burn.Service }

// Server serves the operators' API.
type Server struct {
	store     Store
	objects   Objects
	upstreams Upstreams
	burn      BurnReporter
	log       *logrus.Entry
}

// New returns a Server.
func New(s Store, o Objects, u Upstreams, b BurnReporter, log *logrus.Entry) *Server {
	return &Server{s, o, u, b, log}
}

// Routes adds the API's routes to r. Authorization must happen before the handlers are called.
func (s *Server) Routes(r chi.Router) {
	r.Get("/v1/config", s.list)
	r.Get("/v1/config/{kind}", s.list)
	r.Get("/v1/config/{kind}/{name}", s.get)
	r.Put("/v1/config/{kind}/{name}", s.put)
	r.Patch("/v1/config/{kind}/{name}", s.patch)
	r.Delete("/v1/config/{kind}/{name}", s.delete)
	r.Get("/v1/audit", s.audit)
	r.Get("/v1/burn", func(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, s.burn.Report()) })
	r.Get("/v1/zones", func(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, s.upstreams.Zones()) })
	r.Get("/v1/upstreams", func(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, s.upstreams.Upstreams()) })
}

// Refusal is the body of every error.
type Refusal struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Field   string          `json:"field,omitempty"`
	Message string          `json:"message"`
	// Present is the present object, if the refused change conflicts with it.
	Present *object.Object `json:"present,omitempty"`
	// ChangeID is the change's id. A change that is sent again with this id takes effect only once.
	ChangeID string `json:"change_id,omitempty"`
}

// List holds objects of one version of the configuration.
type List struct {
	Version ident.ConfigVersion `json:"config_version"`
	Objects []object.Object     `json:"objects"`
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind := object.Kind(chi.URLParam(r, "kind"))
	present := s.objects.View()
	out := List{Version: present.Version, Objects: present.List(kind)}
	if out.Objects == nil {
		out.Objects = []object.Object{}
	}
	write(w, http.StatusOK, out)
}

// refOf returns the kind and name of the object in a request's path.
func refOf(r *http.Request) object.Ref {
	return object.Ref{Kind: object.Kind(chi.URLParam(r, "kind")), Name: object.Name(chi.URLParam(r, "name"))}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, ok := s.objects.View().Find(refOf(r))
	if !ok {
		writeRefusal(w, http.StatusNotFound, Refusal{
			Verdict: verdict.NotRun, Reason: verdict.NotFound, Field: "name", Message: refOf(r).String() + " does not exist",
		})
		return
	}
	w.Header().Set("ETag", etag(o.Version))
	write(w, http.StatusOK, o)
}

// AuditTrail holds the changes of the audit trail, oldest first.
type AuditTrail struct {
	Changes []store.Audit `json:"changes"`
}

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	changes, err := s.store.History(r.Context(), object.Ref{Kind: object.Kind(q.Get("kind")), Name: object.Name(q.Get("name"))})
	if err != nil {
		s.writeError(w, err, "")
		return
	}
	if changes == nil {
		changes = []store.Audit{}
	}
	write(w, http.StatusOK, AuditTrail{changes})
}

// writeError answers a request with the status and body that correspond to an error.
func (s *Server) writeError(w http.ResponseWriter, err error, changeID string) {
	var field *object.FieldError
	var denied *forbiddenError
	var conflict *store.Conflict
	out := Refusal{Verdict: verdict.Of(err), Message: err.Error(), ChangeID: changeID}
	status := http.StatusServiceUnavailable
	var ve *verdict.Error
	switch {
	case errors.As(err, &field):
		status = http.StatusBadRequest
		out.Verdict, out.Reason, out.Field = verdict.NotRun, verdict.BadRequest, field.Field
	case errors.As(err, &denied):
		status = http.StatusForbidden
		out.Verdict, out.Reason = verdict.NotRun, verdict.Unauthorized
	case errors.As(err, &conflict):
		status = http.StatusConflict
		out.Verdict, out.Reason, out.Present = verdict.NotRun, verdict.Conflict, &conflict.Current
	case errors.As(err, &ve):
		out.Reason = ve.Reason
		if ve.Reason == verdict.BadRequest {
			status, out.Field = http.StatusBadRequest, "change_id"
		}
	}
	writeRefusal(w, status, out)
}

func writeRefusal(w http.ResponseWriter, status int, r Refusal) { write(w, status, r) }

func write(w http.ResponseWriter, status int, v any) {
	web.WriteJSON(w, status, v) //nolint:errcheck // a write fails only if the operator has gone
}
