package operator

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/config/object"
	"hillreel/internal/config/store"
	"hillreel/internal/config/view"
	"hillreel/internal/core/route"
)

// TestCheckShare checks that a share which contradicts other shares or the routes in force is refused with the name of the field.
func TestCheckShare(t *testing.T) {
	ref := func(name object.Name) object.Ref { return object.Ref{Kind: object.KindShare, Name: name} }
	present := view.New(3, []object.Object{
		{Ref: ref("news"), Version: 1, Spec: json.RawMessage(`{"service":"publish","routes":["a"],"floor":0.6}`)},
		{Ref: ref("music"), Version: 2, Spec: json.RawMessage(`{"service":"publish","routes":["b"],"floor":0.1}`)},
		{Ref: ref("film"), Version: 3, Spec: json.RawMessage(`{"service":"encode","routes":["x"],"floor":0.9}`)},
	})
	routes := &route.Table{Routes: []route.Route{
		{Name: "a", Service: "publish"}, {Name: "b", Service: "publish"}, {Name: "c", Service: "publish"}, {Name: "x", Service: "encode"},
	}}
	for _, test := range []struct {
		name        string
		team        object.Name
		spec, field string
		routes      *route.Table
	}{
		{"a new team", "talk", `{"service":"publish","routes":["c"],"floor":0.3}`, "", routes},
		{"floors of more than all", "talk", `{"service":"publish","routes":["c"],"floor":0.31}`, "floor", routes},
		{"its own former floor does not count", "news", `{"service":"publish","routes":["a"],"floor":0.9}`, "", routes},
		{"floors of more than all after a change", "news", `{"service":"publish","routes":["a"],"floor":0.91}`, "floor", routes},
		{"floors of another service do not count", "talk", `{"service":"publish","routes":["c"],"floor":0.2}`, "", routes},
		{"a route of another team", "talk", `{"service":"publish","routes":["c","b"]}`, "routes", routes},
		{"its own routes", "music", `{"service":"publish","routes":["c","b"]}`, "", routes},
		{"the route of the callers' own API", "talk", `{"service":"publish","routes":["publish"]}`, "", routes},
		{"an unknown route", "talk", `{"service":"publish","routes":["nobody"]}`, "routes", routes},
		{"a route of another service", "talk", `{"service":"encode","routes":["c"]}`, "routes", routes},
		{"no routes known yet", "talk", `{"service":"publish","routes":["nobody"]}`, "", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := checkShare(store.Change{Ref: ref(test.team), Spec: json.RawMessage(test.spec)}, present, test.routes)
			if test.field == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			var field *object.FieldError
			qt.Assert(t, errors.As(err, &field), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, field.Field, qt.Equals, test.field)
		})
	}
}
