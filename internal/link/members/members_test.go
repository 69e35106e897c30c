package members_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/follow"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/rows"
	"hillreel/internal/link/members"
	"hillreel/internal/standin/memory"
)

const address = "10.0.0.1:7400"

var errNoAnswer = errors.New("no answer")

// delayedStore can hold writes back without an answer and carry them out later.
type delayedStore struct {
	mu   sync.Mutex
	rows memory.Store
	hold bool
	// held are the writes that were held back.
	held []rows.Txn
	// read is the number of rows that were read.
	read int
	// late are writes that are carried out just before the next one.
	late []rows.Txn
	// passed is the time by which the store's clock has moved on.
	passed time.Duration
}

func (s *delayedStore) Range(_ context.Context, of rows.Range) (rows.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rows.Page{Version: s.rows.Version, Now: time.Minute + s.passed}
	for k, r := range s.rows.Rows {
		if k.Table == of.Table && k.Name >= of.From && (of.To == "" || k.Name < of.To) {
			s.read++
			page.Rows = append(page.Rows, r)
		}
	}
	return page, nil
}

func (s *delayedStore) Commit(_ context.Context, t rows.Txn) (rows.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hold {
		s.held = append(s.held, t)
		return 0, errNoAnswer
	}
	for _, l := range s.late {
		s.rows.Commit(l)
	}
	s.late = nil
	if !s.rows.Commit(t) {
		return 0, rows.ErrConflict
	}
	return s.rows.Version, nil
}

// setHold sets whether writes are held back.
func (s *delayedStore) setHold(hold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = hold
}

// deliver carries out the writes held back whose conditions hold, and returns how many were held back.
func (s *delayedStore) deliver() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held
	s.held = nil
	for _, t := range held {
		s.rows.Commit(t)
	}
	return len(held)
}

// registered returns the incarnation in the entry's row, or an empty string if there is no row.
func (s *delayedStore) registered(t *testing.T) string {
	page, err := s.Range(context.Background(), rows.Range{Table: members.Table})
	qt.Assert(t, err, qt.IsNil)
	i := slices.IndexFunc(page.Rows, func(r rows.Row) bool { return r.Key.Name == address })
	if i < 0 {
		return ""
	}
	var e members.Entry
	qt.Assert(t, json.Unmarshal(page.Rows[i].Value, &e), qt.IsNil)
	return e.Incarnation
}

// awaitRegistered waits until the entry's row has an incarnation.
func (s *delayedStore) awaitRegistered(t *testing.T, want string) {
	for deadline := time.Now().Add(5 * time.Second); s.registered(t) != want; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the row has incarnation %q, want %q", s.registered(t), want))
	}
}

// start starts a Registrar for one incarnation of the entry.
func start(t *testing.T, s *delayedStore, incarnation string) *members.Registrar {
	r := members.NewRegistrar(s, address, members.Entry{Name: "e", Incarnation: incarnation}, func() int { return 1 }, logs.Discard())
	qt.Assert(t, r.Start(context.Background()), qt.IsNil)
	return r
}

// TestLateWritesOfAnEarlierLife guards against delayed writes of an entry's earlier incarnation. A write without an answer may be carried
// out seconds later. If it removed or replaced the row of the incarnation that has registered since, agents that start would not find the
// entry until its next renewal, ten seconds later.
func TestLateWritesOfAnEarlierLife(t *testing.T) {
	for _, test := range []struct {
		name  string
		first func(s *delayedStore)
	}{
		{"removal", func(s *delayedStore) {
			r := start(t, s, "1")
			s.awaitRegistered(t, "1")
			s.setHold(true)
			r.Stop()
		}},
		{"registration", func(s *delayedStore) {
			s.setHold(true)
			r := start(t, s, "1")
			for s.waiting() == 0 {
				time.Sleep(time.Millisecond)
			}
			r.Stop()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &delayedStore{rows: memory.New()}
			test.first(s)
			s.setHold(false)
			second := start(t, s, "2")
			defer second.Stop()
			s.awaitRegistered(t, "2")
			qt.Assert(t, s.deliver() > 0, qt.IsTrue)
			qt.Assert(t, s.registered(t), qt.Equals, "2")
		})
	}
}

// TestStopRemovesTheRow guards against rows that remain after an entry has stopped, also when the answer to its last renewal was lost, and
// against removing the row of a successor.
func TestStopRemovesTheRow(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(s *delayedStore)
		want   string
	}{
		{"own row", func(*delayedStore) {}, ""},
		{"own row, renewed without an answer", func(s *delayedStore) {
			key := rows.Key{Table: members.Table, Name: address}
			s.rows.Put(key, s.rows.Rows[key].Value)
		}, ""},
		{"own row, renewed late", func(s *delayedStore) {
			key := rows.Key{Table: members.Table, Name: address}
			s.late = []rows.Txn{{Put: []rows.Row{s.rows.Rows[key]}}}
		}, ""},
		{"row of a successor", func(s *delayedStore) {
			s.rows.Put(rows.Key{Table: members.Table, Name: address}, []byte(`{"incarnation":"2"}`))
		}, "2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &delayedStore{rows: memory.New()}
			r := start(t, s, "1")
			s.awaitRegistered(t, "1")
			s.mu.Lock()
			test.before(s)
			s.mu.Unlock()
			r.Stop()
			qt.Assert(t, s.registered(t), qt.Equals, test.want)
		})
	}
}

// waiting returns the number of writes held back.
func (s *delayedStore) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// TestRowsOfOtherWriters guards against links to rows whose name is not an address. A row with an address and an unreadable value still
// names an entry.
func TestRowsOfOtherWriters(t *testing.T) {
	var all []fleet.Entry
	d := members.NewDirectory(func(entries []fleet.Entry) { all = entries }, logs.Discard())
	row := func(name, value string) rows.Row {
		return rows.Row{Key: rows.Key{Table: members.Table, Name: name}, Value: []byte(value)}
	}
	d.HandleChanges(follow.Changes{Complete: true, Rows: []rows.Row{
		row(address, `{"name":"entry-1"}`), row("10.0.0.2:7400", "\xff\x00"), row("10.0.0.3:7400", `{"name":7,"wants":"all"}`),
		row("", `{"name":"entry-4"}`), row("entry-5", `{}`), row("10.0.0.6", `{}`), row("host:7400", `{}`),
	}})
	var addresses []string
	for _, e := range all {
		addresses = append(addresses, string(e.Address))
	}
	qt.Assert(t, addresses, qt.DeepEquals, []string{address, "10.0.0.2:7400", "10.0.0.3:7400"})
}

// TestRenewalsReadFewRows guards against renewals that read too much. The rows that all entries of a region read in one renewal interval
// must grow with the number of entries, not with its square. In a small region each entry reads all rows.
func TestRenewalsReadFewRows(t *testing.T) {
	const rounds = 20
	read := make(map[int]int)
	for _, n := range []int{3, 100, 200} {
		s := &delayedStore{rows: memory.New()}
		ctx := context.Background()
		for range rounds {
			for i := range n {
				r := members.NewRegistrar(s, ident.Address(fmt.Sprintf("10.0.0.%d:1", i)), members.Entry{Name: "e"}, func() int { return n }, logs.Discard())
				qt.Assert(t, r.Renew(ctx), qt.IsNil)
			}
		}
		read[n] = s.read / rounds
	}
	qt.Check(t, read[3] >= 3*2*2, qt.IsTrue, qt.Commentf("%v", read))
	qt.Check(t, read[100] < 100*2*8, qt.IsTrue, qt.Commentf("%v", read))
	qt.Check(t, read[200] < 3*read[100], qt.IsTrue, qt.Commentf("%v", read))
}
