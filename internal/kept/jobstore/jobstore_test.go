package jobstore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/core/logs"
	"hillreel/internal/core/rows"
	"hillreel/internal/kept/jobstore"
)

// fake is a store that answers as the test says.
type fake struct {
	mu sync.Mutex
	// answer returns the error of a transaction. version is the version of the last transaction.
	answer  func(t rows.Txn) error
	version rows.Version
	txns    []rows.Txn
	// commitGate blocks transactions while it is locked.
	commitGate sync.Mutex
}

func (f *fake) Commit(_ context.Context, t rows.Txn) (rows.Version, error) {
	f.commitGate.Lock()
	defer f.commitGate.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.txns = append(f.txns, t)
	f.version++
	return f.version, f.answer(t)
}

func (f *fake) Read(_ context.Context, k rows.Key) (rows.Row, error) {
	if k.Table == "conditions" && k.Name != "3" {
		return rows.Row{Key: k}, nil
	}
	return rows.Row{Key: k, Version: 77}, nil
}

func (f *fake) Range(context.Context, rows.Range) (rows.Page, error) { return rows.Page{}, nil }

func (f *fake) sizes() (out []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.txns {
		out = append(out, len(t.Put))
	}
	return out
}

func op(id int) jobstore.Op {
	return jobstore.Op{
		ID: jobstore.OpID(id), Part: "p", ReadOnConflict: []rows.Key{{Table: "t", Name: "n"}},
		Txn: rows.Txn{
			If:  []rows.Condition{{Key: rows.Key{Table: "conditions", Part: "p", Name: fmt.Sprint(id)}}},
			Put: []rows.Row{{Key: rows.Key{Table: "t", Part: "p", Name: fmt.Sprint(id)}}},
		},
	}
}

func start(t *testing.T, answer func(rows.Txn) error) (*fake, *jobstore.Writer, chan jobstore.Result) {
	f := &fake{answer: answer}
	results := make(chan jobstore.Result, 100)
	w := jobstore.New(f, func(r jobstore.Result) { results <- r }, logs.Discard())
	t.Cleanup(w.Stop)
	return f, w, results
}

func wait(t *testing.T, results chan jobstore.Result) jobstore.Result {
	select {
	case r := <-results:
		return r
	case <-time.After(5 * time.Second):
		t.Fatal("no result")
		return jobstore.Result{}
	}
}

// TestWritesAreGrouped checks that writes that are queued while another one is in progress are committed together. Otherwise
// each would wait for a transaction of its own.
func TestWritesAreGrouped(t *testing.T) {
	f, w, results := start(t, func(rows.Txn) error { return nil })
	f.commitGate.Lock()
	w.Write(op(1))
	time.Sleep(50 * time.Millisecond)
	for i := 2; i <= 6; i++ {
		w.Write(op(i))
	}
	f.commitGate.Unlock()
	for range 6 {
		qt.Assert(t, wait(t, results).Outcome, qt.Equals, jobstore.Done)
	}
	qt.Assert(t, f.sizes(), qt.DeepEquals, []int{1, 5})
}

// TestGroupsAreBounded guards against transactions of more than 100 entries, which the platform does not accept.
func TestGroupsAreBounded(t *testing.T) {
	f, w, results := start(t, func(rows.Txn) error { return nil })
	f.commitGate.Lock()
	for i := range 300 {
		w.Write(op(i))
	}
	f.commitGate.Unlock()
	for range 300 {
		wait(t, results)
	}
	for _, n := range f.sizes() {
		qt.Assert(t, n <= 100, qt.IsTrue)
	}
}

// TestWritesOfOneRowAreNotGrouped guards against a transaction that puts one row twice, under two conditions.
func TestWritesOfOneRowAreNotGrouped(t *testing.T) {
	f, w, results := start(t, func(rows.Txn) error { return nil })
	f.commitGate.Lock()
	w.Write(op(1))
	time.Sleep(50 * time.Millisecond)
	for _, id := range []int{2, 3, 2, 4} {
		w.Write(op(id))
	}
	f.commitGate.Unlock()
	for range 5 {
		qt.Assert(t, wait(t, results).Outcome, qt.Equals, jobstore.Done)
	}
	qt.Assert(t, f.sizes(), qt.DeepEquals, []int{1, 2, 2})
}

// TestConflictOfOne checks that the other writes of a group are done if the condition of one does not hold, and that the
// result of the latter holds the rows that the store has.
func TestConflictOfOne(t *testing.T) {
	f, w, results := start(t, func(t rows.Txn) error {
		for _, p := range t.Put {
			if p.Key.Name == "3" {
				return rows.ErrConflict
			}
		}
		return nil
	})
	f.commitGate.Lock()
	for i := 1; i <= 4; i++ {
		w.Write(op(i))
	}
	f.commitGate.Unlock()
	for range 4 {
		r := wait(t, results)
		want := jobstore.Done
		if r.ID == 3 {
			want = jobstore.Conflict
			qt.Assert(t, r.Found[0].Version, qt.Equals, rows.Version(77))
		}
		qt.Assert(t, r.Outcome, qt.Equals, want)
	}
}

// TestDoubt checks the outcome of a write that got no answer, was refused, or both. A write that may have been done must not
// be reported as refused.
func TestDoubt(t *testing.T) {
	silent := errors.New("no answer")
	soon := func(o jobstore.Op) jobstore.Op { o.GiveUpAt = time.Now().Add(150 * time.Millisecond); return o }
	once := func(o jobstore.Op) jobstore.Op { o.NoRetry = true; return o }
	for _, test := range []struct {
		name string
		op   jobstore.Op
		// answers are the errors of the first attempts; later attempts succeed.
		answers []error
		want    jobstore.Outcome
	}{
		{"refused for a while", op(1), []error{rows.ErrRefused, rows.ErrRefused}, jobstore.Done},
		{
			"refused until it is given up", soon(op(1)),
			[]error{rows.ErrRefused, rows.ErrRefused, rows.ErrRefused, rows.ErrRefused}, jobstore.Refused,
		},
		{
			"uncertain, then refused beyond GiveUpAt", soon(op(1)),
			[]error{silent, rows.ErrRefused, rows.ErrRefused, rows.ErrRefused}, jobstore.Done,
		},
		{"uncertain, and it was done", op(1), []error{silent, rows.ErrConflict}, jobstore.Conflict},
		{"no retry, refused", once(op(1)), []error{rows.ErrRefused}, jobstore.Refused},
		{"no retry, uncertain", once(op(1)), []error{silent}, jobstore.Uncertain},
	} {
		t.Run(test.name, func(t *testing.T) {
			left := test.answers
			_, w, results := start(t, func(rows.Txn) error {
				if len(left) == 0 {
					return nil
				}
				err := left[0]
				left = left[1:]
				return err
			})
			w.Write(test.op)
			qt.Assert(t, wait(t, results).Outcome, qt.Equals, test.want)
		})
	}
}

// TestNoDoubtBehindDoubt checks that the writes behind an uncertain write are not started, so that they can still be refused.
// Otherwise one lost answer would make the outcome of all later writes unknown. It also checks that the store counts as
// unavailable when it does not answer.
func TestNoDoubtBehindDoubt(t *testing.T) {
	f, w, results := start(t, func(rows.Txn) error { return errors.New("no answer") })
	w.Write(op(1))
	time.Sleep(50 * time.Millisecond)
	o := op(2)
	o.GiveUpAt = time.Now().Add(200 * time.Millisecond)
	w.Write(o)
	r := wait(t, results)
	qt.Assert(t, r.ID, qt.Equals, jobstore.OpID(2))
	qt.Assert(t, r.Outcome, qt.Equals, jobstore.Refused)
	for _, n := range f.sizes() {
		qt.Assert(t, n, qt.Equals, 1)
	}
	qt.Assert(t, w.Unavailable(), qt.IsFalse)
	time.Sleep(time.Second)
	qt.Assert(t, w.Unavailable(), qt.IsTrue)
}
