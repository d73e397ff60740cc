package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/document"
)

// Guards against requests that wait until their deadline, and are refused, although the upstream that was avoided for
// its failures may be chosen again: nothing else is in progress that would end.
func TestWaitEndsWhenAnUpstreamIsNoLongerAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool("a", time.Now)
		p.Update(&document.Pool{Name: "p", MaxConcurrent: 4, Upstreams: []document.Upstream{{Name: "u", Domain: "a"}}})
		request := Request{Pool: "p", StartBy: time.Now().Add(10 * avoidInterval)}
		for range avoidAfterFailures {
			lease, err := p.Acquire(t.Context(), request)
			if err != nil {
				t.Fatal(err)
			}
			lease.Done(Result{Failed: true, Load: -1})
		}
		began := time.Now()
		_, err := p.Acquire(t.Context(), request)
		if waited := time.Since(began); err != nil || waited > 2*avoidInterval {
			t.Errorf("after %v: %v; the upstream is avoided for %v", waited, err, avoidInterval)
		}
	})
}
