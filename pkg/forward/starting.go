package forward

import (
	"context"
	"time"
)

// startPatience is how long after its start an instance lets requests wait for the configuration and
// the upstreams, which others, or the store, hand over within some hundred milliseconds. A client whose
// request is refused meanwhile has used one of its few tries, and after a start of all it meets the
// same elsewhere. An instance that has neither by then may not get them for long.
const startPatience = 700 * time.Millisecond

// awaitSynced waits until a starting instance can serve, for startPatience from its start at most.
func (f *Forwarder) awaitSynced(ctx context.Context) {
	if f.Synced == nil {
		return
	}
	select {
	case <-f.Synced:
		return
	default:
	}
	left := startPatience - f.Now().Sub(f.began)
	if left <= 0 {
		return
	}
	patience := time.NewTimer(left)
	defer patience.Stop()
	select {
	case <-f.Synced:
	case <-patience.C:
	case <-ctx.Done():
	}
}
