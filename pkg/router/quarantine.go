package router

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/pause"
)

// How an instance that starts learns of requests that crash upstreams.
const (
	// comparedWithin bounds the wait for another instance's table: it is not worth more
	// callers than it protects.
	comparedWithin = time.Second
	// verdictsRetry is the pause before the store's verdicts are read again.
	verdictsRetry = 500 * time.Millisecond
)

// awaitQuarantine waits until another instance has told which requests must not run. It reports
// false if ctx ended first.
func (r *Router) awaitQuarantine(ctx context.Context) bool {
	for began := time.Now(); time.Since(began) < comparedWithin; {
		if r.quarantine.Compared() || r.meeting.FoundNobody() {
			break
		}
		if !pause.For(ctx, syncCheck) {
			return false
		}
	}
	return true
}

// recoverVerdicts reads what the store has of condemned requests if no other instance knows it: all
// were lost. Those few of a region that keep entries in the store read it, and tell the others.
func (r *Router) recoverVerdicts(ctx context.Context) {
	for !r.meeting.Joined() {
		if !pause.For(ctx, syncCheck) {
			return
		}
	}
	for !r.quarantine.Stored() && r.meeting.IsRegistrar() {
		err := r.quarantine.Recover(ctx)
		if err == nil {
			return
		}
		r.log.Event(eventlog.QuarantineFault, "", eventlog.Fields{"step": "recover", "cause": err.Error()})
		if !pause.For(ctx, verdictsRetry) {
			return
		}
	}
}
