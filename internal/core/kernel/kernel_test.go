package kernel_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/core/kernel"
	"hillreel/internal/core/logs"
)

type service struct {
	name  string
	fails bool
	log   *[]string
}

// Start implements kernel.Service.
func (s *service) Start(context.Context) error {
	if s.fails {
		return errors.New("no port")
	}
	*s.log = append(*s.log, "+"+s.name)
	return nil
}

// Stop implements kernel.Service.
func (s *service) Stop() { *s.log = append(*s.log, "-"+s.name) }

func TestOrder(t *testing.T) {
	for _, test := range []struct {
		name  string
		fails string
		err   string
		want  []string
	}{
		{"all start", "", "", []string{"+a", "+b", "+c", "-c", "-b", "-a"}},
		{"one fails", "c", "service c: no port", []string{"+a", "+b", "-b", "-a"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var log []string
			k := kernel.New(logs.Discard())
			for _, name := range []string{"a", "b", "c"} {
				qt.Assert(t, k.Register(name, &service{name, name == test.fails, &log}), qt.IsNil)
			}
			err := k.Start(context.Background())
			if test.err != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.err)
			}
			k.Stop()
			qt.Assert(t, log, qt.DeepEquals, test.want)
		})
	}
}

func TestFind(t *testing.T) {
	k := kernel.New(logs.Discard())
	s := &service{name: "a"}
	qt.Assert(t, k.Register("a", s), qt.IsNil)
	qt.Assert(t, k.Register("a", s), qt.ErrorMatches, `kernel: service "a" is registered already`)
	found, err := kernel.Find[*service](k, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, found, qt.Equals, s)
	_, err = kernel.Find[*service](k, "b")
	qt.Assert(t, err, qt.ErrorMatches, `kernel: no service "b"`)
	_, err = kernel.Find[interface{ Fly() }](k, "a")
	qt.Assert(t, err, qt.ErrorMatches, `kernel: service "a" is a .* does not fit`)
}
