package follow

import (
	"context"
	"fmt"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// Reason says why this instance asks the store itself.
type Reason string

// The reasons.
const (
	// Behind means that another instance published a change that this copy lacks.
	Behind Reason = "behind"
	// Unconfirmed means that no instance confirmed the copy for the timeout.
	Unconfirmed Reason = "unconfirmed"
)

// UntrustedError tells that others' word on this copy does not do any more.
type UntrustedError struct{ Reason Reason }

// Error implements error.
func (e *UntrustedError) Error() string {
	return fmt.Sprintf("the copy is %s", e.Reason)
}

// WatchesShort reports whether this instance asks the store by itself: because it is to
// confirm the copies of all, or because nothing confirms its own.
func (f *Follower) WatchesShort() bool {
	timeout := f.confirmTimeout()
	if timeout == 0 {
		return true
	}
	_, left := f.fresh.trusted(timeout, f.timing().Behind)
	return left <= 0
}

// needsStore reports that only the store can bring this copy up to date, or confirm it.
func (f *Follower) needsStore() bool { return f.fresh.upTo().IsZero() || f.WatchesShort() }

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

// receive waits for as long as others confirm this copy and hand on what changes. Errors:
// *UntrustedError.
func (f *Follower) receive(ctx context.Context) error {
	asked := false
	for ctx.Err() == nil {
		timing := f.timing()
		timeout := f.confirmTimeout()
		reason, left := f.fresh.trusted(timeout, timing.Behind)
		if left <= 0 {
			return &UntrustedError{Reason: reason}
		}
		wait := left - timing.Ask
		if wait > 0 {
			asked = false
		} else {
			if !asked && f.Unheard != nil {
				f.Unheard(ctx)
			}
			asked, wait = true, left
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-f.fresh.lacking():
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

// Confirm takes in what another instance read from the store some time ago: that nothing
// changed after a position. It reports whether this copy has everything up to that.
func (f *Follower) Confirm(lastChange store.Position, age time.Duration) (complete bool) {
	return f.fresh.confirm(lastChange, age)
}

// ConfirmedLately reports whether another instance read the store lately: then it is not away, if it
// does not answer this one.
func (f *Follower) ConfirmedLately() bool { return f.fresh.confirmedWithin(f.timing().Last) }

// Age returns for how long nothing has confirmed that the copy is complete; false before
// it has been read once.
func (f *Follower) Age() (time.Duration, bool) { return f.fresh.age() }

// LastChange returns the position of the last known change, or a later one, and how long ago
// an own call said that nothing changed after it; false if none has yet.
func (f *Follower) LastChange() (position store.Position, age time.Duration, read bool) {
	return f.fresh.lastChange()
}
