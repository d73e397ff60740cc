package follow

import (
	"sync"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// maxDeletions bounds the number of remembered deletions. An instance that is further behind
// receives a whole copy. When 300 upstreams restart together, each is deleted once.
const maxDeletions = 1024

// maxListedObjects is the number of objects up to which a copy is read by a list rather than by its
// changes.
const maxListedObjects = 4

// contents holds the objects of a copy as the store returned them, so that the copy can be served
// to other instances. It is safe for concurrent use.
type contents struct {
	mu      sync.Mutex
	objects map[string]store.Object
	// deleted maps the key of each deleted object to the position of the answer that showed the
	// deletion; the position of the deletion itself is not known.
	deleted map[string]store.Position
	// position is the position up to which the copy is complete. Every deletion after deletionsFrom
	// is in deleted.
	position, deletionsFrom store.Position
	// lastChanged is the position of the last change, or a later one. It is kept together with the
	// objects, so that what is served is never ahead of the last change that it is served with.
	lastChanged store.Position
	// number returns the number that an object's writer assigned to its content and that only
	// increases; nil if contents are not numbered.
	number func(value []byte) uint64
	// retained holds the keys whose content has a higher number than the store's.
	retained map[string]bool
	// newest is the latest position at which the store wrote an object of the copy.
	newest store.Position
}

// replaceWith applies a whole list with a last change. Content that its writer numbered higher than
// the list's content is retained, also if the list lacks the object: a store rolled back to a copy
// lists content that had been overwritten before, and starting instances get their copy from here.
func (c *contents) replaceWith(list store.Listing, lastChanged store.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, kept := c.objects, c.retained
	crossed := c.position.Era != list.Position.Era
	c.objects = make(map[string]store.Object, len(list.Objects))
	c.retained = map[string]bool{}
	for _, object := range list.Objects {
		c.newest = store.Later(c.newest, object.Position)
		c.objects[object.Key] = c.withHigherNumber(before[object.Key], object)
	}
	for key, object := range before {
		if _, listed := c.objects[key]; !listed && (crossed || kept[key]) {
			c.retainMissing(object, list.Position)
		}
	}
	c.deleted = map[string]store.Position{}
	c.position, c.deletionsFrom = list.Position, list.Position
	c.lastChanged = store.Later(c.lastChanged, lastChanged)
}

// withHigherNumber returns the content with the higher number, at the position of now. c.mu must be
// held.
func (c *contents) withHigherNumber(before, now store.Object) store.Object {
	if c.number == nil || before.Value == nil || c.number(before.Value) <= c.number(now.Value) {
		delete(c.retained, now.Key)
		return now
	}
	c.retained[now.Key] = true
	now.Value = before.Value
	return now
}

// retainMissing retains a numbered object that a list of a later era lacks. c.mu must be held.
func (c *contents) retainMissing(object store.Object, at store.Position) {
	if c.number == nil || c.number(object.Value) == 0 {
		return
	}
	object.Position = at
	c.objects[object.Key], c.retained[object.Key] = object, true
}

// isSmall reports whether the copy has at most maxListedObjects objects.
func (c *contents) isSmall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.objects) <= maxListedObjects
}

// currentPosition returns the position up to which the contents are complete.
func (c *contents) currentPosition() store.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// newestObject returns the latest position at which the store wrote an object of the copy.
func (c *contents) newestObject() store.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// byteSize returns the total size of the copy's values in bytes.
func (c *contents) byteSize() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, object := range c.objects {
		total += len(object.Value)
	}
	return total
}

// lastChangeIn returns the position of the last change that a list may show, or a later one. A list
// contains neither the position of a deletion nor an object that was created and deleted since the
// copy's position. So it tells the last change only of a copy of one object that exists; otherwise
// the position of the list is used instead.
func (c *contents) lastChangeIn(list store.Listing, onlyKey string) store.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.position == list.Position {
		return c.lastChanged
	}
	if onlyKey != "" && len(list.Objects) == 1 {
		return list.Objects[0].Position
	}
	return list.Position
}

// apply applies the changes up to a position.
func (c *contents) apply(changes store.Changes) { c.applyWith(changes, lastChangePosition(changes)) }

// applyWith applies the changes up to a position with the last change of the copy.
func (c *contents) applyWith(changes store.Changes, lastChanged store.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.objects == nil {
		c.objects, c.deleted = map[string]store.Object{}, map[string]store.Position{}
	}
	for _, change := range changes.Changes {
		key := change.Object.Key
		if change.Deleted {
			delete(c.objects, key)
			c.deleted[key] = changes.Position
			continue
		}
		c.newest = store.Later(c.newest, change.Object.Position)
		if c.retained[key] {
			change.Object = c.withHigherNumber(c.objects[key], change.Object)
		}
		c.objects[key] = change.Object
		delete(c.deleted, key)
	}
	c.position = store.Later(c.position, changes.Position)
	c.lastChanged = store.Later(c.lastChanged, lastChanged)
	if len(c.deleted) > maxDeletions {
		c.deleted, c.deletionsFrom = map[string]store.Position{}, c.position
	}
}

// changesAfter returns the changes after a position, or the whole copy if these changes are no
// longer known or the position is of another era; nil if there is no copy yet.
func (c *contents) changesAfter(since store.Position) *followpb.Contents {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.position.IsZero() {
		return nil
	}
	whole := since.Era != c.position.Era || since.Before(c.deletionsFrom)
	out := &followpb.Contents{
		Era: uint64(c.position.Era), Since: uint64(since.Version), Version: uint64(c.position.Version), Whole: whole,
	}
	if c.lastChanged.Era == c.position.Era {
		out.LastChange = uint64(c.lastChanged.Version)
	}
	for _, object := range c.objects {
		if whole || since.Before(object.Position) {
			out.Objects = append(out.Objects, &followpb.CopiedObject{
				Key: object.Key, Version: uint64(object.Position.Version), Value: object.Value,
			})
		}
	}
	if !whole {
		for key, position := range c.deleted {
			if since.Before(position) {
				gone := &followpb.CopiedObject{Key: key, Version: uint64(position.Version), Deleted: true}
				out.Objects = append(out.Objects, gone)
			}
		}
	}
	return out
}

// listingFrom decodes a whole copy.
func listingFrom(c *followpb.Contents) store.Listing {
	list := store.Listing{Position: positionOf(c)}
	for _, object := range c.Objects {
		list.Objects = append(list.Objects, objectOf(c, object))
	}
	return list
}

// changesFrom decodes changes.
func changesFrom(c *followpb.Contents) store.Changes {
	changes := store.Changes{Position: positionOf(c)}
	for _, object := range c.Objects {
		changes.Changes = append(changes.Changes, store.Change{Object: objectOf(c, object), Deleted: object.Deleted})
	}
	return changes
}

// positionOf returns the position up to which contents are complete.
func positionOf(c *followpb.Contents) store.Position {
	return store.Position{Era: store.Era(c.Era), Version: store.Version(c.Version)}
}

// lastChangeOf returns the position of the last change in contents, or a later one. An instance of
// an earlier version may state one that is before the objects it sends.
func lastChangeOf(c *followpb.Contents) store.Position {
	last := c.LastChange
	for _, object := range c.Objects {
		last = max(last, object.Version)
	}
	return store.Position{Era: store.Era(c.Era), Version: store.Version(last)}
}

func objectOf(c *followpb.Contents, o *followpb.CopiedObject) store.Object {
	position := store.Position{Era: store.Era(c.Era), Version: store.Version(o.Version)}
	return store.Object{Key: o.Key, Position: position, Value: o.Value}
}
