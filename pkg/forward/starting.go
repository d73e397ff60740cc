package forward

import (
	"context"
	"time"
)

// maxSyncWait is how long after its start an instance lets requests wait for the configuration and
// the upstreams, which other instances or the store send within a few hundred milliseconds. A client whose
// request is refused meanwhile has used one of its few tries, and if all instances start at once, the other
// instances would refuse its next try, too. An instance that has no configuration or no upstreams after this
// time may not get them for a long time.
const maxSyncWait = 700 * time.Millisecond

// awaitSynced waits until a starting instance can serve, for at most maxSyncWait from its start.
func (f *Forwarder) awaitSynced(ctx context.Context) {
	if f.Synced == nil {
		return
	}
	select {
	case <-f.Synced:
		return
	default:
	}
	remaining := maxSyncWait - f.Now().Sub(f.startedAt)
	if remaining <= 0 {
		return
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-f.Synced:
	case <-timer.C:
	case <-ctx.Done():
	}
}
