// Package overload notices that an instance's own link cannot carry what its callers send, and
// bounds what the instance takes on, so that the rest is refused at once and served elsewhere.
//
// Pattern: callers are spread by a hash, so some instances get many times the mean. On a small link
// requests and answers then wait in a queue that only grows: new connections to upstreams time out,
// each request tries several, and nearly all end after their callers have left. Grounds: a
// connection within a region takes a few milliseconds; if hardly any to many different upstreams
// does, it is the own link that all of them share, and not the upstreams. What is refused then costs
// a few hundred bytes and is served by another instance within its time.
package overload

import (
	"sync"
	"time"
)

// How overload is noticed.
const (
	// window is the time over which connections are looked at together.
	window = 400 * time.Millisecond
	// fastConnect is a connection's set-up on a link that is not full: several times the way to
	// the farthest upstream and back.
	fastConnect = 60 * time.Millisecond
	// leastConnects and leastUpstreams are how many connections to how many upstreams tell
	// something: upstreams that are gone together are of one service or one failure domain.
	leastConnects, leastUpstreams = 8, 5
	// fastPart is the part of the connections, as a divisor, that are fast where the link is not
	// the cause, however many upstreams are gone.
	fastPart = 5
)

// How the limit moves: additive increase would take minutes from a few requests to some hundred.
const (
	// decrease and increase multiply the limit after a window that was overloaded, or was not.
	decrease, increase = 0.7, 1.15
	// leastLimit is what is taken on in any case.
	leastLimit = 8
	// liftedAfter is how long no window may be overloaded before there is no limit any more.
	liftedAfter = 3 * time.Second
)

// Limit bounds the requests that an instance has in progress. It is safe for concurrent use.
type Limit struct {
	now func() time.Time

	mu       sync.Mutex
	inFlight int
	// most is the limit; 0 for none. overloadedAt is when a window was last overloaded.
	most         float64
	overloadedAt time.Time
	// began is when the present window did, connects and fast what it has seen.
	began          time.Time
	connects, fast int
	upstreams      map[string]bool
}

// New returns a limit that bounds nothing until there is a reason.
func New(now func() time.Time) *Limit {
	return &Limit{now: now, began: now(), upstreams: map[string]bool{}}
}

// Begin reports whether one more request may be taken on; if so, End is called when it has ended.
func (l *Limit) Begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	if l.most > 0 && float64(l.inFlight) >= l.most {
		return false
	}
	l.inFlight++
	return true
}

// End says that a request has ended.
func (l *Limit) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// Connected says how long a new connection to an upstream took, or was waited for in vain. One that
// was refused at once says as much of the link as one that was set up.
func (l *Limit) Connected(address string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	l.connects++
	l.upstreams[address] = true
	if took <= fastConnect {
		l.fast++
	}
}

// Overloaded reports whether callers are better served elsewhere.
func (l *Limit) Overloaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	return l.most > 0
}

// advance ends a window that is over; l.mu is held.
func (l *Limit) advance() {
	now := l.now()
	if now.Sub(l.began) < window {
		return
	}
	slow := l.connects >= leastConnects && len(l.upstreams) >= leastUpstreams && l.fast*fastPart <= l.connects
	l.began, l.connects, l.fast = now, 0, 0
	clear(l.upstreams)
	switch {
	case slow:
		present := float64(l.inFlight)
		if l.most > 0 {
			present = min(present, l.most)
		}
		l.most = max(present*decrease, leastLimit)
		l.overloadedAt = now
	case l.most > 0 && now.Sub(l.overloadedAt) >= liftedAfter:
		l.most = 0
	case l.most > 0:
		l.most *= increase
	}
}
