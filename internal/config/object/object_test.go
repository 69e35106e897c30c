package object_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/config/object"
)

// TestCheck checks that an invalid object is refused with the name of the invalid field, and that a valid one is accepted.
func TestCheck(t *testing.T) {
	for _, test := range []struct {
		kind  object.Kind
		name  object.Name
		spec  string
		field string
	}{
		{object.KindService, "podcast", `{"max_tasks":3}`, ""},
		{object.KindService, "Podcast", `{"max_tasks":3}`, "name"},
		{object.KindService, "a/b", `{"max_tasks":3}`, "name"},
		{object.KindService, "podcast", `{"max_tasks":-1}`, "max_tasks"},
		{object.KindService, "podcast", `{"max_tasks":"3"}`, "max_tasks"},
		{object.KindService, "podcast", `{"max_task":3}`, "spec"},
		{object.KindService, "podcast", `{"max_tasks":3}{}`, "spec"},
		{object.KindService, "podcast", `{`, "spec"},
		{"tribe", "podcast", `{}`, "kind"},
		{object.KindPool, "fast", `{"service":"publish","selector":"zone in (a,b),tier!=slow"}`, ""},
		{object.KindPool, "fast", `{"service":"publish","selector":"zone in"}`, "selector"},
		{object.KindPool, "fast", `{"selector":"zone=a"}`, "service"},
		{object.KindUpstream, "u1", `{"labels":{"tier":"fast"},"cordoned":true}`, ""},
		{object.KindZone, "zone-1", `{"cordoned":true}`, ""},
		{object.KindZone, "zone-1", `{"cordoned":"yes"}`, "cordoned"},
		{object.KindZone, "zone-1", `{"closed":true}`, "spec"},
		{object.KindUpstream, "u1", `{"labels":{"tier":"not fast"}}`, "labels.tier"},
		{object.KindObjective, "o", `{"service":"publish","within_ideal":2,"fast_share":0.99,"complete_share":0.999}`, ""},
		{object.KindObjective, "o", `{"service":"publish","within_ideal":0.5,"fast_share":0.99,"complete_share":0.999}`, "within_ideal"},
		{object.KindObjective, "o", `{"service":"publish","within_ideal":2,"fast_share":1,"complete_share":0.999}`, "fast_share"},
	} {
		err := object.Check(object.Ref{Kind: test.kind, Name: test.name}, json.RawMessage(test.spec))
		var field *object.FieldError
		if test.field == "" {
			qt.Assert(t, err, qt.IsNil)
			continue
		}
		qt.Assert(t, errors.As(err, &field), qt.IsTrue, qt.Commentf("%s %s: %v", test.kind, test.spec, err))
		qt.Assert(t, field.Field, qt.Equals, test.field)
	}
}
