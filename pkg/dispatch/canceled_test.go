package dispatch

import (
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/document"
)

// Guards against a failing upstream that is chosen again and again because attempts that were given up count
// as its successes.
func TestCanceledRequestsTellNothingAboutAnUpstream(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPool("a", func() time.Time { return now })
	p.Update(&document.Pool{Name: "jobs", MaxConcurrent: 1, Upstreams: []document.Upstream{{Name: "u", Address: "x", Domain: "a"}}})
	run := func(r Result) (avoiding bool) {
		lease, err := p.Acquire(t.Context(), Request{Pool: "jobs", StartBy: now.Add(time.Minute)})
		if err != nil {
			t.Fatal(err)
		}
		return lease.Done(r)
	}
	for range avoidAfterFailures - 1 {
		run(Result{Failed: true, Load: -1})
		run(Result{Canceled: true, Load: -1})
	}
	if !run(Result{Failed: true, Load: -1}) {
		t.Errorf("the upstream is not avoided after %d failures", avoidAfterFailures)
	}
}
