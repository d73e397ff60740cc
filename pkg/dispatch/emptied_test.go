package dispatch

import (
	"errors"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/document"
)

// Guards against requests that wait until their deadline though no upstream is left to serve them, and
// against sending a request to an upstream whose failure domain was emptied after the choice.
func TestEmptiedDomainRefusesWhoWaitsThere(t *testing.T) {
	p := NewPool("a", time.Now)
	p.Update(&document.Pool{Name: "jobs", MaxConcurrent: 1, Upstreams: []document.Upstream{{Name: "u", Domain: "a"}}})
	req := Request{Pool: "jobs", StartBy: time.Now().Add(time.Minute)}
	lease, err := p.Acquire(t.Context(), req)
	if err != nil || !lease.InService() {
		t.Fatalf("the lease is in service: %t, error: %v", lease.InService(), err)
	}
	refused := make(chan error, 1)
	go func() {
		_, err := p.Acquire(t.Context(), req)
		refused <- err
	}()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		waiting = p.numAhead(false)
		p.mu.Unlock()
	}
	p.SetEmptiedDomains([]string{"a"})
	var overload *OverloadError
	if err := <-refused; !errors.As(err, &overload) {
		t.Errorf("got %v, want an OverloadError", err)
	}
	if lease.InService() {
		t.Error("the lease is still in service after its domain was emptied")
	}
	lease.Done(Result{Load: -1})
	p.SetEmptiedDomains(nil)
	if _, err := p.Acquire(t.Context(), req); err != nil {
		t.Errorf("after the domain was restored: %v", err)
	}
}
