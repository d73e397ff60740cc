package follow

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// simCopy is an instance's copy of one kind. It records when each change came into force.
type simCopy struct {
	instance  *simInstance
	kind      string
	startedAt time.Time
	mu        sync.Mutex
	objects   map[string]store.Position
	position  store.Position
}

// Replace implements Copy.
func (c *simCopy) Replace(list store.Listing) {
	for _, object := range list.Objects {
		c.decode(object)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordArrivals(list.Position)
	c.objects = map[string]store.Position{}
	for _, object := range list.Objects {
		c.objects[object.Key] = object.Position
	}
}

// Apply implements Copy.
func (c *simCopy) Apply(changes store.Changes) {
	for _, change := range changes.Changes {
		c.decode(change.Object)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordArrivals(changes.Position)
	for _, change := range changes.Changes {
		if change.Deleted {
			delete(c.objects, change.Object.Key)
		} else {
			c.objects[change.Object.Key] = change.Object.Position
		}
	}
}

// decode simulates the time that it takes to check a configuration and bring it into force. That of
// small objects is ignored.
func (c *simCopy) decode(object store.Object) {
	if c.kind == simRouting {
		_ = occupy(c.instance.sim.ctx, &c.instance.cpu, c.instance.decodeTime(len(object.Value)*simCompressionRatio))
	}
}

// recordMissing records the changes that the instance still lacks when it ends.
func (c *simCopy) recordMissing() {
	c.instance.sim.store.mu.Lock()
	revision := c.instance.sim.store.revision
	c.instance.sim.store.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordArrivals(store.At(revision))
}

// recordArrivals records the changes that come into force, before they are applied. The deletion of
// an object that the copy never had does not count. c.mu must be held.
func (c *simCopy) recordArrivals(position store.Position) {
	sim := c.instance.sim
	sim.store.mu.Lock()
	changes := slices.Clone(sim.store.changes[c.kind])
	sim.store.mu.Unlock()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, change := range changes {
		at := change.Object.Position
		if _, had := c.objects[change.Object.Key]; change.Deleted && !had {
			continue
		}
		if c.position.Before(at) && !position.Before(at) {
			sim.arrivals = append(sim.arrivals, arrival{kind: c.kind, instance: c.instance.index, change: at, startedAt: c.startedAt, appliedAt: time.Now()})
		}
	}
	c.position = store.Later(c.position, position)
}

// difference describes how a copy differs from the store; empty if it does not.
func (c *simCopy) difference() string {
	list := c.instance.sim.store.list(c.kind)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, object := range list.Objects {
		if c.objects[object.Key] != object.Position {
			return fmt.Sprintf("%s is at %v, want %v", object.Key, c.objects[object.Key], object.Position)
		}
	}
	if len(c.objects) != len(list.Objects) {
		return fmt.Sprintf("%d objects, want %d", len(c.objects), len(list.Objects))
	}
	return ""
}
