package store

import (
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/config/object"
	"hillreel/internal/config/view"
	"hillreel/internal/core/follow"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rows"
)

// Replica is an entry's replica of all objects. A follow.Follower passes it the changes.
type Replica struct {
	log      *logrus.Entry
	onChange func(*view.View)

	mu      sync.Mutex
	objects map[string]object.Object
	view    *view.View
}

// NewReplica returns an empty Replica. onChange is called with each new view.
func NewReplica(onChange func(*view.View), log *logrus.Entry) *Replica {
	return &Replica{log: log, onChange: onChange, objects: make(map[string]object.Object), view: view.New(0, nil)}
}

// readValid decodes a row and checks the object.
func readValid(row rows.Row) (object.Object, error) {
	o, err := readObject(row)
	if err == nil && o.Ref.String() != row.Key.Name {
		err = errors.Errorf("config: row %s: holds the object %s", row.Key.Name, o.Ref)
	}
	if err == nil {
		err = errors.Wrapf(object.CheckStored(o), "config: row %s", row.Key.Name)
	}
	return o, err
}

// View returns the newest view.
func (c *Replica) View() *view.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// ApplyChanges applies changes of the table Objects and publishes a new view. It is a follow.Handler. The view's version
// is the highest version of any object seen so far; the deletion of an object does not lower it.
func (c *Replica) ApplyChanges(ch follow.Changes) {
	c.mu.Lock()
	former := c.objects
	if ch.Complete {
		c.objects = make(map[string]object.Object)
	}
	version := c.view.Version
	for _, row := range ch.Rows {
		if row.Removed {
			delete(c.objects, row.Key.Name)
			continue
		}
		o, err := readValid(row)
		if err != nil {
			c.log.WithFields(logrus.Fields{"row": row.Key.Name, "error": err.Error()}).Error("object_unreadable")
			if have, ok := former[row.Key.Name]; ok {
				c.objects[row.Key.Name] = have // what was last read of the object stays in force
			}
			continue
		}
		c.objects[row.Key.Name] = o
		version = max(version, ident.ConfigVersion(o.Version))
	}
	all := make([]object.Object, 0, len(c.objects))
	for _, o := range c.objects {
		all = append(all, o)
	}
	c.view = view.New(version, all)
	v := c.view
	c.mu.Unlock()
	c.log.WithFields(logrus.Fields{"version": v.Version, "objects": len(all)}).Info("objects_adopted")
	c.onChange(v)
}
