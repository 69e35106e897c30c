// Package object defines the kinds of configuration that operators change, and checks them field by field.
package object

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"

	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"
)

// Kind is a kind of object.
type Kind string

// The kinds.
const (
	KindService   Kind = "service"
	KindPool      Kind = "pool"
	KindUpstream  Kind = "upstream"
	KindObjective Kind = "objective"
	KindZone      Kind = "zone"
)

// Kinds lists all kinds, in the order in which a file should create them.
var Kinds = []Kind{KindService, KindPool, KindUpstream, KindObjective, KindZone}

// Name is an object's name, unique in its kind.
type Name string

// Ref names an object.
type Ref struct {
	Kind Kind `json:"kind"`
	Name Name `json:"name"`
}

// String prints kind/name.
func (r Ref) String() string { return string(r.Kind) + "/" + string(r.Name) }

// Object is one object at one version.
type Object struct {
	Ref
	// Version is the configuration's version that brought the object's last change.
	Version uint64 `json:"version"`
	// Spec is the object's content; its type follows from the kind.
	Spec json.RawMessage `json:"spec"`
}

// Service is a kind of work.
type Service struct {
	// MaxTasks bounds a job of this service; zero leaves it to the settings.
	MaxTasks int `json:"max_tasks,omitempty"`
	// DeadlineMs is given to jobs that name none; zero is none.
	DeadlineMs int `json:"deadline_ms,omitempty"`
}

// Pool says which upstreams serve a service.
type Pool struct {
	Service Name `json:"service"`
	// Selector is a Kubernetes label selector over upstreams' labels; empty matches all.
	Selector string `json:"selector"`
}

// Upstream holds what operators say of an upstream.
type Upstream struct {
	Labels map[string]string `json:"labels,omitempty"`
	// Cordoned upstreams get no new work.
	Cordoned bool `json:"cordoned,omitempty"`
}

// Zone holds what operators say of an availability zone.
type Zone struct {
	// Cordoned: no upstream of the zone gets new work.
	Cordoned bool `json:"cordoned,omitempty"`
}

// Objective is a service-level objective.
type Objective struct {
	Service Name `json:"service"`
	// WithinIdeal is how many times its ideal a job may take and still be good.
	WithinIdeal float64 `json:"within_ideal"`
	// FastShare is the share of complete jobs that must be within it.
	FastShare float64 `json:"fast_share"`
	// CompleteShare is the share of jobs that must be complete.
	CompleteShare float64 `json:"complete_share"`
}

// FieldError refuses one field.
type FieldError struct{ Field, Reason string }

// Error names the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func newFieldError(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// namePattern is what a name looks like: it becomes part of a table key and of a path.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9_.-]{0,61}[a-z0-9])?$`)

// Check decodes a spec strictly and refuses what can't be meant, naming the field.
func Check(r Ref, spec json.RawMessage) error {
	if !namePattern.MatchString(string(r.Name)) {
		return newFieldError("name", "want small letters, digits, '-', '_' and '.', at most 63, not %q", r.Name)
	}
	switch r.Kind {
	case KindService:
		var s Service
		return firstError(decode(spec, &s), checkNotNegative("max_tasks", &s.MaxTasks), checkNotNegative("deadline_ms", &s.DeadlineMs))
	case KindPool:
		var s Pool
		return firstError(decode(spec, &s), checkName("service", &s.Service), checkSelector("selector", &s.Selector))
	case KindUpstream:
		var s Upstream
		return firstError(decode(spec, &s), checkLabels(&s))
	case KindZone:
		var s Zone
		return decode(spec, &s)
	case KindObjective:
		var s Objective
		return firstError(decode(spec, &s), checkName("service", &s.Service), checkAtLeastOne("within_ideal", &s.WithinIdeal),
			checkShare("fast_share", &s.FastShare), checkShare("complete_share", &s.CompleteShare))
	}
	return newFieldError("kind", "no such kind %q; there are %v", r.Kind, Kinds)
}

// check is a check that runs only once the spec was decoded.
type check func() error

func firstError(decoded error, checks ...check) error {
	if decoded != nil {
		return decoded
	}
	for _, c := range checks {
		if err := c(); err != nil {
			return err
		}
	}
	return nil
}

// decode refuses fields that the kind does not have.
func decode(spec json.RawMessage, into any) error {
	d := json.NewDecoder(bytes.NewReader(spec))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil && d.More():
		return newFieldError("spec", "more than one JSON value")
	case errors.As(err, &wrongType):
		return newFieldError(wrongType.Field, "want %s, not %s", wrongType.Type, wrongType.Value)
	case err != nil:
		return newFieldError("spec", "%s", err)
	}
	return nil
}

func checkNotNegative(field string, v *int) check {
	return func() error {
		if *v < 0 {
			return newFieldError(field, "must not be negative")
		}
		return nil
	}
}

func checkName(field string, v *Name) check {
	return func() error {
		if !namePattern.MatchString(string(*v)) {
			return newFieldError(field, "want the name of an object, not %q", *v)
		}
		return nil
	}
}

func checkSelector(field string, v *string) check {
	return func() error {
		if _, err := labels.Parse(*v); err != nil {
			return newFieldError(field, "%s", err)
		}
		return nil
	}
}

func checkLabels(u *Upstream) check {
	return func() error {
		for k, v := range u.Labels {
			if _, err := labels.NewRequirement(k, "=", []string{v}); err != nil {
				return newFieldError("labels."+k, "%s", err)
			}
		}
		return nil
	}
}

func checkAtLeastOne(field string, v *float64) check {
	return func() error {
		if *v < 1 {
			return newFieldError(field, "must be at least 1")
		}
		return nil
	}
}

func checkShare(field string, v *float64) check {
	return func() error {
		if *v <= 0 || *v >= 1 {
			return newFieldError(field, "must lie between 0 and 1")
		}
		return nil
	}
}

// As decodes a spec that was checked before.
func DecodeSpec[T any](o Object) (T, error) {
	var v T
	err := json.Unmarshal(o.Spec, &v)
	return v, errors.Wrapf(err, "object %s", o.Ref)
}
