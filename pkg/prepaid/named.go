package prepaid

import (
	"math/rand/v2"
	"time"
)

// The ledger object of a shard names its drawer. Instances rank the candidates among the instances
// that they know. While they know different instances, as after a restart of the whole fleet,
// several instances write, conflicting writes are retried, and the retries cause more conflicts.
// This went on long after all instances knew each other (a metastable failure). The object is the
// same for all instances, and a conflict makes a writer read it. A writer that finds another drawer
// named there therefore asks that drawer instead of retrying, and only a candidate replaces a drawer
// that has crashed or does not answer. The name only saves writes: spent tokens were always drawn by
// a conditional write, no matter which instance made it.

// minNamedFleet is the smallest fleet in which drawers are named. In a smaller one nearly all
// instances are candidates, but conflicts are few, and after an outage each draws for itself at
// once instead of waiting some seconds until a drawer grants tokens: on a day with three outages
// in a row (two seeds), seven instances refused 13.6 in 100 requests with a named drawer
// and 10.9 without.
const minNamedFleet = 16

// claimDrawer names this instance in the shard as its drawer before a write, if this instance is a
// candidate. It fails if the drawer named there already is to be asked instead. Errors:
// *DrawnElsewhereError.
func (n *Node) claimDrawer(shard int, s *Shard) error {
	candidates := n.Fleet.Drawers(shard)
	// An instance that knows few others still sees from the holders in the object that there are
	// many.
	size := max(n.Fleet.NumKnown(), len(s.Holders))
	if len(candidates) == 0 || size < minNamedFleet {
		return nil // each may draw for itself
	}
	nonCandidate := n.isNonCandidate(shard)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shards[shard].drawer = s.Drawer.Name
	if n.stopping {
		return nil // tokens that a stopping instance cannot return are lost
	}
	if n.defersTo(s.Drawer.Name) || n.isDiscovering(shard, s.Drawer) {
		return &DrawnElsewhereError{Shard: shard, Drawer: s.Drawer.Name}
	}
	if !nonCandidate {
		s.Drawer = Drawer{Name: n.Name, Address: n.Address}
		n.shards[shard].drawer = n.Name
	}
	return nil
}

// discoveryTimeout is how long an unknown drawer is searched for before it is replaced.
const discoveryTimeout = time.Second

// isDiscovering reports whether this instance is still trying to discover a drawer that it does not
// know, and starts the discovery; n.mu is held.
func (n *Node) isDiscovering(shard int, drawer Drawer) bool {
	if drawer.Name == "" || drawer.Name == n.Name {
		return false
	}
	if _, known := n.Fleet.Live(drawer.Name); known {
		return false
	}
	state := &n.shards[shard]
	if state.discovering != drawer.Name {
		state.discovering, state.discoveringSince = drawer.Name, n.Now()
		n.Fleet.Discover(drawer.Address)
	}
	return n.Now().Sub(state.discoveringSince) < discoveryTimeout
}

// defersTo reports whether this instance leaves drawing to the instance of that name: another one
// that is alive and is not being avoided after a failure; n.mu is held.
func (n *Node) defersTo(name string) bool {
	if name == "" || name == n.Name {
		return false
	}
	live, _ := n.Fleet.Live(name)
	return live != "" && !n.isAvoided(live)
}

// isAvoided reports whether a drawer is avoided after a failure; n.mu is held.
func (n *Node) isAvoided(name string) bool {
	d := n.drawers[name]
	return d != nil && n.Now().Before(d.avoidedUntil)
}

// noteDrawer records which drawer another instance named for a shard; n.mu is held.
func (n *Node) noteDrawer(shard int, name string) {
	if name != "" {
		n.shards[shard].drawer = name
	}
}

// Limits of writes by instances that are not candidates, for the whole fleet. An object takes one
// write in about 4 ms, and most of that capacity must be left to the drawer.
const (
	// nonCandidateWritesPerSecond limits the writes for waiting requests.
	nonCandidateWritesPerSecond = 10
	// backgroundWritesPerSecond limits the writes without a waiting request.
	backgroundWritesPerSecond = 5
	// ticksPerSecond is how often each instance calls Tick and decides on a background write.
	ticksPerSecond = 2
	// joinGracePeriod is how long an instance that does not know the others yet leaves the ledger
	// alone. After a restart of the whole fleet hundreds of instances are in this state at once.
	joinGracePeriod = 2 * time.Second
)

// nonCandidateInterval returns the minimum time between two writes that an instance which is not a
// candidate makes for requests. It is random so that instances do not write in step; n.mu is held.
func (n *Node) nonCandidateInterval() time.Duration {
	interval := max(minNonCandidateInterval, time.Duration(n.Fleet.NumKnown())*time.Second/nonCandidateWritesPerSecond)
	return interval/2 + rand.N(interval)
}

// ticksPerBackgroundWrite returns the mean number of ticks between two background writes.
func (n *Node) ticksPerBackgroundWrite() int {
	return max(minTicksPerBackgroundWrite, n.Fleet.NumKnown()*ticksPerSecond/backgroundWritesPerSecond)
}
