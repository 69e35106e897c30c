package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
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
	// HeaderChange is the header that carries a change's id. A change that is sent again with the same id takes effect only once.
	HeaderChange = "Hillreel-Change-Id"
)

// etag returns an object's version in the form of the ETag header.
func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// Changed is the body of the answer to an accepted change.
type Changed struct {
	Object object.Object `json:"object"`
	// Version is the first version of the configuration with the change. The change is in force at an entry once the entry lists
	// this version.
	Version ident.ConfigVersion `json:"config_version"`
	// ChangeID is the id from HeaderChange, or a new one if the request had none.
	ChangeID string `json:"change_id"`
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

// specFunc computes an object's new spec from a request's body and the present object. A nil spec deletes the object.
type specFunc func(body json.RawMessage, present object.Object) (json.RawMessage, error)

// change handles one conditional change.
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

// apply writes a valid change to the store and answers the request.
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

// forbiddenError says that a principal may not make a change.
type forbiddenError struct{ message string }

// Error returns the message for the operator.
func (f *forbiddenError) Error() string { return f.message }

// precondition returns the object version that the operator read, from the header If-Match. It returns 0 for If-None-Match: *, which
// creates an object.
func precondition(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	v, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil || v == 0 {
		return 0, &object.FieldError{Field: "If-Match", Reason: fmt.Sprintf("is %.64q; want the ETag that was read, or If-None-Match: * to create the object", r.Header.Get("If-Match"))}
	}
	return v, nil
}

// authorizeAndValidate returns an error if the principal may not make changes, or if the new spec is invalid.
func (s *Server) authorizeAndValidate(r *http.Request, c store.Change) error {
	if role := ops.PrincipalOf(r.Context()).Role; role != ops.RoleAll {
		return &forbiddenError{"the role " + string(role) + " may not change configuration; the role " + string(ops.RoleAll) + " may"}
	}
	if c.Spec == nil {
		return nil
	}
	if err := object.Check(c.Ref, c.Spec); err != nil {
		return err
	}
	if c.Ref.Kind == object.KindShare {
		return checkShare(c, s.objects.View(), s.upstreams.Routes())
	}
	return nil
}

// mergePatch applies a JSON merge patch (RFC 7396) to a spec.
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

// merge applies a patch to one value. A field that is null in the patch is removed.
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

// sortNames sorts names in place and returns them.
func sortNames(names []string) []string {
	slices.Sort(names)
	return names
}
