package ident_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hillreel/internal/core/ident"
)

func signer(t testing.TB, keys ...string) *ident.Signer {
	var raw [][]byte
	for _, k := range keys {
		raw = append(raw, []byte(k))
	}
	s, err := ident.NewSigner(raw...)
	qt.Assert(t, err, qt.IsNil)
	return s
}

func drawID(t *rapid.T) ident.JobID {
	name := rapid.StringMatching(`[a-z0-9.:-]{0,20}`)
	j := ident.JobID{
		Key:      ident.Key{Owner: ident.Incarnation(rapid.Uint64().Draw(t, "owner")), Seq: rapid.Uint64().Draw(t, "seq")},
		MintedMs: rapid.Int64Range(0, 1<<60).Draw(t, "minted"),
		Region:   ident.Region(name.Draw(t, "region")), Owner: ident.Address(name.Draw(t, "address")),
		Service: ident.Service(name.Draw(t, "service")),
	}
	copy(j.Roster[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "roster"))
	return j
}

func TestIDComesBackAsItWas(t *testing.T) {
	s := signer(t, "new-key-new-key-1", "old-key-old-key-1")
	old := signer(t, "old-key-old-key-1")
	rapid.Check(t, func(rt *rapid.T) {
		for _, by := range []*ident.Signer{s, old} {
			id := by.Sign(drawID(rt))
			got, err := s.Parse(id.Text)
			if err != nil || got != id {
				rt.Fatalf("signed %+v, parsed %+v, error %v", id, got, err)
			}
		}
	})
}

func TestForgedIDsAreRefused(t *testing.T) {
	s := signer(t, "some-key-some-key")
	rapid.Check(t, func(rt *rapid.T) {
		text := []byte(s.Sign(drawID(rt)).Text)
		i := rapid.IntRange(0, len(text)-1).Draw(rt, "place")
		c := rapid.SampledFrom([]byte("ABCxyz019-_")).Draw(rt, "letter")
		if text[i] == c {
			return
		}
		text[i] = c
		_, err := s.Parse(string(text))
		if err == nil {
			rt.Fatalf("accepted %s with letter %d changed", text, i)
		}
	})
	_, err := signer(t, "another-key-another").Parse(s.Sign(ident.JobID{}).Text)
	qt.Assert(t, err, qt.Equals, ident.ErrForged)
	_, err = s.Parse(strings.Repeat("A", 500))
	qt.Assert(t, err, qt.ErrorMatches, "job id: too long")
}

func FuzzParse(f *testing.F) {
	s := signer(f, "some-key-some-key")
	f.Add(s.Sign(ident.JobID{Service: "publish"}).Text)
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		if id, err := s.Parse(text); err == nil {
			qt.Assert(t, s.Sign(id).Text, qt.Equals, text)
		}
	})
}

func TestGenerationOrder(t *testing.T) {
	for _, test := range []struct {
		a, b ident.Generation
		less bool
	}{
		{ident.Generation{Counter: 1, Holder: 9}, ident.Generation{Counter: 2, Holder: 1}, true},
		{ident.Generation{Counter: 2, Holder: 1}, ident.Generation{Counter: 2, Holder: 9}, true},
		{ident.Generation{Counter: 2, Holder: 9}, ident.Generation{Counter: 2, Holder: 9}, false},
	} {
		qt.Assert(t, test.a.Less(test.b), qt.Equals, test.less)
	}
}
