package follow

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

const (
	// simStoreTimeout is how long a call waits for an answer of the store.
	simStoreTimeout = time.Second
	// simHeartbeatInterval is how often each instance sends a heartbeat to another one.
	simHeartbeatInterval = 200 * time.Millisecond
)

// extraDelay returns how long a message takes longer over the instance's link, in one direction.
func (i *simInstance) extraDelay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.delay
}

// crossLink waits for as long as a message takes longer from an instance to another one, or to itself for the store's
// call, over their saturated links.
func (i *simInstance) crossLink(ctx context.Context, to *simInstance) error {
	delay := i.extraDelay()
	if to != i {
		delay += to.extraDelay()
	}
	if delay > 0 {
		pause.For(ctx, delay)
	}
	return ctx.Err()
}

// acknowledgedInTime reports whether another instance answers a message before its sender gives it up, and closes the
// connection over which it was sent.
func (i *simInstance) acknowledgedInTime(to *simInstance) bool {
	return 2*(i.extraDelay()+to.extraDelay()) < lostConfirmTimeout
}

// lateOverLink makes a call to the store whose answer takes longer over the instance's link. An answer that exceeds the
// timeout is passed to onLate.
func lateOverLink[T any](ctx context.Context, i *simInstance, wait time.Duration, onLate func(T), call func(context.Context) (T, error)) (T, error) {
	delay := i.extraDelay()
	if 2*delay < simStoreTimeout {
		value, err := call(ctx)
		if err == nil {
			pause.For(ctx, delay)
			i.heard()
		}
		return value, err
	}
	i.sim.running.Go(func() {
		if value, err := call(i.sim.ctx); err == nil && pause.For(i.sim.ctx, delay) {
			onLate(value)
		}
	})
	var none T
	pause.For(ctx, wait+simStoreTimeout)
	return none, context.DeadlineExceeded
}

// heard records that a message has reached the instance.
func (i *simInstance) heard() {
	i.mu.Lock()
	hearing := i.hearing
	i.mu.Unlock()
	if hearing != nil {
		hearing.Heard()
	}
}

// sendHeartbeats has each instance send messages to random other ones, as the members of a fleet do.
func (sim *simulation) sendHeartbeats(ctx context.Context) {
	for pause.For(ctx, simHeartbeatInterval) {
		for _, i := range sim.instances {
			other := sim.instances[sim.randomIntN(len(sim.instances))]
			if other != i && sim.delivers(i, other) && i.acknowledgedInTime(other) {
				sim.running.Go(func() {
					if i.crossLink(ctx, other) == nil {
						other.heard()
					}
				})
			}
		}
	}
}
