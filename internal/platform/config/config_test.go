package config_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/config/object"
	"hillreel/internal/config/state"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
	"hillreel/internal/platform/config"
	"hillreel/internal/platform/table"
	"hillreel/internal/standin/platform"
)

var ctx = context.Background()

func newStore(t *testing.T) (*config.Store, *platform.Server) {
	p := platform.New(0)
	address, err := p.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(p.Stop)
	return config.New(table.New(ident.Address(address), 5*time.Second), time.Now), p
}

func change(id string, ifVersion uint64, quota int) config.Change {
	return config.Change{
		ID: id, Who: "alice", Ref: object.Ref{Kind: object.KindTeam, Name: "podcast"}, If: ifVersion,
		Spec: json.RawMessage(fmt.Sprintf(`{"quota":%d}`, quota)),
	}
}

func TestChangeRules(t *testing.T) {
	s, p := newStore(t)
	first, err := s.Apply(ctx, change("a", 0, 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first.Version, qt.Equals, ident.ConfigVersion(1))

	var conflict *config.Conflict
	_, err = s.Apply(ctx, change("b", 0, 2))
	qt.Assert(t, errors.As(err, &conflict), qt.IsTrue, qt.Commentf("created twice"))
	qt.Assert(t, string(conflict.Present.Spec), qt.Equals, `{"quota":1}`)

	again, err := s.Apply(ctx, change("a", 0, 1))
	qt.Assert(t, err, qt.IsNil, qt.Commentf("the same change sent again"))
	qt.Assert(t, again.Version, qt.Equals, first.Version)
	_, err = s.Apply(ctx, change("a", 1, 9))
	qt.Assert(t, err, qt.ErrorMatches, "bad_request: change_id: was used for another change")

	p.SetFault(platform.Fault{LoseAnswers: 1})
	second, err := s.Apply(ctx, change("c", 1, 3))
	qt.Assert(t, err, qt.IsNil, qt.Commentf("the answer was lost, and read back"))
	qt.Assert(t, second.Version, qt.Equals, ident.ConfigVersion(2))

	p.SetFault(platform.Fault{Down: true})
	_, err = s.Apply(ctx, change("d", 2, 4))
	qt.Assert(t, verdict.Of(err), qt.Equals, verdict.NotRun, qt.Commentf("nothing was written yet"))
	p.SetFault(platform.Fault{SlowMs: 20})

	deletion := change("e", 2, 0)
	deletion.Spec = nil
	_, err = s.Apply(ctx, deletion)
	qt.Assert(t, err, qt.IsNil)
	anew, err := s.Apply(ctx, change("f", 0, 5))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, anew.To, qt.Equals, uint64(4), qt.Commentf("versions never come again"))

	trail, err := s.History(ctx, object.Ref{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, trail, qt.HasLen, 4)
}

// TestRacingOperators: in each round one of n operators wins; the others see the winner's object.
func TestRacingOperators(t *testing.T) {
	for _, n := range []int{2, 10} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s, _ := newStore(t)
			version := uint64(0)
			for round := range 5 {
				var mu sync.Mutex
				won, lost := 0, 0
				seen := version
				var wg sync.WaitGroup
				for i := range n {
					wg.Add(1)
					go func() {
						defer wg.Done()
						a, err := s.Apply(ctx, change(fmt.Sprintf("%d-%d", round, i), seen, i))
						var conflict *config.Conflict
						mu.Lock()
						defer mu.Unlock()
						switch {
						case err == nil:
							won++
							version = a.To
						case errors.As(err, &conflict):
							lost++
						}
					}()
				}
				wg.Wait()
				qt.Assert(t, won, qt.Equals, 1)
				qt.Assert(t, lost, qt.Equals, n-1)
			}
		})
	}
}

// TestManyObjectsAtOnce: changes of different objects race only for the head, and none is lost.
func TestManyObjectsAtOnce(t *testing.T) {
	s, _ := newStore(t)
	const n = 20
	var wg sync.WaitGroup
	errs := make([]error, n)
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := change(fmt.Sprint(i), 0, i)
			c.Ref.Name = object.Name(fmt.Sprintf("team-%d", i))
			_, errs[i] = s.Apply(ctx, c)
		}()
	}
	wg.Wait()
	for _, err := range errs {
		qt.Assert(t, err, qt.IsNil)
	}
	full, err := s.Load(ctx, state.Empty())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, full.Version(), qt.Equals, ident.ConfigVersion(n))
	qt.Assert(t, full.List(object.KindTeam), qt.HasLen, n)

	c := change("one more", 0, 1)
	_, err = s.Apply(ctx, c)
	qt.Assert(t, err, qt.IsNil)
	stepped, err := s.Load(ctx, full)
	qt.Assert(t, err, qt.IsNil)
	listed, err := s.Load(ctx, state.Empty())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stepped.Checksum(), qt.DeepEquals, listed.Checksum())
}
