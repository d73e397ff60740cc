package follow

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// clockLifetime is how long a comparison of two clocks is used before it is repeated; half of
	// it at least, so that instances do not repeat it together.
	clockLifetime = time.Minute
	// maxClockRoundTrip is the round trip above which a comparison is inaccurate. It is used for
	// inaccurateClockLifetime only, which bounds the exchanges with a sender that is slow because
	// hundreds compare their clocks with its clock.
	maxClockRoundTrip       = 50 * time.Millisecond
	inaccurateClockLifetime = 5 * time.Second
	// driftFraction is the time that two clocks drift apart, as a fraction of the time elapsed: 500
	// ppm each, the most by which operating systems adjust a clock's rate.
	driftFraction = 0.001
	// maxUsualTransit is the time on the way above which the clocks are compared again: more likely
	// than such a message is a clock that stood still while its machine was suspended.
	maxUsualTransit = 500 * time.Millisecond
	// maxKnownClocks bounds the senders whose clocks are kept: those that may publish, and their
	// predecessors of some restarts.
	maxKnownClocks = 4 * maxPublishers
)

// peerClocks relates the monotonic clocks of senders to this instance's clock, so that a message
// which states when it was made reveals how long it was on its way. It is safe for concurrent use.
type peerClocks struct {
	mu     sync.Mutex
	clocks map[string]clockComparison
}

// clockComparison is what one exchange with a sender shows of its clock.
type clockComparison struct {
	// offset is the least by which this instance's clock is ahead of the sender's.
	offset time.Duration
	// comparedAt and expiresAt are times of this instance's clock.
	comparedAt, expiresAt time.Duration
}

// transit returns the longest time that a message may have been on its way, which a sender made at a
// time of its clock and which was received at a time of this instance's clock; known is false if the
// clocks have not been compared. expired reports whether they should be compared (again).
func (c *peerClocks) transit(sender string, madeAt, receivedAt time.Duration) (longest time.Duration, known, expired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	compared, known := c.clocks[sender]
	if !known {
		return 0, false, true
	}
	drift := fraction(receivedAt-compared.comparedAt, driftFraction)
	longest = receivedAt - madeAt - compared.offset + drift
	// A message that seems to have arrived before it was made shows that this instance's clock stood
	// still.
	unusual := longest < 0 || longest > maxUsualTransit
	return max(longest, 0), true, unusual || receivedAt >= compared.expiresAt
}

// compare records an exchange: the sender's clock showed senderTime at some moment between two times
// of this instance's clock.
func (c *peerClocks) compare(sender string, senderTime, requestedAt, receivedAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.clocks[sender]; !known && (c.clocks == nil || len(c.clocks) >= maxKnownClocks) {
		c.clocks = map[string]clockComparison{}
	}
	lifetime := clockLifetime/2 + rand.N(clockLifetime/2)
	if receivedAt-requestedAt > maxClockRoundTrip {
		lifetime = inaccurateClockLifetime
	}
	c.clocks[sender] = clockComparison{
		offset: requestedAt - senderTime, comparedAt: receivedAt, expiresAt: receivedAt + lifetime,
	}
}
