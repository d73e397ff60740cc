package entry

import (
	"context"
	"errors"

	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/dispatch"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// errSuperseded means that an attempt was given up because another one answers.
var errSuperseded = errors.New("another attempt answers the request")

// attempt is one run of a model request on one engine. A request has a second one beside the first while
// the first one's engine is silent.
type attempt struct {
	call    *chatCall
	isRetry bool
	// isBeside says that another attempt was running when this one was started.
	isBeside    bool
	reservation budget.Reservation
	out         answerWriter
	lease       *dispatch.Lease
	delivery    *delivery
	cancel      context.CancelCauseFunc
	// isCanceled is set, with call.mu held, when another attempt goes on or answers.
	isCanceled bool
}

// isSuperseded reports whether an attempt's context ended because another attempt answers.
func isSuperseded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errSuperseded) }

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	attempt *attempt
	// whole reports that the whole answer was received.
	whole bool
	// superseded reports that another attempt answers the request.
	superseded bool
	// declined reports that the attempt was not granted, and nothing was sent.
	declined bool
	// problem is why the answer is not whole; nil if the attempt was superseded, or declined for want
	// of retries.
	problem *Problem
	// canRetry reports whether another engine may be tried.
	canRetry bool
}

// isRefusal reports whether the attempt was not granted for a reason that the client is told.
func (e attemptEnd) isRefusal() bool { return e.declined && !e.superseded && e.problem != nil }

// supersede cancels the attempt for another one. The caller holds call.mu.
func (a *attempt) supersede() {
	a.isCanceled = true
	a.cancel(errSuperseded)
}

// run makes the attempt. A retry is made only if the retry budget and the account's tokens allow it.
func (a *attempt) run(ctx context.Context) attemptEnd {
	if a.isRetry {
		if end := a.askForRetry(ctx); end != nil {
			return *end
		}
	}
	c := a.call
	quarantineRun, p := a.beginRun()
	if p != nil {
		end := a.decline(ctx, p)
		end.superseded = end.superseded || a.isBeside // refused for the sake of the other attempt
		return end
	}
	lease, run, err := c.e.acquireAndStart(ctx, quarantineRun, c.dispatch, dispatch.Request{
		Pool:    c.pool.Name,
		Prefix:  c.prefixHash,
		Urgent:  c.pool.Urgent,
		Tried:   c.tried(),
		StartBy: c.r.deadline,
	})
	if lease == nil {
		quarantineRun.NoteEnd()
		return a.decline(ctx, acquireProblem(c.r, err))
	}
	a.lease = lease
	c.addTried(lease.Upstream.Name)
	if a.isRetry {
		c.e.metrics.retried.Inc(1)
	}
	c.e.Log.Event(eventlog.RequestDispatched, c.r.id, eventlog.Fields{"upstream": lease.Upstream.Name})
	a.delivery = &delivery{attempt: a, call: c, lease: lease, run: &run.Run}
	if err == nil {
		err = a.delivery.deliver(ctx)
	}
	if err != nil && isSuperseded(ctx) {
		err = a.delivery.supersededError()
	}
	c.e.concludeRun(c.ctx, c.r, run, a.delivery.sent.Load(), err)
	if err != nil {
		return a.fail(ctx, err)
	}
	c.e.releaseLease(lease, dispatch.Result{Load: -1})
	c.billing.settle(&a.reservation, a.delivery.tokensUsed(c.maxCost))
	if !c.choose(a) {
		return attemptEnd{attempt: a, superseded: true}
	}
	c.r.tracker.MarkAnswered()
	return attemptEnd{attempt: a, whole: true}
}

// event passes one event of the answer on. Only the first attempt that has something for the client writes
// to it.
func (a *attempt) event(offset int64, response *chat.Response) error {
	if a.out.writesThrough() && !a.call.choose(a) {
		return errSuperseded
	}
	return a.out.event(offset, response)
}

// askForRetry withdraws a retry and reserves its cost. It returns how the attempt ended if it may not be
// made.
func (a *attempt) askForRetry(ctx context.Context) *attemptEnd {
	c := a.call
	if !c.e.retries.withdraw() {
		return &attemptEnd{attempt: a, declined: true}
	}
	if p := c.billing.reserve(ctx, c.maxCost, &a.reservation); p != nil {
		p.Outcome = c.r.tracker.Outcome()
		c.e.retries.restore()
		return &attemptEnd{attempt: a, superseded: isSuperseded(ctx), declined: true, problem: p}
	}
	return nil
}

// decline ends an attempt of which nothing was sent, and gives back what it holds.
func (a *attempt) decline(ctx context.Context, p *Problem) attemptEnd {
	a.call.billing.settle(&a.reservation, 0)
	if a.isRetry {
		a.call.e.retries.restore()
	}
	return attemptEnd{attempt: a, superseded: isSuperseded(ctx), declined: true, problem: p}
}

// fail ends an attempt without a whole answer: it cancels the request on the engine and bills its cost.
func (a *attempt) fail(ctx context.Context, err error) attemptEnd {
	c := a.call
	sent := a.delivery.sent.Load()
	canceled := errors.Is(err, errSuperseded)
	failed := !canceled && !errors.Is(err, errClientGone)
	c.e.releaseLease(a.lease, dispatch.Result{Failed: failed, Canceled: canceled, Load: -1})
	c.billing.settle(&a.reservation, c.cancelOnEngine(a.lease.Upstream.Address, sent))
	if isSuperseded(ctx) {
		return attemptEnd{attempt: a, superseded: true}
	}
	return attemptEnd{attempt: a, problem: c.attemptProblem(err), canRetry: c.canRetry(err, sent)}
}
