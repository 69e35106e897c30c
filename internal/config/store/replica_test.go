package store_test

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/config/object"
	"hillreel/internal/config/store"
	"hillreel/internal/config/view"
	"hillreel/internal/core/follow"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/rows"
)

// row returns the row of an object with a spec.
func row(t *testing.T, kind object.Kind, name, spec string) rows.Row {
	ref := object.Ref{Kind: kind, Name: object.Name(name)}
	value, err := json.Marshal(object.Object{Ref: ref, Version: 3, Spec: json.RawMessage(spec)})
	qt.Assert(t, err, qt.IsNil)
	return rows.Row{Key: rows.Key{Table: store.Objects, Name: ref.String()}, Value: value}
}

// TestOddObjects guards against one odd object of another writer that ends the entries, makes them stop following the objects, or replaces
// what was in force. The objects beside it count.
func TestOddObjects(t *testing.T) {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	raw := func(value string) rows.Row {
		return rows.Row{Key: rows.Key{Table: store.Objects, Name: "service/publish"}, Value: []byte(value)}
	}
	for _, test := range []struct {
		name string
		odd  rows.Row
	}{
		{"not JSON", raw("\xff")},
		{"empty", raw("")},
		{"very deeply nested", raw(nested)},
		{"a very deeply nested spec", raw(`{"kind":"service","name":"publish","version":9,"spec":` + nested + `}`)},
		{"a version that is too large", raw(`{"kind":"service","name":"publish","version":1e400,"spec":{}}`)},
		{"a negative number", row(t, object.KindService, "publish", `{"max_tasks":-1}`)},
		{"a number that is too large", row(t, object.KindService, "publish", `{"max_tasks":99999999999999999999}`)},
		{"a number for a text", row(t, object.KindPool, "pool", `{"service":7}`)},
		{"a selector that can't be parsed", row(t, object.KindPool, "pool", `{"service":"publish","selector":"((("}`)},
		{"a share above all", row(t, object.KindShare, "team", `{"service":"publish","routes":["r"],"floor":1e300}`)},
		{"a negative weight", row(t, object.KindShare, "team", `{"service":"publish","routes":["r"],"weight":-1}`)},
		{"an unknown kind", row(t, "gadget", "g", `{}`)},
		{"the object of another row", rows.Row{Key: rows.Key{Table: store.Objects, Name: "service/render"}, Value: row(t, object.KindService, "publish", `{}`).Value}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, complete := range []bool{false, true} {
				views := 0
				r := store.NewReplica(func(*view.View) { views++ }, logs.Discard())
				r.ApplyChanges(follow.Changes{Complete: true, Rows: []rows.Row{row(t, object.KindService, "publish", `{"max_tasks":7}`)}})
				rest := []rows.Row{test.odd, row(t, object.KindService, "cut", `{"max_tasks":9}`)}
				if complete && test.odd.Key.Name != "service/publish" {
					rest = append(rest, row(t, object.KindService, "publish", `{"max_tasks":7}`))
				}
				r.ApplyChanges(follow.Changes{Complete: complete, Rows: rest})
				qt.Check(t, views, qt.Equals, 2)
				qt.Check(t, r.View().MaxTasks("publish"), qt.Equals, 7)
				qt.Check(t, r.View().MaxTasks("cut"), qt.Equals, 9)
				qt.Check(t, r.View().List(""), qt.HasLen, 2)
			}
		})
	}
}

// TestObjectOfANewerRelease guards against objects that an entry drops while a newer release that has added a field to them is being rolled out.
func TestObjectOfANewerRelease(t *testing.T) {
	r := store.NewReplica(func(*view.View) {}, logs.Discard())
	r.ApplyChanges(follow.Changes{Complete: true, Rows: []rows.Row{row(t, object.KindService, "publish", `{"max_tasks":7,"new_field":1}`)}})
	qt.Check(t, r.View().MaxTasks("publish"), qt.Equals, 7)
}
