package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// unreachedPause is the time between two rounds of connections to all upstreams of a service.
const unreachedPause = 250 * time.Millisecond

// noteUnreached records whether a failed attempt did not reach its upstream, or the upstream declined.
func (c *call) noteUnreached(a *attempt, failed *failure) {
	switch {
	case !failed.sentSomething():
		c.unreached = append(c.unreached, a.lease.ID)
	case failed.neutral:
		c.declined = true
	}
}

// awaitUnreached waits a moment and lets the upstreams that were not reached, or may get no request now, be tried
// again for a stream that has begun, since its client has nothing better, also while this instance must not act on
// what it knows of the upstreams. It reports false if the stream is to be
// broken off: an upstream was reached and has declined, or the time is over. A request that has not begun is
// refused at once, so that its client can go to another instance.
func (c *call) awaitUnreached(ctx context.Context, failure *failure) bool {
	allTried := errors.Is(failure.err, errAllTried) && (len(c.unreached) > 0 || failure.limited)
	// Those that were not reached may be limited or gone by now.
	noneLeft := c.waited && (errors.Is(failure.err, errNoUpstream) || errors.Is(failure.err, errVersionGone))
	outdated := errors.Is(failure.err, errOutdated)
	if !c.begun || c.declined || (!allTried && !noneLeft && !outdated) {
		return false
	}
	if c.remaining() <= unreachedPause || !pause.For(ctx, unreachedPause) {
		return false
	}
	isUnreached := func(id string) bool { return slices.Contains(c.unreached, id) }
	c.tried = slices.DeleteFunc(c.tried, isUnreached)
	c.unreached, c.waited = nil, true
	return true
}
