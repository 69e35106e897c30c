package state_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/config/object"
	"hillreel/internal/config/state"
	"hillreel/internal/core/ident"
	"hillreel/internal/link/wire"
)

func team(name object.Name, version uint64, spec string) object.Object {
	return object.Object{Ref: object.Ref{Kind: object.KindTeam, Name: name}, Version: version, Spec: json.RawMessage(spec)}
}

func TestApply(t *testing.T) {
	one := state.New(1, []object.Object{team("a", 1, `{"quota":1}`)})
	two := state.New(2, []object.Object{team("a", 1, `{"quota":1}`), team("b", 2, `{"quota":2}`)})
	three := state.New(3, []object.Object{team("b", 2, `{"quota":2}`)})
	broken := two.Since(one)
	broken.Changed = nil
	for _, test := range []struct {
		name  string
		from  *state.State
		delta state.Delta
		want  ident.ConfigVersion
		err   error
	}{
		{"full", state.Empty(), two.Full(), 2, nil},
		{"delta", one, two.Since(one), 2, nil},
		{"deletion", two, three.Since(two), 3, nil},
		{"older", three, two.Full(), 3, nil},
		{"same", two, two.Full(), 2, nil},
		{"gap", one, three.Since(two), 1, state.ErrGap},
		{"checksum", one, broken, 1, state.ErrSum},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := test.from.Apply(test.delta)
			qt.Assert(t, err, qt.Equals, test.err)
			qt.Assert(t, got.Version(), qt.Equals, test.want)
		})
	}
	got, err := two.Apply(three.Since(two))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Checksum(), qt.DeepEquals, three.Checksum())
}

func TestAdopterOnlyGoesUp(t *testing.T) {
	sender, receiver := state.NewAdopter(), state.NewAdopter()
	one := state.New(1, []object.Object{team("a", 1, `{"quota":1}`)})
	two := state.New(2, []object.Object{team("a", 2, `{"quota":3}`)})
	send := func() *wire.Config {
		m, err := sender.MessageFor(receiver.Current().Version())
		qt.Assert(t, err, qt.IsNil)
		return m.GetConfig()
	}
	qt.Assert(t, sender.Adopt(one), qt.IsTrue)
	first := send()
	qt.Assert(t, sender.Adopt(two), qt.IsTrue)
	qt.Assert(t, sender.Adopt(one), qt.IsFalse)
	second := send()
	for _, step := range []struct {
		m       *wire.Config
		adopted bool
	}{{second, true}, {first, false}, {second, false}} {
		adopted, err := receiver.Receive(step.m)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, adopted, qt.Equals, step.adopted)
		qt.Assert(t, receiver.Current().Version(), qt.Equals, ident.ConfigVersion(2))
	}
	qt.Assert(t, send(), qt.IsNil)
}

func TestServes(t *testing.T) {
	obj := func(kind object.Kind, name object.Name, spec string) object.Object {
		return object.Object{Ref: object.Ref{Kind: kind, Name: name}, Spec: json.RawMessage(spec)}
	}
	v := state.NewView(state.New(1, []object.Object{
		obj(object.KindPool, "fast", `{"service":"publish","selector":"tier=fast,zone in (z1,z2)"}`),
		obj(object.KindUpstream, "u1", `{"labels":{"tier":"fast"}}`),
		obj(object.KindUpstream, "u2", `{"labels":{"tier":"fast"},"cordoned":true}`),
		obj(object.KindUpstream, "u3", `{"labels":{"tier":"slow"}}`),
	}))
	for _, test := range []struct {
		upstream ident.UpstreamName
		zone     ident.Zone
		service  ident.Service
		want     bool
	}{
		{"u1", "z1", "publish", true},
		{"u1", "z3", "publish", false},
		{"u2", "z1", "publish", false},
		{"u2", "z1", "canteen", false},
		{"u3", "z1", "publish", false},
		{"u3", "z1", "canteen", true},
		{"u4", "z1", "publish", false},
	} {
		qt.Assert(t, v.Serves(test.upstream, test.zone, test.service), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
