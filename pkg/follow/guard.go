package follow

import (
	"context"
	"fmt"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// Reason says why a watch was abandoned that might still have been answered.
type Reason string

// The reasons.
const (
	// Behind means that another instance published a change that this copy lacks.
	Behind Reason = "behind"
	// Unconfirmed means that no instance confirmed the copy for the timeout.
	Unconfirmed Reason = "unconfirmed"
)

// AbandonedError tells that a watch was abandoned, to be sent anew.
type AbandonedError struct{ Reason Reason }

// Error implements error.
func (e *AbandonedError) Error() string {
	return fmt.Sprintf("watch abandoned: the copy is %s", e.Reason)
}

// behindLimit is how long a waiting watch may take to bring a change that is published.
// Both come from the same store at about the same moment, also from a slow one; a watch
// that is abandoned too soon costs one call.
const behindLimit = 300 * time.Millisecond

// WatchesShort reports whether this instance's next watch is a short one: because it is to
// confirm the copies of all, or because nothing confirms its own. A short watch is not
// guarded, so a slow store's answer is not abandoned again and again.
func (f *Follower) WatchesShort() bool {
	timeout := f.confirmTimeout()
	if timeout == 0 {
		return true
	}
	_, left := f.fresh.trusted(timeout)
	return left <= 0
}

func (f *Follower) confirmTimeout() time.Duration {
	if f.ConfirmTimeout == nil {
		return 0
	}
	return f.ConfirmTimeout()
}

// guard abandons a long watch as soon as its copy is behind or unconfirmed.
func (f *Follower) guard(ctx context.Context, abandon context.CancelCauseFunc) {
	for {
		reason, left := f.fresh.trusted(f.confirmTimeout())
		if left <= 0 {
			abandon(&AbandonedError{Reason: reason})
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-f.fresh.lacking():
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// Confirm takes in what another instance read from the store some time ago: that nothing
// changed after a version.
func (f *Follower) Confirm(lastChange store.Version, age time.Duration) {
	f.fresh.confirm(lastChange, age)
}

// Age returns for how long nothing has confirmed that the copy is complete; false before
// it has been read once.
func (f *Follower) Age() (time.Duration, bool) { return f.fresh.age() }

// LastChange returns the version of the last known change, or a later one, and how long ago
// an own call said that nothing changed after it; false if none has yet.
func (f *Follower) LastChange() (version store.Version, age time.Duration, read bool) {
	return f.fresh.lastChange()
}
