package router

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/pause"
)

// Parameters of how a starting instance learns of requests that crash upstreams.
const (
	// maxCompareWait bounds the wait for another instance's quarantine table: a longer wait
	// would affect more clients than the table protects.
	maxCompareWait = time.Second
	// verdictsRetryInterval is the pause before the store's verdicts are read again.
	verdictsRetryInterval = 500 * time.Millisecond
)

// awaitQuarantine waits until another instance has sent its quarantine table, the search has found no
// other instance, or maxCompareWait is over. It reports false if ctx ended first.
func (r *Router) awaitQuarantine(ctx context.Context) bool {
	for began := time.Now(); time.Since(began) < maxCompareWait; {
		if r.quarantine.Compared() || r.discovery.FoundNobody() {
			break
		}
		if !pause.For(ctx, syncCheckInterval) {
			return false
		}
	}
	return true
}

// recoverVerdicts reads the condemned requests from the store if no other instance knows them, as after
// the loss of all instances. Only the registrars, the few instances of a region that keep entries in the
// store, read them; they pass them on to the others.
func (r *Router) recoverVerdicts(ctx context.Context) {
	for !r.discovery.Joined() {
		if !pause.For(ctx, syncCheckInterval) {
			return
		}
	}
	for !r.quarantine.Stored() && r.discovery.IsRegistrar() {
		err := r.quarantine.Recover(ctx)
		if err == nil {
			return
		}
		r.log.Event(eventlog.QuarantineFault, "", eventlog.Fields{"step": "recover", "cause": err.Error()})
		if !pause.For(ctx, verdictsRetryInterval) {
			return
		}
	}
}
