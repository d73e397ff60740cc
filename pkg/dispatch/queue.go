package dispatch

import (
	"context"
	"fmt"
	"time"
)

// maxWaiting bounds the requests that wait for one pool at one instance.
const maxWaiting = 512

// minRetryAfter is the minimum of OverloadError.RetryAfter.
const minRetryAfter = time.Second

// OverloadError means that a request was refused because it cannot start before its
// deadline.
type OverloadError struct {
	// Step is "queue", Peer the name of the pool.
	Step, Peer string
	// Waiting is the number of queued requests that precede a new one of its priority.
	Waiting int
	// RetryAfter is the time after which there may be capacity.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("%s: pool %s has %d requests waiting; retry after %v", e.Step, e.Peer, e.Waiting, e.RetryAfter)
}

// waiter is a queued request. It receives a lease on ready, or nil if no upstream is left
// to serve it.
type waiter struct {
	ready  chan *Lease
	prefix uint64
	tried  []string
}

// waitList is a queue of waiters in order of arrival.
type waitList struct{ waiters []*waiter }

func (l *waitList) remove(w *waiter) bool {
	for i, other := range l.waiters {
		if other == w {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// Request describes a request to be dispatched.
type Request struct {
	// Pool is the name of the pool for error messages.
	Pool string
	// Prefix is the hash of the prompt's prefix; 0 for none.
	Prefix uint64
	// Urgent requests are started before others.
	Urgent bool
	// Tried lists the names of the upstreams to exclude.
	Tried []string
	// StartBy is the time by which the request must start.
	StartBy time.Time
}

// Acquire returns a lease on an upstream, and waits for one if necessary. A request
// that is not expected to start in time is refused immediately. The error is an
// *OverloadError or that of the context.
func (p *Pool) Acquire(ctx context.Context, req Request) (*Lease, error) {
	w, lease, err := p.tryAcquire(req)
	if err != nil || lease != nil {
		return lease, err
	}
	timer := time.NewTimer(req.StartBy.Sub(p.now()))
	defer timer.Stop()
	select {
	case lease := <-w.ready:
		if lease == nil {
			return nil, p.overloadError(req)
		}
		return lease, nil
	case <-ctx.Done():
		return nil, p.cancelWait(req, w, ctx.Err())
	case <-timer.C:
		return nil, p.cancelWait(req, w, p.overloadError(req))
	}
}

func (p *Pool) tryAcquire(req Request) (*waiter, *Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.pick(req.Prefix, req.Tried); u != nil {
		return nil, p.newLease(u), nil
	}
	if p.cannotStartInTime(req) {
		return nil, nil, p.overloadErrorLocked(req)
	}
	w := &waiter{ready: make(chan *Lease, 1), prefix: req.Prefix, tried: req.Tried}
	list := p.waitListFor(req.Urgent)
	list.waiters = append(list.waiters, w)
	return w, nil, nil
}

// refuseWaiters refuses all queued requests. The caller holds p.mu.
func (p *Pool) refuseWaiters() {
	for n := range p.waitLists {
		for _, w := range p.waitLists[n].waiters {
			w.ready <- nil
		}
		p.waitLists[n].waiters = nil
	}
}

func (p *Pool) waitListFor(urgent bool) *waitList {
	if urgent {
		return &p.waitLists[0]
	}
	return &p.waitLists[1]
}

// cannotStartInTime reports whether the request is not expected to start in time:
// too many requests are queued, it was tried at as many upstreams as are available,
// or the queue drains too slowly.
func (p *Pool) cannotStartInTime(req Request) bool {
	if p.numAhead(req.Urgent) >= maxWaiting || len(p.available) <= len(req.Tried) {
		return true
	}
	return p.now().Add(p.expectedWait(req.Urgent)).After(req.StartBy)
}

func (p *Pool) numAhead(urgent bool) int {
	numAhead := len(p.waitLists[0].waiters)
	if !urgent {
		numAhead += len(p.waitLists[1].waiters)
	}
	return numAhead
}

// expectedWait estimates how long a new request waits for the requests queued before
// it, with the pool at full concurrency.
func (p *Pool) expectedWait(urgent bool) time.Duration {
	capacity := max(len(p.available)*p.maxConcurrent, 1)
	return time.Duration(float64(p.serviceTime) * float64(p.numAhead(urgent)) / float64(capacity))
}

func (p *Pool) overloadError(req Request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overloadErrorLocked(req)
}

func (p *Pool) overloadErrorLocked(req Request) error {
	return &OverloadError{
		Step:       "queue",
		Peer:       req.Pool,
		Waiting:    p.numAhead(req.Urgent),
		RetryAfter: max(p.expectedWait(req.Urgent), minRetryAfter),
	}
}

// cancelWait removes a waiter from its queue and returns cause. If the waiter was granted
// a lease in the meantime, cancelWait releases it.
func (p *Pool) cancelWait(req Request, w *waiter, cause error) error {
	p.mu.Lock()
	removed := p.waitListFor(req.Urgent).remove(w)
	p.mu.Unlock()
	if !removed {
		if lease := <-w.ready; lease != nil {
			lease.Done(Result{Canceled: true, Load: -1})
		}
	}
	return cause
}

// grantLeasesNow is grantLeases for a caller that does not hold p.mu.
func (p *Pool) grantLeasesNow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantLeases()
}

// grantLeases grants leases to waiters, urgent ones first, while upstreams can take
// requests. The caller holds p.mu.
func (p *Pool) grantLeases() {
	for i := range p.waitLists {
		p.grantLeasesTo(&p.waitLists[i])
	}
}

func (p *Pool) grantLeasesTo(list *waitList) {
	remaining := list.waiters[:0]
	for _, w := range list.waiters {
		u := p.pick(w.prefix, w.tried)
		if u == nil {
			remaining = append(remaining, w)
			continue
		}
		w.ready <- p.newLease(u)
	}
	list.waiters = remaining
}
