package object_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/config/object"
)

func TestCheck(t *testing.T) {
	for _, test := range []struct {
		kind  object.Kind
		name  object.Name
		spec  string
		field string
	}{
		{object.KindTeam, "podcast", `{"quota":3}`, ""},
		{object.KindTeam, "Podcast", `{"quota":3}`, "name"},
		{object.KindTeam, "a/b", `{"quota":3}`, "name"},
		{object.KindTeam, "podcast", `{"quota":-1}`, "quota"},
		{object.KindTeam, "podcast", `{"quota":"3"}`, "quota"},
		{object.KindTeam, "podcast", `{"qouta":3}`, "spec"},
		{object.KindTeam, "podcast", `{"quota":3}{}`, "spec"},
		{object.KindTeam, "podcast", `{`, "spec"},
		{"tribe", "podcast", `{}`, "kind"},
		{object.KindPool, "fast", `{"service":"publish","selector":"zone in (a,b),tier!=slow"}`, ""},
		{object.KindPool, "fast", `{"service":"publish","selector":"zone in"}`, "selector"},
		{object.KindPool, "fast", `{"selector":"zone=a"}`, "service"},
		{object.KindUpstream, "u1", `{"labels":{"tier":"fast"},"cordoned":true}`, ""},
		{object.KindUpstream, "u1", `{"labels":{"tier":"not fast"}}`, "labels.tier"},
		{object.KindLimit, "l", `{"selector":"team=a"}`, "concurrency"},
		{object.KindLimit, "l", `{"selector":"team=a","per_second":5}`, ""},
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
