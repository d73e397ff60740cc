package prepaid

import (
	"math/rand/v2"
	"time"
)

// The object of a shard names the instance that draws it. Instances rank those that may draw by
// whom they know; while these differ, as after a start of all, several write, and each write
// that meets another's is tried again: the more collide, the more is tried, and this went on
// long after all knew each other (a metastable failure). The object is the one thing that all
// see in the same way, and a lost write shows it. So a writer that finds another one named
// there does not try again but asks that one, and only a candidate takes the place of a drawer
// that does not live, or does not answer. The name saves writes and decides nothing else: what
// is spent was drawn by a conditional write, whoever made it.

// namedFrom is the size of a fleet from which on drawers are named. In a smaller one nearly all
// may draw, which collide little, and after an outage each draws for itself at once instead of
// waiting for what a drawer deals out over seconds: on a day with three outages in a row, two
// seeds, seven instances refused 13.6 in 100 requests with a named drawer and 10.9 without.
const namedFrom = 16

// takeDrawing has this instance named as the drawer if that is its turn, before it writes.
// Errors: *DrawnElsewhereError.
func (n *Node) takeDrawing(shard int, s *Shard) error {
	candidates := n.Fleet.Drawers(shard)
	// Who knows few others yet sees by those that have written that there are many.
	size := max(n.Fleet.Known(), len(s.Holders))
	if len(candidates) == 0 || size < namedFrom {
		return nil // each may draw for itself
	}
	stranger := n.isStranger(shard)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shards[shard].drawer = s.Drawer.Name
	if n.stopping {
		return nil // what it gives back is lost otherwise
	}
	if n.defers(s.Drawer.Name) || n.meets(shard, s.Drawer) {
		return &DrawnElsewhereError{Shard: shard, Drawer: s.Drawer.Name}
	}
	if !stranger {
		s.Drawer = Drawer{Name: n.Name, Address: n.Address}
		n.shards[shard].drawer = n.Name
	}
	return nil
}

// meetFor is how long a drawer that is not known is looked for before its place is taken.
const meetFor = time.Second

// meets reports whether this instance is about to meet a drawer that it does not know yet, and
// has it looked for; n.mu is held.
func (n *Node) meets(shard int, drawer Drawer) bool {
	if drawer.Name == "" || drawer.Name == n.Name {
		return false
	}
	if _, known := n.Fleet.Live(drawer.Name); known {
		return false
	}
	state := &n.shards[shard]
	if state.meeting != drawer.Name {
		state.meeting, state.metSince = drawer.Name, n.Now()
		n.Fleet.Meet(drawer.Address)
	}
	return n.Now().Sub(state.metSince) < meetFor
}

// defers reports whether this instance leaves drawing to one of a name: another that lives and
// has not failed to answer it lately; n.mu is held.
func (n *Node) defers(name string) bool {
	if name == "" || name == n.Name {
		return false
	}
	live, _ := n.Fleet.Live(name)
	return live != "" && !n.rests(live)
}

// rests reports whether a drawer is passed over; n.mu is held.
func (n *Node) rests(name string) bool {
	d := n.drawers[name]
	return d != nil && n.Now().Before(d.restUntil)
}

// noteDrawer takes in whom another instance named as a shard's drawer; n.mu is held.
func (n *Node) noteDrawer(shard int, name string) {
	if name != "" {
		n.shards[shard].drawer = name
	}
}

// Bounds of writes by instances that are no candidates, all of a fleet together: an object
// takes one write in some 4 ms, and these must leave most of that to the drawer.
const (
	// strangerWritesPerSecond is how many such writes for requests there may be in a second.
	strangerWritesPerSecond = 10
	// idleWritesPerSecond is how many there may be without a request that waits.
	idleWritesPerSecond = 5
	// ticksPerSecond is how often a second each instance looks whether to make one.
	ticksPerSecond = 2
	// startsAlone is how long an instance that does not know the others yet leaves the ledger
	// alone: after a start of all, hundreds are such at once.
	startsAlone = 2 * time.Second
)

// strangerPauseFor is the least time between two writes that an instance which is no candidate
// makes for requests, drawn so that not all try at once; n.mu is held.
func (n *Node) strangerPauseFor() time.Duration {
	pause := max(strangerPause, time.Duration(n.Fleet.Known())*time.Second/strangerWritesPerSecond)
	return pause/2 + rand.N(pause)
}

// idleTries is in how many ticks, on average, it writes without a request that waits.
func (n *Node) idleTries() int {
	return max(strangerTries, n.Fleet.Known()*ticksPerSecond/idleWritesPerSecond)
}
