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

// heldStore carries out writes later, while it is told to.
type heldStore struct {
	mu   sync.Mutex
	rows memory.Store
	hold bool
	// held are the writes that were not answered.
	held []rows.Txn
	// read counts the rows that were read.
	read int
	// late are the writes that are done just before the next one.
	late []rows.Txn
}

func (s *heldStore) Range(_ context.Context, of rows.Range) (rows.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rows.Page{Version: s.rows.Version, Now: time.Minute}
	for k, r := range s.rows.Rows {
		if k.Table == of.Table && k.Name >= of.From && (of.To == "" || k.Name < of.To) {
			s.read++
			page.Rows = append(page.Rows, r)
		}
	}
	return page, nil
}

func (s *heldStore) Commit(_ context.Context, t rows.Txn) (rows.Version, error) {
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

// holdBack begins to hold writes back, or ends that.
func (s *heldStore) holdBack(hold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = hold
}

// deliver carries out what was held back, as far as its conditions hold.
func (s *heldStore) deliver() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held
	s.held = nil
	for _, t := range held {
		s.rows.Commit(t)
	}
	return len(held)
}

// registered returns the incarnation in the entry's row, empty when there is none.
func (s *heldStore) registered(t *testing.T) string {
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

// awaitRegistered waits until the entry's row is that of an incarnation.
func (s *heldStore) awaitRegistered(t *testing.T, want string) {
	for until := time.Now().Add(5 * time.Second); s.registered(t) != want; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(until), qt.IsTrue, qt.Commentf("the row is that of %q, want %q", s.registered(t), want))
	}
}

// life starts one life of the entry.
func life(t *testing.T, s *heldStore, incarnation string) *members.Registrar {
	r := members.NewRegistrar(s, address, members.Entry{Name: "e", Incarnation: incarnation}, func() int { return 1 }, logs.Discard())
	qt.Assert(t, r.Start(context.Background()), qt.IsNil)
	return r
}

// TestLateWritesOfAnEarlierLife: a write without an answer may be carried out seconds later. One of an entry's earlier life
// must not take away, or replace, the row of the life that has registered since: until its next renewal, ten seconds
// later, no agent that starts would find it.
func TestLateWritesOfAnEarlierLife(t *testing.T) {
	for _, test := range []struct {
		name  string
		first func(s *heldStore)
	}{
		{"its removal", func(s *heldStore) {
			r := life(t, s, "1")
			s.awaitRegistered(t, "1")
			s.holdBack(true)
			r.Stop()
		}},
		{"its registration", func(s *heldStore) {
			s.holdBack(true)
			r := life(t, s, "1")
			for s.waiting() == 0 {
				time.Sleep(time.Millisecond)
			}
			r.Stop()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &heldStore{rows: memory.New()}
			test.first(s)
			s.holdBack(false)
			second := life(t, s, "2")
			defer second.Stop()
			s.awaitRegistered(t, "2")
			qt.Assert(t, s.deliver() > 0, qt.IsTrue)
			qt.Assert(t, s.registered(t), qt.Equals, "2")
		})
	}
}

// TestStopRemovesTheRow: an entry that ends takes its row along, also when the answer to its last renewal was lost, but
// not that of a successor.
func TestStopRemovesTheRow(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(s *heldStore)
		left   string
	}{
		{"its own", func(*heldStore) {}, ""},
		{"its own, renewed without an answer", func(s *heldStore) {
			key := rows.Key{Table: members.Table, Name: address}
			s.rows.Put(key, s.rows.Rows[key].Value)
		}, ""},
		{"its own, renewed late", func(s *heldStore) {
			key := rows.Key{Table: members.Table, Name: address}
			s.late = []rows.Txn{{Put: []rows.Row{s.rows.Rows[key]}}}
		}, ""},
		{"a successor's", func(s *heldStore) {
			s.rows.Put(rows.Key{Table: members.Table, Name: address}, []byte(`{"incarnation":"2"}`))
		}, "2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &heldStore{rows: memory.New()}
			r := life(t, s, "1")
			s.awaitRegistered(t, "1")
			s.mu.Lock()
			test.before(s)
			s.mu.Unlock()
			r.Stop()
			qt.Assert(t, s.registered(t), qt.Equals, test.left)
		})
	}
}

// waiting counts the writes that are held back.
func (s *heldStore) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// TestRowsOfOtherWriters: a row that names no address is nobody to link to; one that can't be read names its entry all the same.
func TestRowsOfOtherWriters(t *testing.T) {
	var all []fleet.Entry
	d := members.NewDirectory(func(l []fleet.Entry) { all = l }, logs.Discard())
	row := func(name, value string) rows.Row {
		return rows.Row{Key: rows.Key{Table: members.Table, Name: name}, Value: []byte(value)}
	}
	d.HandleChanges(follow.Changes{Complete: true, Rows: []rows.Row{
		row(address, `{"name":"entry-1"}`), row("10.0.0.2:7400", "\xff\x00"), row("10.0.0.3:7400", `{"name":7,"wants":"all"}`),
		row("", `{"name":"entry-4"}`), row("entry-5", `{}`), row("10.0.0.6", `{}`), row("host:7400", `{}`),
	}})
	var addresses []string
	for _, l := range all {
		addresses = append(addresses, string(l.Address))
	}
	qt.Assert(t, addresses, qt.DeepEquals, []string{address, "10.0.0.2:7400", "10.0.0.3:7400"})
}

// TestRenewalsReadFewRows: what all entries of a region read together at their renewals grows with their number, not with its square; in
// a small region each looks at all rows.
func TestRenewalsReadFewRows(t *testing.T) {
	const rounds = 20
	read := make(map[int]int)
	for _, n := range []int{3, 100, 200} {
		s := &heldStore{rows: memory.New()}
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
