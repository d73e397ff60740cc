package follow

import (
	"sync"
	"time"
)

// probeInterval is the minimum time between two calls of one instance to a store that does not
// answer. The copies of all kinds wait for one call, and the store's recovery is noticed within
// this interval plus the call's own timeout.
const probeInterval = 400 * time.Millisecond

// unavailableAfterFailures is the number of unanswered calls in a row after which the store counts as
// unavailable for all copies. A single call may have been lost by itself. If that counted as an
// outage, instances would keep the upstreams whose entries are removed when the outage seems to end.
const unavailableAfterFailures = 2

// CircuitBreaker limits the followers of one instance to one call at a time to a store that does
// not answer. It is safe for concurrent use; a nil breaker always allows calls.
type CircuitBreaker struct {
	mu sync.Mutex
	// failures counts the unanswered calls in a row; the breaker is tripped while it is positive.
	failures int
	// probing is set while a probe is in flight; probeStarted is when the last probe was sent.
	probing      bool
	probeStarted time.Time
	// recoveredAt is when the store last answered after it had not.
	recoveredAt time.Time
}

// Allow reports whether a call may be made now; the caller must pass its result to Record.
func (b *CircuitBreaker) Allow() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures == 0 {
		return true
	}
	if b.probing || time.Since(b.probeStarted) < probeInterval {
		return false
	}
	b.probing, b.probeStarted = true, time.Now()
	return true
}

// Record records whether the store answered a call.
func (b *CircuitBreaker) Record(answered bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures > 0 && answered {
		b.recoveredAt = time.Now()
	}
	b.probing = false
	b.failures++
	if answered {
		b.failures = 0
	}
}

// StoreUnavailable reports whether at least unavailableAfterFailures calls in a row were not
// answered.
func (b *CircuitBreaker) StoreUnavailable() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= unavailableAfterFailures
}

// recoveredWithin reports whether the store recovered less than the given time ago.
func (b *CircuitBreaker) recoveredWithin(span time.Duration) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.recoveredAt.IsZero() && time.Since(b.recoveredAt) < span
}

// Tripped reports whether the store did not answer the last call.
func (b *CircuitBreaker) Tripped() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures > 0
}
