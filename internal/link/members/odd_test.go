package members_test

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/follow"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/rows"
	"hillreel/internal/link/members"
	"hillreel/internal/standin/memory"
)

// TestOddEntries guards against one odd row in the list of entries that ends the processes which read the list, or makes them stop following
// it. The entries beside it count, also in later changes.
func TestOddEntries(t *testing.T) {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, test := range []struct {
		name, row, value string
		// listed is set if the row still names an entry.
		listed bool
	}{
		{"very deeply nested", "10.0.0.2:7400", nested, true},
		{"very deeply nested in a field", "10.0.0.2:7400", `{"wants":` + nested + `}`, true},
		{"a number that is too large", "10.0.0.2:7400", `{"incarnation":1e400,"zone":99999999999999999999}`, true},
		{"a port out of range", "10.0.0.2:70000", `{}`, false},
		{"a negative port", "10.0.0.2:-1", `{}`, false},
		{"port 0", "10.0.0.2:0", `{}`, false},
		{"no single process", "0.0.0.0:7400", `{}`, false},
		{"multicast", "224.0.0.1:7400", `{}`, false},
		{"a very long name", strings.Repeat("9", 10_000) + ":1", `{}`, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var all []fleet.Entry
			d := members.NewDirectory(func(entries []fleet.Entry) { all = entries }, logs.Discard())
			row := func(name, value string) rows.Row {
				return rows.Row{Key: rows.Key{Table: members.Table, Name: name}, Value: []byte(value)}
			}
			d.HandleChanges(follow.Changes{Complete: true, Rows: []rows.Row{row(test.row, test.value), row(address, `{"name":"entry-1"}`)}})
			want := 1
			if test.listed {
				want++
			}
			qt.Check(t, all, qt.HasLen, want)
			d.HandleChanges(follow.Changes{Rows: []rows.Row{row("10.0.0.9:7400", `{}`)}})
			qt.Check(t, all, qt.HasLen, want+1)
		})
	}
}

// TestOddRenewals guards against a living entry that is removed because another program has changed its rows, and against rows of another
// program that stay for good: while they do, no entry can say that nobody has a job.
func TestOddRenewals(t *testing.T) {
	const other = "10.0.0.2:7400"
	for _, test := range []struct {
		name string
		// renewal is the value of the other entry's renewal, or empty if there is none.
		renewal string
		// renews is set if the other entry lives and renews its row.
		renews bool
	}{
		{"not JSON, of a living entry", "\xff", true},
		{"from the future, of a living entry", `{"at_ms":9223372036854775807}`, true},
		{"not JSON", "\xff", false},
		{"from the future", `{"at_ms":9223372036854775807}`, false},
		{"a time that is too large", `{"at_ms":1e400}`, false},
		{"a time before any other", `{"at_ms":-9223372036854775808}`, false},
		{"none", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &delayedStore{rows: memory.New()}
			r := members.NewRegistrar(s, address, members.Entry{Name: "e"}, func() int { return 2 }, logs.Discard())
			listed := func() bool {
				_, ok := s.rows.Rows[rows.Key{Table: members.Table, Name: other}]
				return ok
			}
			renewalKey := rows.Key{Table: "hillreel_entry_renewals", Name: other}
			s.rows.Put(rows.Key{Table: members.Table, Name: other}, []byte(`{"name":"other"}`))
			if test.renewal != "" {
				s.rows.Put(renewalKey, []byte(test.renewal))
			}
			ctx := context.Background()
			for i := range 8 {
				qt.Assert(t, r.Renew(ctx), qt.IsNil)
				if i < 4 {
					qt.Assert(t, listed(), qt.IsTrue, qt.Commentf("removed after %v", s.passed))
				}
				s.passed += 10 * time.Second
				if test.renews {
					s.rows.Put(renewalKey, []byte(test.renewal))
				}
			}
			qt.Check(t, listed(), qt.Equals, test.renews)
		})
	}
}
