package follow_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/follow"
	"hillreel/internal/core/rows"
)

const table rows.Table = "t"

// store is a store with one table that only grows; it counts the calls.
type store struct {
	mu      sync.Mutex
	rows    []rows.Row
	changed chan struct{}

	lists, watches atomic.Int64
	down           atomic.Bool
}

func newStore() *store { return &store{changed: make(chan struct{})} }

func (s *store) add() {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.rows) + 1
	s.rows = append(s.rows, rows.Row{Key: rows.Key{Table: table, Name: fmt.Sprint(n)}, Version: rows.Version(n)})
	close(s.changed)
	s.changed = make(chan struct{})
}

var errDown = errors.New("down")

func (s *store) List(context.Context, rows.Table, string) (rows.Page, error) {
	s.lists.Add(1)
	if s.down.Load() {
		return rows.Page{}, errDown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return rows.Page{Rows: s.rows, Version: rows.Version(len(s.rows))}, nil
}

func (s *store) Watch(ctx context.Context, _ rows.Table, after rows.Version, wait time.Duration) (rows.Page, error) {
	s.watches.Add(1)
	for until := time.After(wait); ; {
		s.mu.Lock()
		page, changed := rows.Page{Rows: s.rows[after:], Version: rows.Version(len(s.rows))}, s.changed
		s.mu.Unlock()
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-until:
			return page, nil
		case <-ctx.Done():
			return rows.Page{}, ctx.Err()
		}
	}
}

// known holds the names of the rows that a follower has reported.
type known struct {
	mu   sync.Mutex
	rows map[string]bool
}

func (k *known) change(c follow.Changes) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range c.Rows {
		k.rows[r.Key.Name] = true
	}
}

func (k *known) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.rows)
}

func start(t *testing.T, s *store, o follow.Options) (*follow.Follower, *known) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := &known{rows: make(map[string]bool)}
	f := follow.New(s, table, follow.SinglePart, 10*time.Second, k.change, logrus.NewEntry(log)).With(o)
	qt.Assert(t, f.Start(context.Background()), qt.IsNil)
	t.Cleanup(f.Stop)
	return f, k
}

func eventually(t *testing.T, what string, ok func() bool) {
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not seen: " + what)
}

// TestGather guards against a process that reads the table once for each changed row. Where n rows appear one after the other within a
// second, a follower whose BatchDelay grows with the number of rows reads about as often for n rows as for 2n.
func TestGather(t *testing.T) {
	const within, each = time.Second, 2 * time.Millisecond
	calls := make(map[int]int64)
	for _, n := range []int{100, 200} {
		s := newStore()
		var rows atomic.Int64
		f, k := start(t, s, follow.Options{BatchDelay: func() time.Duration { return time.Duration(rows.Load()) * each }})
		eventually(t, "first reading", f.Current)
		for range n {
			s.add()
			rows.Add(1)
			time.Sleep(within / time.Duration(n))
		}
		eventually(t, "all rows", func() bool { return k.len() == n })
		calls[n] = s.watches.Load()
		qt.Check(t, calls[n] < int64(n)/2, qt.IsTrue, qt.Commentf("%d rows, %d readings", n, calls[n]))
	}
	qt.Check(t, calls[200] < calls[100]*3/2, qt.IsTrue, qt.Commentf("%v", calls))
}

// TestFirstChangeIsReadAtOnce checks that BatchDelay delays only the readings after the first change.
func TestFirstChangeIsReadAtOnce(t *testing.T) {
	s := newStore()
	f, k := start(t, s, follow.Options{BatchDelay: func() time.Duration { return 0 }})
	eventually(t, "first reading", f.Current)
	s.add()
	eventually(t, "the row", func() bool { return k.len() == 1 })
}

// TestRest checks that an idle follower reads nothing, even if it becomes idle while it waits for a change, and that it misses no change.
func TestRest(t *testing.T) {
	s := newStore()
	var idle atomic.Bool
	f, k := start(t, s, follow.Options{Idle: idle.Load})
	eventually(t, "first reading", f.Current)
	idle.Store(true)
	eventually(t, "idle", func() bool { return !f.Current() })
	before := s.lists.Load() + s.watches.Load()
	s.add()
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, s.lists.Load()+s.watches.Load(), qt.Equals, before)
	qt.Assert(t, k.len(), qt.Equals, 0)
	idle.Store(false)
	eventually(t, "the change meanwhile", func() bool { return k.len() == 1 && f.Current() })
}

// TestNotCurrentWhileDown checks that a follower whose store does not answer does not report itself as current.
func TestNotCurrentWhileDown(t *testing.T) {
	s := newStore()
	s.down.Store(true)
	f, _ := start(t, s, follow.Options{})
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, f.Current(), qt.IsFalse)
	qt.Assert(t, s.lists.Load() > 1, qt.IsTrue)
	s.down.Store(false)
	eventually(t, "an answer", f.Current)
}
