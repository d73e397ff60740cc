// Package overload detects that an instance's own network link cannot carry the traffic of its clients,
// and limits the requests in progress, so that the others are refused at once and served by another
// instance.
//
// The overload arises because clients are distributed by a hash, so some instances receive many times
// the average. On a small link, requests and answers then wait in an ever growing queue: new connections
// to upstreams time out, each request tries several upstreams, and nearly all requests end after their
// clients have left.
//
// It is detected by the time that it takes to connect to upstreams: a few milliseconds within a region.
// If hardly any connections to many different upstreams are that fast, the cause is the link that they
// share, the instance's own, and not the upstreams. Refusing a request then costs a few hundred bytes,
// and another instance serves it in time.
//
// Connections to upstreams are also slow, or never established, if the link does not lead to the
// upstreams any more. Then messages to other instances are as fast as ever, which they are not over a
// saturated link: while they are fast, there is no overload. Messages that are late because the instance's own
// machine is busy count as fast.
package overload

import (
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/owndelay"
)

// Parameters of the detection.
const (
	// window is the time over which connections are evaluated together.
	window = 400 * time.Millisecond
	// maxFastConnect is the maximum time to connect over a link that is not saturated: several times
	// the round-trip time to the farthest upstream.
	maxFastConnect = 60 * time.Millisecond
	// minConnects and minUpstreams are the minimum numbers of connections in a window, and of the
	// upstreams they go to, for a decision. Connections to fewer upstreams may be slow because the
	// upstreams are gone: those that disappear together belong to one service or one failure
	// domain.
	minConnects, minUpstreams = 8, 5
	// fastDivisor: more than 1/fastDivisor of the connections are fast if the link is not
	// overloaded, however many upstreams are gone.
	fastDivisor = 5
	// maxFastReply is the maximum round-trip time of a message to another instance over a link that is
	// not saturated, including the other one's work.
	maxFastReply = 60 * time.Millisecond
	// replyWindow is the time over which replies are evaluated together. Heartbeats are sent every 200 ms,
	// some of them to instances whose replies say nothing about the own link.
	replyWindow = time.Second
)

// Parameters of the adjustment of the limit. The increase is multiplicative, because an additive one
// would take minutes to get from a few requests to some hundred.
const (
	// decreaseFactor multiplies the limit after an overloaded window, increaseFactor after any
	// other window.
	decreaseFactor, increaseFactor = 0.7, 1.15
	// minLimit is the lowest limit, in requests.
	minLimit = 8
	// liftDelay is the time without an overloaded window after which the limit is lifted.
	liftDelay = 3 * time.Second
)

// Limit limits the requests that an instance has in progress. It is safe for concurrent use.
type Limit struct {
	// Delay extends the time of a fast reply while the instance itself is late; it may be nil. It must be set
	// before the limit is used.
	Delay *owndelay.Meter

	now func() time.Time

	mu       sync.Mutex
	inFlight int
	// limit is the maximum number of requests in progress; 0 if there is no limit. overloadedAt is
	// when the last overloaded window ended.
	limit        float64
	overloadedAt time.Time
	// windowStart is the start of the current window. connects, fastConnects and upstreams are the
	// number of connections in it, the number of fast ones, and the addresses they went to.
	windowStart            time.Time
	connects, fastConnects int
	upstreams              map[string]bool
	// replies holds the messages to other instances in the last replyWindow, oldest first.
	replies []reply
}

// reply says when a message to another instance was answered or given up, and whether it was answered fast.
type reply struct {
	at   time.Time
	fast bool
}

// New returns a limit that allows every request until an overload is detected.
func New(now func() time.Time) *Limit {
	return &Limit{now: now, windowStart: now(), upstreams: map[string]bool{}}
}

// Begin reports whether another request may be accepted. If so, the caller must call End when the request
// has ended.
func (l *Limit) Begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	if l.limit > 0 && float64(l.inFlight) >= l.limit {
		return false
	}
	l.inFlight++
	return true
}

// End records that an accepted request has ended.
func (l *Limit) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// ObserveConnect records how long it took until a connection to an upstream was established or the
// attempt failed. A connection that was refused at once shows as much about the link as one that was
// established.
func (l *Limit) ObserveConnect(address string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	l.connects++
	l.upstreams[address] = true
	if duration <= maxFastConnect {
		l.fastConnects++
	}
}

// ObserveReply records how long another instance took to answer a message; answered is false if it did not.
func (l *Limit) ObserveReply(duration time.Duration, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	l.replies = append(l.replies, reply{l.now(), answered && duration <= l.Delay.Extend(maxFastReply)})
}

// mostRepliesFast reports whether more than half of the messages to other instances were answered fast; false
// if there were none. l.mu must be held.
func (l *Limit) mostRepliesFast(now time.Time) bool {
	for len(l.replies) > 0 && now.Sub(l.replies[0].at) > replyWindow {
		l.replies = l.replies[1:]
	}
	fast := 0
	for _, r := range l.replies {
		if r.fast {
			fast++
		}
	}
	return 2*fast > len(l.replies)
}

// Overloaded reports whether the limit is in force, so that clients are better served by another instance.
func (l *Limit) Overloaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	return l.limit > 0
}

// advance ends the current window if its time has passed, and adjusts the limit. l.mu must be held.
func (l *Limit) advance() {
	now := l.now()
	if now.Sub(l.windowStart) < window {
		return
	}
	slow := l.connects >= minConnects && len(l.upstreams) >= minUpstreams && l.fastConnects*fastDivisor <= l.connects
	if l.mostRepliesFast(now) {
		slow = false // the link is fast, it only does not lead to the upstreams
	}
	l.windowStart, l.connects, l.fastConnects = now, 0, 0
	clear(l.upstreams)
	switch {
	case slow:
		current := float64(l.inFlight)
		if l.limit > 0 {
			current = min(current, l.limit)
		}
		l.limit = max(current*decreaseFactor, minLimit)
		l.overloadedAt = now
	case l.limit > 0 && now.Sub(l.overloadedAt) >= liftDelay:
		l.limit = 0
	case l.limit > 0:
		l.limit *= increaseFactor
	}
}
