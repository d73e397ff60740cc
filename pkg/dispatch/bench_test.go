package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/document"
)

func poolOf(upstreams, limit int) *Pool {
	p := NewPool("a", time.Now)
	doc := &document.Pool{MaxConcurrent: limit}
	for n := range upstreams {
		doc.Upstreams = append(doc.Upstreams, document.Upstream{
			Name:    fmt.Sprintf("engine-%03d", n),
			Address: "127.0.0.1:1",
			Domain:  string(rune('a' + n%8)),
			State:   document.StateInService,
		})
	}
	p.Update(doc)
	return p
}

func BenchmarkPickAmong600(b *testing.B) {
	p := poolOf(600, 1<<30)
	b.ReportAllocs()
	for n := uint64(1); b.Loop(); n++ {
		p.mu.Lock()
		if p.pick(n, nil) == nil {
			b.Fatal("no upstream was picked")
		}
		p.mu.Unlock()
	}
}

// A leaving upstream must get no new requests while its running requests finish.
func TestLeavingUpstreamIsNotPicked(t *testing.T) {
	p := poolOf(3, 10)
	req := Request{StartBy: time.Now().Add(time.Minute)}
	running, err := p.Acquire(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	doc := &document.Pool{MaxConcurrent: 10}
	for n := range 3 {
		u := document.Upstream{Name: fmt.Sprintf("engine-%03d", n), State: document.StateInService}
		if u.Name == running.Upstream.Name {
			u.State = document.StateLeaving
		}
		doc.Upstreams = append(doc.Upstreams, u)
	}
	p.Update(doc)
	for range 20 {
		lease, err := p.Acquire(t.Context(), req)
		if err != nil {
			t.Fatal(err)
		}
		if lease.Upstream.Name == running.Upstream.Name {
			t.Fatal("the leaving upstream was picked")
		}
	}
	running.Done(Result{Load: -1})
}

// Long drafts occupy the whole pool. A queued urgent request must start before drafts
// that have waited longer.
func TestUrgentGoesBeforeDrafts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := poolOf(1, 1)
		first, err := p.Acquire(t.Context(), Request{StartBy: time.Now().Add(time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		order := make(chan string, 2)
		wait := func(name string, urgent bool) {
			lease, err := p.Acquire(t.Context(), Request{Urgent: urgent, StartBy: time.Now().Add(time.Hour)})
			if err != nil {
				t.Error(err)
				return
			}
			order <- name
			lease.Done(Result{Load: -1})
		}
		go wait("draft", false)
		synctest.Wait()
		go wait("urgent", true)
		synctest.Wait()
		first.Done(Result{Load: -1})
		if got := <-order; got != "urgent" {
			t.Errorf("%s was started first", got)
		}
		<-order
	})
}

// Guards against requests that wait although they cannot start in time. If the queue
// cannot drain before a request's deadline, the request must be refused immediately
// with a time to retry after, not held until its deadline.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := poolOf(1, 1)
		lease, err := p.Acquire(t.Context(), Request{StartBy: time.Now().Add(time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		lease.Done(Result{Load: -1}) // makes the service time ten seconds
		_, _ = p.Acquire(t.Context(), Request{StartBy: time.Now().Add(time.Hour)})
		for range 5 {
			go func() { _, _ = p.Acquire(t.Context(), Request{StartBy: time.Now().Add(time.Hour)}) }()
		}
		synctest.Wait()
		before := time.Now()
		_, err = p.Acquire(t.Context(), Request{Pool: "drafts", StartBy: time.Now().Add(5 * time.Second)})
		var overload *OverloadError
		if !errors.As(err, &overload) || overload.RetryAfter < 10*time.Second {
			t.Errorf("got error %v, want an OverloadError with RetryAfter of at least 10s", err)
		}
		if waited := time.Since(before); waited != 0 {
			t.Errorf("the request was held for %v before it was refused", waited)
		}
		for range 6 { // let the running requests end
			p.mu.Lock()
			u := p.available[0]
			p.mu.Unlock()
			(&Lease{pool: p, state: u, started: time.Now()}).Done(Result{Load: -1})
			synctest.Wait()
		}
	})
}

// A waiter is cancelled at the moment when it is granted a lease. The lease must be
// released, or the pool loses that capacity permanently.
func TestPlaceGivenTooLateGoesBack(t *testing.T) {
	p := poolOf(1, 1)
	for range 200 {
		lease, err := p.Acquire(t.Context(), Request{StartBy: time.Now().Add(time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if late, err := p.Acquire(ctx, Request{StartBy: time.Now().Add(time.Hour)}); err == nil {
				late.Done(Result{Load: -1})
			}
		}()
		if rand.IntN(2) == 0 {
			cancel()
			lease.Done(Result{Load: -1})
		} else {
			lease.Done(Result{Load: -1})
			cancel()
		}
		<-done
	}
	if p.InFlight() != 0 {
		t.Errorf("%d leases were not released", p.InFlight())
	}
}
