package follow

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// worldCopy is one kind's copy at an instance. It notes when each change came into force.
type worldCopy struct {
	instance *worldInstance
	kind     string
	born     time.Time
	mu       sync.Mutex
	objects  map[string]store.Position
	reached  store.Position
}

// Replace implements Copy.
func (c *worldCopy) Replace(list store.Listing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reach(list.Position)
	c.objects = map[string]store.Position{}
	for _, object := range list.Objects {
		c.objects[object.Key] = object.Position
	}
}

// Apply implements Copy.
func (c *worldCopy) Apply(changes store.Changes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reach(changes.Position)
	for _, change := range changes.Changes {
		if change.Deleted {
			delete(c.objects, change.Object.Key)
		} else {
			c.objects[change.Object.Key] = change.Object.Position
		}
	}
}

// end notes what the instance lacked until now.
func (c *worldCopy) end() {
	c.instance.world.store.mu.Lock()
	revision := c.instance.world.store.revision
	c.instance.world.store.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reach(store.At(revision))
}

// reach notes what comes into force, before it is taken in; the end of an object that the copy has
// never had is no news. c.mu is held.
func (c *worldCopy) reach(position store.Position) {
	w := c.instance.world
	w.store.mu.Lock()
	changes := slices.Clone(w.store.changes[c.kind])
	w.store.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, change := range changes {
		at := change.Object.Position
		if _, had := c.objects[change.Object.Key]; change.Deleted && !had {
			continue
		}
		if c.reached.Before(at) && !position.Before(at) {
			w.inForce = append(w.inForce, arrival{kind: c.kind, instance: c.instance.place, change: at, born: c.born, at: time.Now()})
		}
	}
	c.reached = store.Later(c.reached, position)
}

// differs tells in what a copy is not what the store has; empty if in nothing.
func (c *worldCopy) differs() string {
	list := c.instance.world.store.list(c.kind)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, object := range list.Objects {
		if c.objects[object.Key] != object.Position {
			return fmt.Sprintf("%s is of %v, not %v", object.Key, c.objects[object.Key], object.Position)
		}
	}
	if len(c.objects) != len(list.Objects) {
		return fmt.Sprintf("%d objects, not %d", len(c.objects), len(list.Objects))
	}
	return ""
}
