package follow

import (
	"sync"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// mostDeletions bounds the deletions that are remembered; who is further behind gets a whole
// copy. Of 300 upstreams that all start again each is deleted once.
const mostDeletions = 1024

// contents is what a copy consists of, as the store gave it, so that it can be handed on. It is
// safe for concurrent use.
type contents struct {
	mu      sync.Mutex
	objects map[string]store.Object
	// deleted holds the versions by which objects were gone.
	deleted map[string]store.Version
	// version is that up to which this is all, floor the one from which on each deletion is in
	// deleted.
	version, floor store.Version
}

// replace takes a whole list.
func (c *contents) replace(list store.Listing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objects = make(map[string]store.Object, len(list.Objects))
	for _, object := range list.Objects {
		c.objects[object.Key] = object
	}
	c.deleted = map[string]store.Version{}
	c.version, c.floor = list.Version, list.Version
}

// apply takes changes up to a version.
func (c *contents) apply(changes store.Changes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.objects == nil {
		c.objects, c.deleted = map[string]store.Object{}, map[string]store.Version{}
	}
	for _, change := range changes.Changes {
		key := change.Object.Key
		if change.Deleted {
			delete(c.objects, key)
			c.deleted[key] = changes.Version
			continue
		}
		c.objects[key] = change.Object
		delete(c.deleted, key)
	}
	c.version = max(c.version, changes.Version)
	if len(c.deleted) > mostDeletions {
		c.deleted, c.floor = map[string]store.Version{}, c.version
	}
}

// after returns what changed after a version, or the whole if that is not known any more; nil
// if there is nothing yet.
func (c *contents) after(since store.Version) *followpb.Contents {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == store.NoVersion {
		return nil
	}
	whole := since < c.floor
	out := &followpb.Contents{Since: uint64(since), Version: uint64(c.version), Whole: whole}
	for _, object := range c.objects {
		if whole || object.Version > since {
			out.Objects = append(out.Objects, &followpb.CopiedObject{
				Key: object.Key, Version: uint64(object.Version), Value: object.Value,
			})
		}
	}
	if !whole {
		for key, version := range c.deleted {
			if version > since {
				out.Objects = append(out.Objects, &followpb.CopiedObject{Key: key, Version: uint64(version), Deleted: true})
			}
		}
	}
	return out
}

// listing reads a whole copy.
func listing(c *followpb.Contents) store.Listing {
	list := store.Listing{Version: store.Version(c.Version)}
	for _, object := range c.Objects {
		list.Objects = append(list.Objects, objectOf(object))
	}
	return list
}

// changesOf reads what changed.
func changesOf(c *followpb.Contents) store.Changes {
	changes := store.Changes{Version: store.Version(c.Version)}
	for _, object := range c.Objects {
		changes.Changes = append(changes.Changes, store.Change{Object: objectOf(object), Deleted: object.Deleted})
	}
	return changes
}

func objectOf(o *followpb.CopiedObject) store.Object {
	return store.Object{Key: o.Key, Version: store.Version(o.Version), Value: o.Value}
}
