package follow

import (
	"context"
	"fmt"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// Doubt says why a watch that may still be waiting was given up. It is an error.
type Doubt string

// The reasons for doubt.
const (
	// DoubtBehind means that others tell of a change that this copy has not seen.
	DoubtBehind Doubt = "behind"
	// DoubtUnconfirmed means that nobody has confirmed the copy for the patience.
	DoubtUnconfirmed Doubt = "unconfirmed"
)

// Error implements error.
func (d Doubt) Error() string { return fmt.Sprintf("watch given up: copy is %s", string(d)) }

// behindLimit is how long a waiting watch may take to bring a change that others tell of.
// Both come from the same store at about the same moment, also from a slow one; a watch
// that is given up too soon costs one call.
const behindLimit = 300 * time.Millisecond

// Closely reports whether this instance's next watch is a close one: because it is to
// confirm the copies of all, or because its own is in doubt. A close watch is not guarded,
// so a slow store is not given up on again and again.
func (f *Follower) Closely() bool {
	patience := f.patience()
	if patience == 0 {
		return true
	}
	_, left := f.known.doubt(patience)
	return left <= 0
}

func (f *Follower) patience() time.Duration {
	if f.Patience == nil {
		return 0
	}
	return f.Patience()
}

// guard gives a long watch up as soon as the copy is in doubt.
func (f *Follower) guard(ctx context.Context, giveUp context.CancelCauseFunc) {
	for {
		doubt, left := f.known.doubt(f.patience())
		if left <= 0 {
			giveUp(doubt)
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-f.known.behind():
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// Hear takes in what another instance read from the store: that nothing changed after a
// version, as of some time ago.
func (f *Follower) Hear(changed store.Version, age time.Duration) { f.known.hear(changed, age) }

// Age returns for how long nothing has confirmed that the copy is complete; false before
// it has been read once.
func (f *Follower) Age() (time.Duration, bool) { return f.known.age() }

// Changed returns the version of the last known change, or a later one, and how long ago
// this instance's own call confirmed it; false if none has yet.
func (f *Follower) Changed() (changed store.Version, age time.Duration, read bool) {
	return f.known.changed()
}
