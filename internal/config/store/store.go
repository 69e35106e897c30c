// Package store holds the configuration objects that operators change in the platform's store. There is one row per object, one
// audit row per change, and one head row whose content counts all accepted changes. A change takes effect in one transaction.
package store

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"hillreel/internal/config/object"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
)

// The tables. All rows are in the empty part, because the transaction of a change writes to each of the tables.
const (
	// Objects has a row for each object. All entries follow this table.
	Objects     rows.Table = "hillreel_objects"
	headTable   rows.Table = "hillreel_head"
	auditTable  rows.Table = "hillreel_audit"
	changeTable rows.Table = "hillreel_changes"
)

// headName is the name of the only row of headTable.
const headName = "config"

// maxTries bounds the attempts of a change, which fails whenever another change has written the head row meanwhile.
const maxTries = 50

// Rows is the part of the platform's store that a Store uses.
type Rows interface {
	Read(ctx context.Context, k rows.Key) (rows.Row, error)
	List(ctx context.Context, table rows.Table, part string) (rows.Page, error)
	Commit(ctx context.Context, t rows.Txn) (rows.Version, error)
}

// Change is a change that an operator requests.
type Change struct {
	// ID identifies the change. A change takes effect only once, however often it is sent.
	ID  string     `json:"id"`
	Who string     `json:"who"`
	Ref object.Ref `json:"ref"`
	// If is the version of the object that the operator saw. Zero means that the object does not exist.
	If uint64 `json:"if"`
	// Spec is the object's new content. Nil deletes the object.
	Spec json.RawMessage `json:"spec,omitempty"`
}

// Audit is the record of an accepted change: who changed which object, when, and from which version to which.
type Audit struct {
	Version ident.ConfigVersion `json:"version"`
	When    time.Time           `json:"when"`
	Change
	// To is the object's version after the change, or zero if the change deleted it.
	To uint64 `json:"to"`
}

// Conflict is the error of a change whose object has another version than the operator saw.
type Conflict struct {
	// Current is the object as it is now. Its version is zero if the object does not exist.
	Current object.Object
}

// Error returns the object and its current version.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%s has version %d now", c.Current.Ref, c.Current.Version)
}

// Store reads and changes configuration objects.
type Store struct {
	rows Rows
	now  func() time.Time
}

// New returns a Store. now returns the time of audits.
func New(r Rows, now func() time.Time) *Store { return &Store{r, now} }

// head is the value of the head row.
type head struct {
	Version ident.ConfigVersion `json:"version"`
}

// readHead returns the content of the head row and the row's own version. Both are zero before the first change.
func (s *Store) readHead(ctx context.Context) (head, rows.Version, error) {
	row, err := s.rows.Read(ctx, rows.Key{Table: headTable, Name: headName})
	if err != nil || row.Version == 0 {
		return head{}, 0, err
	}
	var h head
	err = json.Unmarshal(row.Value, &h)
	return h, row.Version, errors.Wrap(err, "config: head row")
}

// Apply carries out a change. Its error is one of:
//   - a *Conflict;
//   - a *verdict.Error with verdict not_run if nothing was changed;
//   - a *verdict.Error with verdict may_have_run if the store's answer was lost and the outcome could not be read back. The same
//     change may then be sent again.
func (s *Store) Apply(ctx context.Context, c Change) (Audit, error) {
	for range maxTries {
		audit, retry, err := s.tryApply(ctx, c)
		if !retry {
			return audit, err
		}
	}
	return Audit{}, verdict.New(verdict.NotRun, verdict.Overloaded, "too many concurrent changes; try again")
}

// tryApply attempts a change once. retry is true if a concurrent change has won.
func (s *Store) tryApply(ctx context.Context, c Change) (audit Audit, retry bool, err error) {
	if done, err := s.findApplied(ctx, c); err != nil || done != nil {
		return auditOrZero(done), false, err
	}
	h, headRow, err := s.readHead(ctx)
	if err != nil {
		return Audit{}, false, notRun(err)
	}
	present, objectRow, err := s.readCurrent(ctx, c.Ref)
	if err != nil {
		return Audit{}, false, notRun(err)
	}
	if present.Version != c.If {
		return Audit{}, false, &Conflict{present}
	}
	audit = Audit{Version: h.Version + 1, When: s.now(), Change: c}
	if c.Spec != nil {
		// The version of the configuration only grows, so that an object which is deleted and created again gets a new version.
		audit.To = uint64(audit.Version)
	}
	txn, err := buildTxn(audit, headRow, objectRow)
	if err != nil {
		return Audit{}, false, err
	}
	_, err = s.rows.Commit(ctx, txn)
	switch {
	case err == nil:
		return audit, false, nil
	case errors.Is(err, rows.ErrConflict):
		return Audit{}, true, nil
	case errors.Is(err, rows.ErrRefused):
		return Audit{}, false, notRun(err)
	}
	return s.readBack(ctx, c, err)
}

// readBack determines the outcome of a write whose answer was lost. lost is the error of that write.
func (s *Store) readBack(ctx context.Context, c Change, lost error) (Audit, bool, error) {
	done, err := s.findApplied(ctx, c)
	switch {
	case err != nil:
		return Audit{}, false, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.Unreachable, Cause: lost}
	case done != nil:
		return *done, false, nil
	}
	return Audit{}, false, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.Unreachable, Cause: lost}
}

// findApplied returns the audit of a change that has taken effect already, or nil.
func (s *Store) findApplied(ctx context.Context, c Change) (*Audit, error) {
	row, err := s.rows.Read(ctx, rows.Key{Table: changeTable, Name: c.ID})
	if err != nil {
		return nil, notRun(err)
	}
	if row.Version == 0 {
		return nil, nil
	}
	var a Audit
	if err := json.Unmarshal(row.Value, &a); err != nil {
		return nil, errors.Wrap(err, "config: change row")
	}
	if a.Ref != c.Ref || a.If != c.If {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "change_id: was used for another change, of "+a.Ref.String())
	}
	return &a, nil
}

func auditOrZero(a *Audit) Audit {
	if a == nil {
		return Audit{}
	}
	return *a
}

// notRun wraps an error after which it is certain that nothing was written.
func notRun(err error) error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.Unreachable, Cause: err}
}

func objectKey(r object.Ref) rows.Key { return rows.Key{Table: Objects, Name: r.String()} }

func (s *Store) readCurrent(ctx context.Context, r object.Ref) (object.Object, rows.Version, error) {
	row, err := s.rows.Read(ctx, objectKey(r))
	if err != nil || row.Version == 0 {
		return object.Object{Ref: r}, 0, err
	}
	o, err := readObject(row)
	return o, row.Version, err
}

// readObject decodes a row of the table Objects.
func readObject(row rows.Row) (object.Object, error) {
	var o object.Object
	err := json.Unmarshal(row.Value, &o)
	return o, errors.Wrapf(err, "config: row %s", row.Key.Name)
}

// buildTxn returns the transaction that writes the head, object, audit and change rows together.
func buildTxn(a Audit, headRow, objectRow rows.Version) (rows.Txn, error) {
	var txn rows.Txn
	put := func(k rows.Key, present rows.Version, value any) error {
		raw, err := json.Marshal(value)
		txn.If = append(txn.If, rows.Condition{Key: k, Version: present})
		txn.Put = append(txn.Put, rows.Row{Key: k, Value: raw})
		return errors.Wrap(err, "config: encode")
	}
	err := put(rows.Key{Table: headTable, Name: headName}, headRow, head{a.Version})
	if err == nil {
		err = put(rows.Key{Table: auditTable, Name: fmt.Sprintf("%020d", a.Version)}, 0, a)
	}
	if err == nil {
		err = put(rows.Key{Table: changeTable, Name: a.ID}, 0, a)
	}
	if a.Spec == nil {
		txn.If = append(txn.If, rows.Condition{Key: objectKey(a.Ref), Version: objectRow})
		txn.Remove = append(txn.Remove, objectKey(a.Ref))
		return txn, err
	}
	if err == nil {
		err = put(objectKey(a.Ref), objectRow, newObject(a))
	}
	return txn, err
}

func newObject(a Audit) object.Object {
	return object.Object{Ref: a.Ref, Version: a.To, Spec: a.Spec}
}

// History returns the audit trail of one object, or of all objects if r is empty, oldest first.
func (s *Store) History(ctx context.Context, r object.Ref) ([]Audit, error) {
	page, err := s.rows.List(ctx, auditTable, "")
	if err != nil {
		return nil, notRun(err)
	}
	var out []Audit
	for _, row := range page.Rows {
		var a Audit
		if err := json.Unmarshal(row.Value, &a); err != nil {
			return nil, errors.Wrapf(err, "config: row %s", row.Key.Name)
		}
		if r == (object.Ref{}) || a.Ref == r {
			out = append(out, a)
		}
	}
	return out, nil
}
