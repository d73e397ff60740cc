package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/lavenderring/lavenderring/pkg/routing"
)

// expiringValidity becomes invalid after a number of checks.
type expiringValidity struct{ checksLeft int }

var errExpired = errors.New("expired")

// Check implements Validity.
func (v *expiringValidity) Check() error {
	if v.checksLeft--; v.checksLeft < 0 {
		return errExpired
	}
	return nil
}

// Await implements Validity.
func (v *expiringValidity) Await(context.Context) error { return v.Check() }

// Guards against a request that is sent on what the instance cannot know to be true any more, when it is admitted or
// at the last moment before it is sent. It must be refused as not run, with a time to come back at.
func TestNothingIsSentOnOutdatedState(t *testing.T) {
	for checks, wantServed := range []int32{0, 0, 1} {
		var served atomic.Int32
		outcome := &outcomeRecorder{}
		deps := singleRouteDeps(countingUpstream(t, &served), routing.Idempotent)
		deps.Validity = &expiringValidity{checksLeft: checks}
		serveByDeps(deps, outcome)
		if served.Load() != wantServed {
			t.Errorf("valid for %d checks: the upstream served %d, want %d", checks, served.Load(), wantServed)
		}
		if r := outcome.refusal; wantServed == 0 && (r == nil || r.Reason != StateOutdated || r.RetryAfter <= 0) {
			t.Errorf("valid for %d checks: refusal %+v", checks, r)
		}
	}
}
