// Package config keeps configuration in the platform's table: one row an object, one head row whose version
// counts all accepted changes, one audit row a change. A change takes effect in one transaction.
package config

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"hillreel/internal/config/object"
	"hillreel/internal/config/state"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
	"hillreel/internal/platform/table"
)

// Rows and prefixes in the table.
const (
	headKey      = "config_head"
	objectPrefix = "config/"
	auditPrefix  = "audit/"
	changePrefix = "change/"
)

// maxRaces bounds how often a change is tried again because another one moved the head.
const maxRaces = 50

// maxSteps is how many versions behind a reader takes changes one by one; further behind it lists all.
const maxSteps = 20

// Table is what a Store needs of the platform.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix string) ([]table.Row, error)
	Commit(ctx context.Context, t table.Txn) ([]table.Row, error)
}

// Change is one change that an operator asks for.
type Change struct {
	// ID makes the change take effect once, however often it is sent.
	ID  string     `json:"id"`
	Who string     `json:"who"`
	Ref object.Ref `json:"ref"`
	// If is the object's version that the operator saw; zero creates.
	If uint64 `json:"if"`
	// Spec is the new content; nil deletes.
	Spec json.RawMessage `json:"spec,omitempty"`
}

// Audit says who changed what, when, and from which version to which.
type Audit struct {
	Version ident.ConfigVersion `json:"version"`
	When    time.Time           `json:"when"`
	Change
	// To is the object's version afterwards; zero when deleted.
	To uint64 `json:"to"`
}

// Conflict says that the object has another version than the operator saw.
type Conflict struct {
	// Present is the object as it is; its version is zero if there is none.
	Present object.Object
}

// Error names the present version.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%s has version %d now", c.Present.Ref, c.Present.Version)
}

// Store reads and changes configuration.
type Store struct {
	table Table
	now   func() time.Time
}

// New returns a Store.
func New(t Table, now func() time.Time) *Store { return &Store{t, now} }

type head struct {
	Version ident.ConfigVersion `json:"version"`
}

// stored is an object's row.
type stored struct {
	Object object.Object `json:"object"`
}

// Head returns the version of the newest accepted change.
func (s *Store) Head(ctx context.Context) (ident.ConfigVersion, error) {
	h, _, err := s.head(ctx)
	return h.Version, err
}

func (s *Store) head(ctx context.Context) (head, table.Version, error) {
	row, err := s.table.Get(ctx, headKey)
	if errors.Is(err, table.ErrNotFound) {
		return head{}, 0, nil
	}
	var h head
	if err == nil {
		err = json.Unmarshal(row.Value, &h)
	}
	return h, row.Version, err
}

// Apply does a change. Its errors are a *Conflict, or a *verdict.Error: not_run, or may_have_run when the
// table's answer was lost and could not be read back; the same change may then be sent again.
func (s *Store) Apply(ctx context.Context, c Change) (Audit, error) {
	for range maxRaces {
		audit, again, err := s.try(ctx, c)
		if !again {
			return audit, err
		}
	}
	return Audit{}, verdict.New(verdict.NotRun, verdict.Overloaded, "too many changes at once; try again")
}

// try attempts a change once; again is true when only the head had moved.
func (s *Store) try(ctx context.Context, c Change) (audit Audit, again bool, err error) {
	if done, err := s.done(ctx, c); err != nil || done != nil {
		return deref(done), false, err
	}
	h, headRow, err := s.head(ctx)
	if err != nil {
		return Audit{}, false, notRun(err)
	}
	present, objectRow, err := s.object(ctx, c.Ref)
	if err != nil {
		return Audit{}, false, notRun(err)
	}
	if present.Version != c.If {
		return Audit{}, false, &Conflict{present}
	}
	audit = Audit{Version: h.Version + 1, When: s.now(), Change: c}
	if c.Spec != nil {
		// Versions never come again, also when an object is deleted and made anew.
		audit.To = uint64(audit.Version)
	}
	txn, err := transaction(audit, headRow, objectRow)
	if err != nil {
		return Audit{}, false, err
	}
	_, err = s.table.Commit(ctx, txn)
	switch {
	case err == nil:
		return audit, false, nil
	case verdict.Of(err) == verdict.NotRun:
		return Audit{}, true, nil
	}
	return s.readBack(ctx, c, err)
}

// readBack finds out what became of a write whose answer was lost.
func (s *Store) readBack(ctx context.Context, c Change, lost error) (Audit, bool, error) {
	done, err := s.done(ctx, c)
	switch {
	case err != nil:
		return Audit{}, false, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.Unreachable, Cause: lost}
	case done != nil:
		return *done, false, nil
	}
	return Audit{}, false, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.Unreachable, Cause: lost}
}

// done returns the audit of a change that has taken effect before, or nil.
func (s *Store) done(ctx context.Context, c Change) (*Audit, error) {
	row, err := s.table.Get(ctx, changePrefix+c.ID)
	if errors.Is(err, table.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, notRun(err)
	}
	var a Audit
	if err := json.Unmarshal(row.Value, &a); err != nil {
		return nil, errors.Wrap(err, "config: change row")
	}
	if a.Ref != c.Ref || a.If != c.If {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "change_id: was used for another change")
	}
	return &a, nil
}

func deref(a *Audit) Audit {
	if a == nil {
		return Audit{}
	}
	return *a
}

// notRun marks an error of a read: nothing was written.
func notRun(err error) error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.Unreachable, Cause: err}
}

func (s *Store) object(ctx context.Context, r object.Ref) (object.Object, table.Version, error) {
	row, err := s.table.Get(ctx, objectPrefix+r.String())
	if errors.Is(err, table.ErrNotFound) {
		return object.Object{Ref: r}, 0, nil
	}
	var o stored
	if err == nil {
		err = json.Unmarshal(row.Value, &o)
	}
	return o.Object, row.Version, err
}

func transaction(a Audit, headRow, objectRow table.Version) (table.Txn, error) {
	var txn table.Txn
	add := func(key string, v table.Version, value any) error {
		raw, err := json.Marshal(value)
		txn.Writes = append(txn.Writes, table.Write{Key: key, If: v, Value: raw})
		return err
	}
	var object any
	if a.Spec != nil {
		object = stored{objectOf(a)}
	}
	for _, err := range []error{
		add(headKey, headRow, head{a.Version}),
		add(objectPrefix+a.Ref.String(), objectRow, object),
		add(auditKey(a.Version), 0, a),
		add(changePrefix+a.ID, 0, a),
	} {
		if err != nil {
			return txn, errors.Wrap(err, "config: encode")
		}
	}
	return txn, nil
}

func objectOf(a Audit) object.Object {
	return object.Object{Ref: a.Ref, Version: a.To, Spec: a.Spec}
}

func auditKey(v ident.ConfigVersion) string { return fmt.Sprintf("%s%020d", auditPrefix, v) }

// Load returns the newest state. From a state that is a few versions behind it reads only the changes.
func (s *Store) Load(ctx context.Context, from *state.State) (*state.State, error) {
	newest, err := s.Head(ctx)
	if err != nil || newest <= from.Version() {
		return from, err
	}
	if newest-from.Version() <= maxSteps {
		return s.step(ctx, from, newest)
	}
	return s.loadAll(ctx)
}

// step applies the changes after from one by one.
func (s *Store) step(ctx context.Context, from *state.State, to ident.ConfigVersion) (*state.State, error) {
	objects := make(map[object.Ref]object.Object)
	for _, o := range from.List("") {
		objects[o.Ref] = o
	}
	for v := from.Version() + 1; v <= to; v++ {
		row, err := s.table.Get(ctx, auditKey(v))
		if err != nil {
			return from, errors.Wrapf(err, "config: change %d", v)
		}
		var a Audit
		if err := json.Unmarshal(row.Value, &a); err != nil {
			return from, errors.Wrapf(err, "config: change %d", v)
		}
		objects[a.Ref] = objectOf(a)
		if a.To == 0 {
			delete(objects, a.Ref)
		}
	}
	return state.New(to, values(objects)), nil
}

// loadAll lists all objects between two equal readings of the head.
func (s *Store) loadAll(ctx context.Context) (*state.State, error) {
	for range maxRaces {
		before, err := s.Head(ctx)
		if err != nil {
			return nil, err
		}
		rows, err := s.table.List(ctx, objectPrefix)
		if err != nil {
			return nil, err
		}
		after, err := s.Head(ctx)
		if err != nil {
			return nil, err
		}
		if before != after {
			continue
		}
		var objects []object.Object
		for _, row := range rows {
			var o stored
			if err := json.Unmarshal(row.Value, &o); err != nil {
				return nil, errors.Wrapf(err, "config: row %s", row.Key)
			}
			objects = append(objects, o.Object)
		}
		return state.New(after, objects), nil
	}
	return nil, errors.New("config: the head moves too fast to read a whole state")
}

// History returns the audit trail, oldest first, of one object or, with an empty ref, of all.
func (s *Store) History(ctx context.Context, r object.Ref) ([]Audit, error) {
	rows, err := s.table.List(ctx, auditPrefix)
	if err != nil {
		return nil, err
	}
	var out []Audit
	for _, row := range rows {
		var a Audit
		if err := json.Unmarshal(row.Value, &a); err != nil {
			return nil, errors.Wrapf(err, "config: row %s", row.Key)
		}
		if r == (object.Ref{}) || a.Ref == r {
			out = append(out, a)
		}
	}
	return out, nil
}

func values(m map[object.Ref]object.Object) []object.Object {
	var out []object.Object
	for _, o := range m {
		out = append(out, o)
	}
	return out
}
