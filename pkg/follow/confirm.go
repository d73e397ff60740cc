package follow

import (
	"context"
	"fmt"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// Reason says why this instance watches the store itself.
type Reason string

// Reasons for watching the store.
const (
	// Behind means that another instance published a change that this copy lacks.
	Behind Reason = "behind"
	// Unconfirmed means that no instance confirmed the copy within the timeout.
	Unconfirmed Reason = "unconfirmed"
)

// StaleCopyError is returned when confirmations by other instances no longer suffice for a copy.
type StaleCopyError struct{ Reason Reason }

// Error implements error.
func (e *StaleCopyError) Error() string {
	return fmt.Sprintf("the copy is %s", e.Reason)
}

// WatchesStore reports whether this instance watches the store itself: because it publishes the
// confirmations for all instances, or because no other instance confirms this copy.
func (f *Follower) WatchesStore() bool {
	timeout := f.confirmTimeout()
	if timeout == 0 {
		return true
	}
	_, left := f.fresh.timeUntilStale(timeout, f.timing().BehindTimeout)
	return left <= 0
}

// needsStore reports whether only the store can update or confirm this copy.
func (f *Follower) needsStore() bool { return f.fresh.currentPosition().IsZero() || f.WatchesStore() }

func (f *Follower) timing() Timing {
	if f.Timing == (Timing{}) {
		return TimingFor(DefaultBound)
	}
	return f.Timing
}

func (f *Follower) confirmTimeout() time.Duration {
	if f.ConfirmTimeout == nil {
		return 0
	}
	return f.ConfirmTimeout()
}

// waitWhileConfirmed blocks while other instances confirm this copy and supply its changes. It
// returns a *StaleCopyError when they no longer do.
func (f *Follower) waitWhileConfirmed(ctx context.Context) error {
	queried := false
	for ctx.Err() == nil {
		timing := f.timing()
		timeout := f.confirmTimeout()
		reason, left := f.fresh.timeUntilStale(timeout, timing.BehindTimeout)
		if left <= 0 {
			return &StaleCopyError{Reason: reason}
		}
		wait := left - timing.QueryLead
		if wait > 0 {
			queried = false
		} else {
			if !queried && f.OnConfirmationsMissing != nil {
				f.OnConfirmationsMissing(ctx)
			}
			queried, wait = true, left
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-f.fresh.wakeups():
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

// Confirm records a read of the store by another instance, age ago, which showed no change after
// lastChange. It reports whether this copy is complete up to that position.
func (f *Follower) Confirm(lastChange store.Position, age time.Duration) (complete bool) {
	return f.fresh.confirm(lastChange, age)
}

// ConfirmedRecently reports whether another instance confirmed this copy by a recent read of the
// store. If so, the store is available even if it does not answer this instance.
func (f *Follower) ConfirmedRecently() bool { return f.fresh.confirmedWithin(f.timing().LastTimeout) }

// Age returns the time since the copy was last confirmed to be complete; false before it has been
// read once.
func (f *Follower) Age() (time.Duration, bool) { return f.fresh.age() }

// CurrentWithin reports whether this copy is known to have been complete within the given time, and
// no change is known that it lacks.
func (f *Follower) CurrentWithin(span time.Duration) bool {
	age, known := f.fresh.age()
	return known && age <= span && !f.fresh.isBehind()
}

// LastChange returns the position of the last known change, or a later one, and the time since one
// of this instance's own calls showed that nothing changed after it; false if no call has been
// answered yet.
func (f *Follower) LastChange() (position store.Position, age time.Duration, read bool) {
	known := f.fresh.statement()
	return known.lastChanged, known.readAge, known.read
}
