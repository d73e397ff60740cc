package follow

import (
	"context"
	"sync"
	"time"
)

// Parameters of the detection of isolation.
const (
	// hearingInterval is how often the time without a message is counted.
	hearingInterval = 100 * time.Millisecond
	// maxCountedInterval bounds what one count adds: an instance that was stopped, or had no processor, has not
	// listened for longer than that.
	maxCountedInterval = 2 * hearingInterval
	// isolationTime is how long an instance hears nobody until it counts as isolated, plus slowAnswerFactor times
	// the longest answer of the last slowAnswerLifetime, at most maxIsolationTime.
	isolationTime      = time.Second
	slowAnswerFactor   = 2
	slowAnswerLifetime = 5 * time.Second
	maxIsolationTime   = 5 * time.Second
	// quietTime is how long nobody is heard until others are asked for a sign, as often as that again. Members of a
	// fleet send heartbeats more often.
	quietTime = 400 * time.Millisecond
)

// Hearing tells whether an instance hears anybody, the store or another instance. It is safe for concurrent use.
type Hearing struct {
	mu sync.Mutex
	// quiet is how long nobody has been heard while the instance was running.
	quiet time.Duration
	// slowest is the longest time that an answer has taken lately, slowestAt when it came.
	slowest   time.Duration
	slowestAt time.Time
	// onQuiet is called each quietTime while nobody is heard; it may be nil and must be set before Run.
	onQuiet func()
}

// Heard records a message of the store or of another instance.
func (h *Hearing) Heard() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quiet = 0
}

// HeardAfter records an answer and the time that it took. While answers take long, nobody is heard for as long, and
// yet the instance is not isolated.
func (h *Hearing) HeardAfter(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quiet = 0
	if latency >= h.slowest || time.Since(h.slowestAt) > slowAnswerLifetime {
		h.slowest, h.slowestAt = latency, time.Now()
	}
}

// Run counts the time without a message until ctx ends.
func (h *Hearing) Run(ctx context.Context) {
	ticker := time.NewTicker(hearingInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		h.count(now.Sub(last))
		last = now
	}
}

// count counts a time in which nobody may have been heard.
func (h *Hearing) count(elapsed time.Duration) {
	h.mu.Lock()
	before := h.quiet
	h.quiet += min(elapsed, maxCountedInterval)
	asks := h.onQuiet != nil && h.quiet/quietTime > before/quietTime
	h.mu.Unlock()
	if asks {
		h.onQuiet()
	}
}

// Isolated reports whether the instance has heard nobody for so long that its ways to all others are lost.
func (h *Hearing) Isolated() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := isolationTime
	if time.Since(h.slowestAt) <= slowAnswerLifetime {
		limit = min(isolationTime+slowAnswerFactor*h.slowest, maxIsolationTime)
	}
	return h.quiet >= limit
}
