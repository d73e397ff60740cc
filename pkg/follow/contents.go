package follow

import (
	"sync"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// mostDeletions bounds the deletions that are remembered; who is further behind gets a whole
// copy. Of 300 upstreams that all start again each is deleted once.
const mostDeletions = 1024

// fewObjects is up to how many objects a copy is read whole rather than by its changes.
const fewObjects = 4

// contents is what a copy consists of, as the store gave it, so that it can be handed on. It is
// safe for concurrent use.
type contents struct {
	mu      sync.Mutex
	objects map[string]store.Object
	// deleted holds the positions by which objects were gone.
	deleted map[string]store.Position
	// position is that up to which this is all, floor the one from which on each deletion is in
	// deleted.
	position, floor store.Position
	// number returns the number that an object's writer gave its content, which only rises; nil
	// if contents have none.
	number func(value []byte) uint64
	// kept are the keys whose content is of a higher number than the store's.
	kept map[string]bool
}

// replace takes a whole list. What the writer of an object has numbered higher than what the list
// has stays, also if the list lacks the object: a store that came back from a copy lists what was
// overwritten before, and an instance that starts gets its copy from here.
func (c *contents) replace(list store.Listing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, kept := c.objects, c.kept
	crossed := c.position.Era != list.Position.Era
	c.objects = make(map[string]store.Object, len(list.Objects))
	c.kept = map[string]bool{}
	for _, object := range list.Objects {
		c.objects[object.Key] = c.highest(before[object.Key], object)
	}
	for key, object := range before {
		if _, listed := c.objects[key]; !listed && (crossed || kept[key]) {
			c.keepMissing(object, list.Position)
		}
	}
	c.deleted = map[string]store.Position{}
	c.position, c.floor = list.Position, list.Position
}

// highest returns the content of the higher number at the position of now; c.mu is held.
func (c *contents) highest(before, now store.Object) store.Object {
	if c.number == nil || before.Value == nil || c.number(before.Value) <= c.number(now.Value) {
		delete(c.kept, now.Key)
		return now
	}
	c.kept[now.Key] = true
	now.Value = before.Value
	return now
}

// keepMissing keeps a numbered object that a list of a later era lacks; c.mu is held.
func (c *contents) keepMissing(object store.Object, at store.Position) {
	if c.number == nil || c.number(object.Value) == 0 {
		return
	}
	object.Position = at
	c.objects[object.Key], c.kept[object.Key] = object, true
}

// few reports that the copy is of few objects.
func (c *contents) few() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.objects) <= fewObjects
}

// bytes returns how large the copy is.
func (c *contents) bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, object := range c.objects {
		total += len(object.Value)
	}
	return total
}

// lastChangeIn returns the position of the last change that a list shows, or a later one: that of
// a deletion is not told, so the list's own stands for it.
func (c *contents) lastChangeIn(list store.Listing) store.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.position.IsZero() || c.position.Era != list.Position.Era {
		return list.Position
	}
	last, listed := store.NoPosition, 0
	for _, object := range list.Objects {
		last = store.Later(last, object.Position)
		if _, had := c.objects[object.Key]; had {
			listed++
		}
	}
	if listed < len(c.objects) {
		return list.Position
	}
	return last
}

// apply takes changes up to a version.
func (c *contents) apply(changes store.Changes) {
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
		if c.kept[key] {
			change.Object = c.highest(c.objects[key], change.Object)
		}
		c.objects[key] = change.Object
		delete(c.deleted, key)
	}
	c.position = store.Later(c.position, changes.Position)
	if len(c.deleted) > mostDeletions {
		c.deleted, c.floor = map[string]store.Position{}, c.position
	}
}

// after returns what changed after a position, or the whole if that is not known any more or is of
// another era; nil if there is nothing yet.
func (c *contents) after(since store.Position) *followpb.Contents {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.position.IsZero() {
		return nil
	}
	whole := since.Era != c.position.Era || since.Before(c.floor)
	out := &followpb.Contents{
		Era: uint64(c.position.Era), Since: uint64(since.Version), Version: uint64(c.position.Version), Whole: whole,
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

// listing reads a whole copy.
func listing(c *followpb.Contents) store.Listing {
	list := store.Listing{Position: positionOf(c)}
	for _, object := range c.Objects {
		list.Objects = append(list.Objects, objectOf(c, object))
	}
	return list
}

// changesOf reads what changed.
func changesOf(c *followpb.Contents) store.Changes {
	changes := store.Changes{Position: positionOf(c)}
	for _, object := range c.Objects {
		changes.Changes = append(changes.Changes, store.Change{Object: objectOf(c, object), Deleted: object.Deleted})
	}
	return changes
}

// positionOf is up to where contents are all.
func positionOf(c *followpb.Contents) store.Position {
	return store.Position{Era: store.Era(c.Era), Version: store.Version(c.Version)}
}

// lastChangeOf is the position of the last change in contents, or a later one.
func lastChangeOf(c *followpb.Contents) store.Position {
	return store.Position{Era: store.Era(c.Era), Version: store.Version(c.LastChange)}
}

func objectOf(c *followpb.Contents, o *followpb.CopiedObject) store.Object {
	position := store.Position{Era: store.Era(c.Era), Version: store.Version(o.Version)}
	return store.Object{Key: o.Key, Position: position, Value: o.Value}
}
