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
		{object.KindShare, "news", `{"service":"publish","routes":["a","b"],"weight":2,"floor":0.2,"limit":0.5}`, ""},
		{object.KindShare, "news", `{"service":"publish","routes":["a"]}`, ""},
		{object.KindShare, "news", `{"service":"publish","routes":["a"],"floor":0.2}`, ""},
		{object.KindShare, "news", `{"service":"publish","routes":["a"],"floor":0.5,"limit":0.5}`, ""},
		{object.KindShare, "news", `{"service":"publish","routes":["a"],"floor":1,"limit":1}`, ""},
		{object.KindShare, "News", `{"service":"publish","routes":["a"]}`, "name"},
		{object.KindShare, "news", `{"routes":["a"]}`, "service"},
		{object.KindShare, "news", `{"service":"publish"}`, "routes"},
		{object.KindShare, "news", `{"service":"publish","routes":[]}`, "routes"},
		{object.KindShare, "news", `{"service":"publish","routes":[""]}`, "routes"},
		{object.KindShare, "news", `{"service":"publish","routes":["a","a"]}`, "routes"},
		{object.KindShare, "news", `{"service":"publish","routes":"a"}`, "routes"},
		{object.KindShare, "news", `{"service":"publish","routes":["a"],"weight":0}`, "weight"},
		{object.KindShare, "news", `{"service":"publish","routes":["a"],"weight":-1}`, "weight"},
		{object.KindShare, "news", `{"service":"publish","routes":["a"],"weight":1e9}`, "weight"},
		{object.KindShare, "news", `{"service":"publish","routes":["a"],"weight":"2"}`, "weight"},
		{object.KindShare, "news", `{"service":"publish","routes":["a"],"floor":-0.1}`, "floor"},
		{object.KindShare, "news", `{"service":"publish","routes":["a"],"floor":1.1}`, "floor"},
		{object.KindShare, "news", `{"service":"publish","routes":["a"],"limit":-0.1}`, "limit"},
		{object.KindShare, "news", `{"service":"publish","routes":["a"],"limit":1.1}`, "limit"},
		{object.KindShare, "news", `{"service":"publish","routes":["a"],"floor":0.6,"limit":0.5}`, "floor"},
		{object.KindShare, "news", `{"service":"publish","routes":["a"],"wieght":1}`, "spec"},
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
