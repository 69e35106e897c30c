// Package object defines the kinds of configuration objects that operators change, and validates them field by field.
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
	KindShare     Kind = "share"
)

// Kinds lists all kinds in the order in which a configuration file should create them.
var Kinds = []Kind{KindService, KindPool, KindUpstream, KindObjective, KindZone, KindShare}

// Name is an object's name, which is unique within its kind.
type Name string

// Ref identifies an object.
type Ref struct {
	Kind Kind `json:"kind"`
	Name Name `json:"name"`
}

// String returns kind/name.
func (r Ref) String() string { return string(r.Kind) + "/" + string(r.Name) }

// Object is one object at one version.
type Object struct {
	Ref
	// Version is the version of the configuration at which the object was last changed.
	Version uint64 `json:"version"`
	// Spec is the object's content. Its type depends on the kind.
	Spec json.RawMessage `json:"spec"`
}

// Service is a kind of work that upstreams offer.
type Service struct {
	// MaxTasks bounds the tasks of a job of this service. Zero means that the limit of the settings applies.
	MaxTasks int `json:"max_tasks,omitempty"`
	// DeadlineMs is the deadline, in milliseconds, of jobs that have none of their own. Zero means no deadline.
	DeadlineMs int `json:"deadline_ms,omitempty"`
}

// Pool selects the upstreams that serve a service.
type Pool struct {
	Service Name `json:"service"`
	// Selector is a Kubernetes label selector over the labels of upstreams. An empty one matches all upstreams.
	Selector string `json:"selector"`
}

// Upstream is the configuration of an upstream.
type Upstream struct {
	Labels map[string]string `json:"labels,omitempty"`
	// Cordoned upstreams get no new work.
	Cordoned bool `json:"cordoned,omitempty"`
}

// Zone is the configuration of an availability zone.
type Zone struct {
	// Cordoned is true if no upstream of the zone gets new work.
	Cordoned bool `json:"cordoned,omitempty"`
}

// Objective is a service-level objective.
type Objective struct {
	Service Name `json:"service"`
	// WithinIdeal is how many times its ideal duration a job may take to count as fast. At least 1.
	WithinIdeal float64 `json:"within_ideal"`
	// FastShare is the share of complete jobs that must be fast. Between 0 and 1, exclusively.
	FastShare float64 `json:"fast_share"`
	// CompleteShare is the share of jobs that must be complete. Between 0 and 1, exclusively.
	CompleteShare float64 `json:"complete_share"`
}

// FieldError is the error of an invalid field.
type FieldError struct{ Field, Reason string }

// Error returns the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func newFieldError(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// namePattern matches a valid name. Names are part of table keys and of URL paths.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9_.-]{0,61}[a-z0-9])?$`)

// Check validates an object. It refuses unknown kinds, invalid names, unknown fields and values that are out of bounds. Its
// error is a *FieldError.
func Check(r Ref, spec json.RawMessage) error { return checkSpec(r, spec, decode) }

// CheckStored validates an object that was read from the store, where another program may have written it. Unknown fields are allowed: a
// newer release may have added them.
func CheckStored(o Object) error {
	return checkSpec(o.Ref, o.Spec, func(spec json.RawMessage, into any) error {
		if err := json.Unmarshal(spec, into); err != nil {
			return newFieldError("spec", "%s", err)
		}
		return nil
	})
}

// checkSpec validates an object whose spec is decoded by decode.
func checkSpec(r Ref, spec json.RawMessage, decode func(spec json.RawMessage, into any) error) error {
	if !namePattern.MatchString(string(r.Name)) {
		return newFieldError("name", "want 1 to 63 of a-z, 0-9, '-', '_' and '.', with a letter or digit at both ends, not %q", r.Name)
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
	case KindShare:
		var s Share
		return firstError(decode(spec, &s), func() error { return s.check() })
	case KindObjective:
		var s Objective
		return firstError(decode(spec, &s), checkName("service", &s.Service), checkAtLeastOne("within_ideal", &s.WithinIdeal),
			checkShare("fast_share", &s.FastShare), checkShare("complete_share", &s.CompleteShare))
	}
	return newFieldError("kind", "unknown kind %q; the kinds are %v", r.Kind, Kinds)
}

// check is a check that runs only after the spec was decoded.
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

// decode decodes a spec strictly: unknown fields and trailing values are errors.
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
			return newFieldError(field, "must be at least 0, is %d", *v)
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
			return newFieldError(field, "must be at least 1, is %v", *v)
		}
		return nil
	}
}

func checkShare(field string, v *float64) check {
	return func() error {
		if *v <= 0 || *v >= 1 {
			return newFieldError(field, "must be greater than 0 and less than 1, is %v", *v)
		}
		return nil
	}
}

// DecodeSpec decodes the spec of an object that was validated by Check.
func DecodeSpec[T any](o Object) (T, error) {
	var v T
	err := json.Unmarshal(o.Spec, &v)
	return v, errors.Wrapf(err, "object %s", o.Ref)
}
