package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/retrylimit"
)

// hedgeInterval is the time between two checks whether another attempt may be made beside a silent one.
const hedgeInterval = 100 * time.Millisecond

// hedge is an attempt that is made beside a silent one. Its goroutine reads the answer up to what can be
// delivered first; then it waits for the goroutine of the call, which alone delivers.
//
// A silent upstream may go on at any moment, so its attempt is not given up before a hedge has an answer.
type hedge struct {
	attempt *attempt
	retry   retrylimit.Retry
	// failed is why there is no answer; nil if there is one. It is set before the hedge is in hedges.done.
	failed *failure
	cancel context.CancelFunc
}

// hedges holds the attempts beside the current one. Its methods are for the goroutine of the call; the zero
// value holds none.
type hedges struct {
	pending []*hedge
	// done receives the pending hedges when they have ended or have an answer.
	done chan *hedge
	// startedAt is when the last hedge was started.
	startedAt time.Time
	// body is the copy of the request's body that all hedges send; nil before the first.
	body   []byte
	waiter waiter
}

// waiter is the attempt whose reading is interrupted when a hedge is done.
type waiter struct {
	mu      sync.Mutex
	attempt *attempt
}

func (w *waiter) set(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempt = a
}

// wake interrupts the waiting attempt's reading. Its connection is not pooled meanwhile, since set waits for
// the lock.
func (w *waiter) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.attempt != nil {
		w.attempt.conn.Wake()
	}
}

// isPending reports whether a hedge has neither failed nor been taken.
func (h *hedges) isPending() bool { return len(h.pending) > 0 }

// detach is called before an attempt's connection is released.
func (h *hedges) detach(a *attempt) {
	if h.waiter.attempt == a {
		h.waiter.set(nil)
	}
}

// take removes a hedge that is done from the pending ones.
func (h *hedges) take(done *hedge) {
	h.pending = slices.DeleteFunc(h.pending, func(p *hedge) bool { return p == done })
}

// copyOf returns the copy of the request's body that hedges send.
func (h *hedges) copyOf(body []byte) []byte {
	if h.body == nil {
		h.body = slices.Clone(body)
	}
	return h.body
}

// abandonHedges ends the pending hedges.
func (c *call) abandonHedges() {
	h := &c.hedges
	if len(h.pending) == 0 {
		return
	}
	h.waiter.set(nil)
	for _, p := range h.pending {
		p.cancel()
		if p.attempt.gate.close() {
			c.uncount(p)
		}
	}
	go endAll(h.done, len(h.pending))
	h.pending, h.done = nil, nil
}

// uncount takes back what was counted for a hedge that has sent nothing.
func (c *call) uncount(h *hedge) {
	c.numSent--
	c.numMayHaveRun--
	c.serviceState.limit.Release(h.retry)
	c.tried = slices.DeleteFunc(c.tried, func(id string) bool { return id == h.attempt.lease.ID })
}

// sendGate decides whether a hedge sends its request before it is abandoned.
type sendGate struct {
	mu             sync.Mutex
	passed, closed bool
}

// pass reports whether the hedge may send.
func (g *sendGate) pass() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.passed = !g.closed
	return g.passed
}

// close reports whether the hedge has not sent, and never will.
func (g *sendGate) close() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return !g.passed
}

// endAll ends the attempts of hedges that have been canceled.
func endAll(done <-chan *hedge, count int) {
	for range count {
		h := <-done
		if h.failed != nil {
			h.failed.answer.discard()
			continue
		}
		h.attempt.cancel = h.cancel
		h.attempt.end(canceledContext(), h.attempt.silent("hedge", errSuperseded))
	}
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// onSilence is called while the current attempt a waits for its silent upstream. It returns how long to wait
// until the next call, or errSuperseded if a hedge has an answer.
func (c *call) onSilence(ctx context.Context, a *attempt) (time.Duration, error) {
	for h := c.hedges.poll(); h != nil; h = c.hedges.poll() {
		if h.failed == nil {
			c.hedges.done <- h // for awaitHedge
			return 0, errSuperseded
		}
		c.noteHedgeFailed(h)
	}
	if !a.isSilent() {
		return hedgeInterval, nil
	}
	a.lease.ReportSilent() // whether or not another attempt is allowed, new requests go elsewhere
	if c.mayHedge(a) {
		c.hedges.waiter.set(a)
		c.startHedge(ctx, a, a.heardAt)
	}
	return hedgeInterval, nil
}

// isSilent reports whether the upstream has been silent for too long.
func (a *attempt) isSilent() bool {
	bound, bounded := a.silenceBound()
	return bounded && a.c.f.Now().Sub(a.heardAt) >= bound
}

// poll returns a hedge that is done, or nil.
func (h *hedges) poll() *hedge {
	select {
	case done := <-h.done:
		return done
	default:
		return nil
	}
}

// mayHedge reports whether another attempt may be made now, as far as the request is where the attempt a has
// brought it.
func (c *call) mayHedge(a *attempt) bool {
	if c.unnumbered || c.numSent >= c.route.MaxAttempts {
		return false
	}
	bound, bounded := a.silenceBound()
	return bounded && c.f.Now().Sub(c.hedges.startedAt) >= bound
}

// startHedge starts an attempt beside one that has been silent since a time, if the retry limit, the quarantine
// and the choice of an upstream allow it.
func (c *call) startHedge(ctx context.Context, silent *attempt, since time.Time) {
	retry, allowed := c.serviceState.limit.Reserve(c.accountName())
	if !allowed {
		c.f.meters.hedgesDenied.Inc(1)
		return
	}
	b, failed := c.newAttempt(c.beginRunBeside)
	if failed != nil {
		c.serviceState.limit.Release(retry)
		return
	}
	b.body, b.gate = c.hedges.copyOf(c.r.Body), &sendGate{}
	c.count(b)
	c.Fingerprint() // computed before two goroutines may need it
	c.f.meters.hedged.Inc(1)
	c.f.Log.Event(eventlog.RequestHedged, c.r.ID, eventlog.Fields{
		"upstream": b.lease.ID, "silent": silent.lease.ID, "silent_ms": c.f.Now().Sub(since).Milliseconds(), "sent": b.number,
	})
	ctx, cancel := context.WithCancel(ctx)
	h := &hedge{attempt: b, retry: retry, cancel: cancel}
	if c.hedges.done == nil {
		c.hedges.done = make(chan *hedge, c.route.MaxAttempts)
	}
	c.hedges.pending = append(c.hedges.pending, h)
	c.hedges.startedAt = c.f.Now()
	go h.run(ctx, c.hedges.done, &c.hedges.waiter)
}

// run carries out the attempt up to what can be delivered first.
func (h *hedge) run(ctx context.Context, done chan<- *hedge, w *waiter) {
	h.failed = h.attempt.prepare(ctx)
	if h.failed != nil {
		h.attempt.end(ctx, h.failed)
		h.cancel()
	}
	done <- h // never blocks: the channel has room for all attempts of the call
	w.wake()
}

// prepare carries out the attempt up to what can be delivered first.
func (a *attempt) prepare(ctx context.Context) *failure {
	if failed := a.open(ctx); failed != nil {
		return failed
	}
	if failed := a.exchange(); failed != nil {
		return failed
	}
	return a.readAhead()
}

// nextDone waits until a pending hedge has ended or has an answer, after the attempt ended was the current one.
// While the pending ones are silent, it starts others beside them.
func (c *call) nextDone(ctx context.Context, ended *attempt) *hedge {
	ticker := time.NewTicker(hedgeInterval)
	defer ticker.Stop()
	for {
		select {
		case done := <-c.hedges.done:
			return done
		case <-ticker.C:
		}
		if !c.mayHedge(ended) {
			continue
		}
		silent := c.hedges.pending[len(c.hedges.pending)-1].attempt
		silent.lease.ReportSilent()
		c.startHedge(ctx, silent, c.hedges.startedAt)
	}
}

// awaitHedge waits for a pending hedge after the attempt ended was the current one. It returns the hedge's attempt,
// which is then the current one, or why there is no answer.
func (c *call) awaitHedge(ctx context.Context, ended *attempt) (*attempt, *failure) {
	done := c.nextDone(ctx, ended)
	if done.failed != nil {
		c.noteHedgeFailed(done)
		return nil, done.failed
	}
	c.hedges.take(done)
	c.hedges.waiter.set(done.attempt)
	done.attempt.cancel = done.cancel
	if c.begun {
		c.f.meters.resumed.Inc(1)
	}
	return done.attempt, nil
}

// noteHedgeFailed records that a hedge has failed. The attempt beside which it was made goes on.
func (c *call) noteHedgeFailed(h *hedge) {
	c.hedges.take(h)
	if h.attempt.gate.close() {
		c.uncount(h)
	} else {
		c.noteFailed(h.attempt, h.failed)
	}
	fields := eventlog.Fields{"step": h.failed.step, "peer": h.failed.peer, "cause": h.failed.err.Error(), "sent": c.numSent}
	c.f.Log.Event(eventlog.HedgeFailed, c.r.ID, fields)
}
