package operator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"hillreel/internal/config/object"
	"hillreel/internal/config/store"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/ops"
	"hillreel/internal/core/verdict"
)

const (
	// maxSpec bounds an object's content, in bytes.
	maxSpec = 64 << 10
	// HeaderChange is the header that names a change, so that sending it again does not repeat it.
	HeaderChange = "Hillreel-Change-Id"
)

// etag is an object's version as a header has it.
func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// Changed is the answer to an accepted change.
type Changed struct {
	Object object.Object `json:"object"`
	// Version is the configuration's version that has the change; an entry has it in force once it lists it.
	Version  ident.ConfigVersion `json:"config_version"`
	ChangeID string              `json:"change_id"`
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(body json.RawMessage, _ object.Object) (json.RawMessage, error) { return body, nil })
}

func (s *Server) patch(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(body json.RawMessage, present object.Object) (json.RawMessage, error) {
		return mergePatch(present.Spec, body)
	})
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(json.RawMessage, object.Object) (json.RawMessage, error) { return nil, nil })
}

// content makes an object's new spec of a request's body and the present object; nil deletes.
type specFunc func(body json.RawMessage, present object.Object) (json.RawMessage, error)

// change does one conditional change.
func (s *Server) change(w http.ResponseWriter, r *http.Request, newSpec specFunc) {
	c := store.Change{ID: r.Header.Get(HeaderChange), Who: ops.PrincipalOf(r.Context()).Name, Ref: refOf(r)}
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	version, err := precondition(r)
	if err != nil {
		writeRefusal(w, http.StatusPreconditionRequired, Refusal{
			Verdict: verdict.NotRun, Reason: verdict.BadRequest, Field: "If-Match", Message: err.Error(),
		})
		return
	}
	c.If = version
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSpec))
	if err != nil {
		s.writeError(w, &object.FieldError{Field: "spec", Reason: err.Error()}, c.ID)
		return
	}
	present, _ := s.objects.View().Find(c.Ref)
	if c.Spec, err = newSpec(body, present); err != nil {
		s.writeError(w, err, c.ID)
		return
	}
	if err := s.authorizeAndValidate(r, c); err != nil {
		s.writeError(w, err, c.ID)
		return
	}
	if r.URL.Query().Get("dry_run") != "" {
		write(w, http.StatusOK, s.dryRun(c))
		return
	}
	s.apply(w, r, c)
}

// apply puts a change that was checked into the store, and answers.
func (s *Server) apply(w http.ResponseWriter, r *http.Request, c store.Change) {
	audit, err := s.store.Apply(r.Context(), c)
	fields := logrus.Fields{"object": c.Ref, "who": c.Who, "change": c.ID}
	if err != nil {
		fields["error"] = err.Error()
		s.log.WithFields(fields).Warn("config_change_refused")
		s.writeError(w, err, c.ID)
		return
	}
	fields["version"] = audit.Version
	s.log.WithFields(fields).Info("config_changed")
	w.Header().Set("ETag", etag(audit.To))
	write(w, http.StatusOK, Changed{object.Object{Ref: c.Ref, Version: audit.To, Spec: c.Spec}, audit.Version, c.ID})
}

// forbidden says that a principal lacks the right to a change.
type forbiddenError struct{ message string }

// Error says why.
func (f *forbiddenError) Error() string { return f.message }

// precondition reads the version that the operator saw: If-Match with an ETag, or If-None-Match: * to create.
func precondition(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	v, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil || v == 0 {
		return 0, &object.FieldError{Field: "If-Match", Reason: "give the ETag that you read, or If-None-Match: * to create"}
	}
	return v, nil
}

// check refuses what the principal may not do, and specs that can't be meant.
func (s *Server) authorizeAndValidate(r *http.Request, c store.Change) error {
	if role := ops.PrincipalOf(r.Context()).Role; role != ops.RoleAll {
		return &forbiddenError{"the role " + string(role) + " changes nothing"}
	}
	if c.Spec == nil {
		return nil
	}
	return object.Check(c.Ref, c.Spec)
}

// mergePatch applies a JSON merge patch (RFC 7396).
func mergePatch(spec, patch json.RawMessage) (json.RawMessage, error) {
	var base, change any
	if len(spec) > 0 {
		if err := json.Unmarshal(spec, &base); err != nil {
			return nil, &object.FieldError{Field: "spec", Reason: err.Error()}
		}
	}
	d := json.NewDecoder(bytes.NewReader(patch))
	if err := d.Decode(&change); err != nil || d.More() {
		return nil, &object.FieldError{Field: "patch", Reason: "want one JSON object"}
	}
	return json.Marshal(merge(base, change))
}

// merge applies a patch to one value; null removes a field.
func merge(base, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	out, ok := base.(map[string]any)
	if !ok {
		out = make(map[string]any)
	}
	for k, v := range changes {
		if v == nil {
			delete(out, k)
			continue
		}
		out[k] = merge(out[k], v)
	}
	return out
}

// sorted returns names in order.
func sortNames(names []string) []string {
	slices.Sort(names)
	return names
}
