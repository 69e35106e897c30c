package claims_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/kept/claims"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/lease"
	"hillreel/internal/kept/record"
)

const (
	settle = time.Second
	ended  = 10 * time.Second // by the store's clock
	old    = record.LeaseID("old-0")
)

var start = time.Unix(1000, 0)

// entry stands in for the entry's own lease and the store. It records the calls.
type entry struct {
	held      bool
	wanted    bool
	quiet     time.Time
	scans     int
	writes    []jobstore.Op
	callbacks []func(time.Time, jobstore.Result)
}

func (e *entry) ID() record.LeaseID    { return "own-0" }
func (e *entry) Held(time.Time) bool   { return e.held }
func (e *entry) Request(time.Time)     { e.wanted = true }
func (e *entry) QuietSince() time.Time { return e.quiet }
func (e *entry) Scan()                 { e.scans++ }
func (e *entry) Write(op jobstore.Op, then func(time.Time, jobstore.Result)) {
	e.writes, e.callbacks = append(e.writes, op), append(e.callbacks, then)
}

func newClaims(e *entry) *claims.Claims {
	return claims.New(claims.Options{
		Node: "vm-1", LeaseDuration: 4 * time.Second, SettleTime: settle,
		LogEvent: func(logrus.Level, string, logrus.Fields) {}, Log: logs.Discard(),
	}, e, e)
}

// leaseRow returns the row of a lease that has expired.
func leaseRow(node string) rows.Row {
	return rows.Row{
		Key: record.LeaseKey(old), Version: 3,
		Value: record.EncodeLogged(logs.Discard(), record.Lease{Node: node, UntilMs: ended.Milliseconds()}),
	}
}

// TestClaim guards against jobs that are taken over while a run of their former owner may still be running, or by an entry
// without a lease.
func TestClaim(t *testing.T) {
	const late = settle + lease.ClockMargin
	for _, test := range []struct {
		name           string
		node           string
		held           bool
		quietFor       time.Duration
		clock          time.Duration
		writes, wanted bool
	}{
		{"not expired", "vm-2", true, time.Hour, ended, false, false},
		{"runs may still be running", "vm-2", true, time.Hour, ended + late, false, false},
		{"no run is running", "vm-2", true, time.Hour, ended + late + 1, true, false},
		{"no run is running, but no own lease", "vm-2", false, time.Hour, ended + late + 1, false, true},
		{"an earlier incarnation", "vm-1", true, settle + 1, 0, true, false},
		{"an earlier incarnation that may still act", "vm-1", true, settle, 0, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := &entry{held: test.held, quiet: start.Add(-test.quietFor)}
			c := newClaims(e)
			c.HandleLeases(start, test.clock, []rows.Row{leaseRow(test.node)})
			c.HandleLeases(start, test.clock, []rows.Row{leaseRow(test.node)}) // must not claim the lease twice
			qt.Assert(t, c.HasClaims(), qt.Equals, test.writes)
			qt.Assert(t, len(e.writes), qt.Equals, map[bool]int{true: 1}[test.writes])
			qt.Assert(t, e.wanted, qt.Equals, test.wanted)
			qt.Assert(t, c.HasOthers(), qt.IsTrue)
		})
	}
}

// TestClaimedJobsAreScanned checks that the jobs of a claimed lease are scanned for, and that the lease's row is removed only
// when all of them are taken over. A job whose lease was removed too early would wait for the next scan.
func TestClaimedJobsAreScanned(t *testing.T) {
	e := &entry{held: true}
	c := newClaims(e)
	c.HandleLeases(start, time.Minute, []rows.Row{leaseRow("vm-2")})
	e.callbacks[0](start, jobstore.Result{Outcome: jobstore.Done, Version: 4})
	qt.Assert(t, e.scans, qt.Equals, 1)
	present := []rows.Row{leaseRow("vm-2"), {Key: record.LeaseKey("alive-0")}}
	ids := c.HandleScan([]claims.Job{{1, old}, {2, "alive-0"}, {3, "gone-0"}, {4, old}}, present)
	qt.Assert(t, ids, qt.DeepEquals, []job.ID{1, 3, 4})
	c.RemoveJob(1)
	c.RemoveFinished()
	qt.Assert(t, e.writes, qt.HasLen, 1)
	c.RemoveJob(4)
	c.RemoveFinished()
	qt.Assert(t, e.writes, qt.HasLen, 2)
	qt.Assert(t, e.writes[1].Txn, qt.DeepEquals, rows.Txn{
		If:     []rows.Condition{{Key: record.LeaseKey(old), Version: 4}},
		Remove: []rows.Key{record.LeaseKey(old)},
	})
	qt.Assert(t, c.HasClaims(), qt.IsFalse)
}

// TestLostClaim checks that a claim is given up if another entry has claimed the lease first, or if the entry loses its own
// lease. Otherwise two entries would take over the same jobs.
func TestLostClaim(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(c *claims.Claims, e *entry)
	}{
		{"conflict", func(_ *claims.Claims, e *entry) { e.callbacks[0](start, jobstore.Result{Outcome: jobstore.Conflict}) }},
		{"own lease lost", func(c *claims.Claims, e *entry) {
			c.Clear()
			e.callbacks[0](start, jobstore.Result{Outcome: jobstore.Done, Version: 4})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := &entry{held: true}
			c := newClaims(e)
			c.HandleLeases(start, time.Minute, []rows.Row{leaseRow("vm-2")})
			test.do(c, e)
			qt.Assert(t, c.HasClaims(), qt.IsFalse)
			qt.Assert(t, e.scans, qt.Equals, 0)
		})
	}
}

// TestOddLeases guards against the jobs of a lost entry that nobody ever takes over because another program has changed the row of its lease,
// and against those of a living entry that are taken over because of that.
func TestOddLeases(t *testing.T) {
	const clock = time.Hour
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	good := rows.Row{Key: record.LeaseKey("good-0"), Version: 4, Value: record.EncodeLogged(logs.Discard(), record.Lease{
		Node: "vm-3", UntilMs: (clock + time.Minute).Milliseconds(), Waiting: map[route.Name]int{"r": 2},
	})}
	for _, value := range []string{
		"", "\xff", "7", nested, `{"until_ms":1e400}`, `{"until_ms":9223372036854775807}`, `{"until_ms":-9223372036854775808}`,
		`{"until_ms":3600000000,"waiting":{"r":1}}`, `{"until_ms":7,"waiting":{"r":1e400}}`,
	} {
		for _, renews := range []bool{false, true} {
			t.Run(fmt.Sprintf("%.40q, renewed %t", value, renews), func(t *testing.T) {
				e := &entry{held: true}
				c := newClaims(e)
				row := rows.Row{Key: record.LeaseKey(old), Version: 3, Value: []byte(value)}
				for i := range 20 {
					c.HandleLeases(start.Add(time.Duration(i)*500*time.Millisecond), clock, []rows.Row{row, good})
					if i < 10 {
						qt.Assert(t, e.writes, qt.HasLen, 0, qt.Commentf("claimed after %d reads", i))
					}
					if renews {
						row.Version++
					}
				}
				qt.Check(t, len(e.writes) > 0, qt.Equals, !renews)
				qt.Check(t, c.NotBegun("r"), qt.Equals, 2)
			})
		}
	}
}

// TestOddNumbersOfWaitingJobs guards against a number of waiting jobs that is negative or absurd because of one lease.
func TestOddNumbersOfWaitingJobs(t *testing.T) {
	e := &entry{held: true}
	c := newClaims(e)
	var all []rows.Row
	for i, waiting := range []int{-5, 3, math.MaxInt, math.MaxInt} {
		all = append(all, rows.Row{
			Key: record.LeaseKey(record.LeaseID(fmt.Sprint("lease-", i))), Version: 3,
			Value: record.EncodeLogged(logs.Discard(), record.Lease{Node: "vm-2", UntilMs: time.Hour.Milliseconds(), Waiting: map[route.Name]int{"r": waiting}}),
		})
	}
	c.HandleLeases(start, time.Minute, all)
	n := c.NotBegun("r")
	qt.Check(t, n >= 3 && n <= 3_000_000, qt.IsTrue, qt.Commentf("%d", n))
}
