package follow

import (
	"sync"
	"time"
)

// probeEvery is the least time between two calls of one instance to a store that does not
// answer. The copies of all its kinds wait for one call, and the store's return is noticed
// within this time and the call's own timeout.
const probeEvery = 400 * time.Millisecond

// awayAfter is after how many calls in a row without an answer the store is away for all copies. One may
// have been lost alone: taken for an outage, its end would have entries kept that are removed just then.
const awayAfter = 2

// Gate lets the followers of one instance ask a store that does not answer one at a time. It is
// safe for concurrent use; a nil gate is always open.
type Gate struct {
	mu sync.Mutex
	// unanswered counts the calls in a row that were not answered; the gate is closed while there are any.
	unanswered int
	// inside says that a call is on its way to a closed gate's store, since entered.
	inside  bool
	entered time.Time
	// reopened is when the store answered again after it had not.
	reopened time.Time
}

// Enter reports whether a call may be made now; the caller tells its end by Leave.
func (g *Gate) Enter() bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unanswered == 0 {
		return true
	}
	if g.inside || time.Since(g.entered) < probeEvery {
		return false
	}
	g.inside, g.entered = true, time.Now()
	return true
}

// Leave notes whether the store answered a call.
func (g *Gate) Leave(answered bool) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unanswered > 0 && answered {
		g.reopened = time.Now()
	}
	g.inside = false
	g.unanswered++
	if answered {
		g.unanswered = 0
	}
}

// Away reports whether the store has answered none of several calls.
func (g *Gate) Away() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unanswered >= awayAfter
}

// reopenedWithin reports whether the store answered again so short a time ago.
func (g *Gate) reopenedWithin(span time.Duration) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.reopened.IsZero() && time.Since(g.reopened) < span
}

// Closed reports whether the store did not answer the last call.
func (g *Gate) Closed() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unanswered > 0
}
