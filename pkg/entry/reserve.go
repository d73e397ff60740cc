package entry

import (
	"context"
	"errors"
	"fmt"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/bill"
	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/dispatch"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// reserve sets a bound in tokens aside.
func (e *Entry) reserve(ctx context.Context, r *request, bound int64, into *budget.Reservation) *Problem {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	err := e.Budgets.Reserve(ctx, r.budget, bound, into)
	if err == nil {
		return nil
	}
	e.Log.Event(eventlog.ReservationDenied, r.id, eventlog.Fields{"budget": r.budget, "tokens": bound, "cause": err.Error()})
	var short *budget.ShortError
	if !errors.As(err, &short) {
		return notRun(consts.StatusServiceUnavailable, kindBudgetUnknown, err.Error(), storeRetryAfter)
	}
	return shortProblem(short)
}

// shortProblem tells the account itself how much it lacks. A budget that is
// used up wants a top-up; one that is partly out of reach wants time.
func shortProblem(short *budget.ShortError) *Problem {
	missing := short.Need - short.Found
	if !short.Exhausted {
		detail := fmt.Sprintf("%d tokens of the account's budget are out of reach now", missing)
		return notRun(consts.StatusServiceUnavailable, kindBudgetUnknown, detail, storeRetryAfter)
	}
	detail := fmt.Sprintf("the request may cost %d tokens; the account has %d", short.Need, short.Found)
	p := notRun(consts.StatusPaymentRequired, kindBudget, detail, budgetRetryAfter)
	p.ShortTokens = missing
	return p
}

// cost gathers what a request's attempts cost, so that it gets one bill.
type cost struct {
	entry       *Entry
	r           *request
	reservation budget.Reservation
	total       int64
	opened      bool
}

// hold reserves for one attempt.
func (c *cost) hold(ctx context.Context, bound int64) *Problem {
	c.reservation = budget.Reservation{}
	return c.entry.reserve(ctx, c.r, bound, &c.reservation)
}

// open starts the bill before the first dispatch, and has a copy of it made: if
// this instance dies now, the request is known to be in doubt, not forgotten.
func (c *cost) open(ctx context.Context) {
	if c.opened {
		return
	}
	c.opened = true
	c.entry.Journal.Open(c.r.id, c.r.budget, c.reservation.Tokens())
	c.entry.Journal.Secure(ctx)
}

// spend settles one attempt.
func (c *cost) spend(used int64) {
	billed := c.entry.Budgets.Settle(&c.reservation, used)
	if billed < used {
		c.entry.Log.Event(eventlog.UsageAboveBound, c.r.id, eventlog.Fields{"reported": used, "bound": billed})
	}
	c.total += billed
}

// close writes the one bill.
func (c *cost) close(ran bool) {
	if !c.opened {
		return
	}
	word := bill.OutcomeUnknown
	if ran {
		word = bill.OutcomeRan
	}
	c.entry.Journal.Settle(c.r.id, c.total, word)
	c.entry.Log.Event(eventlog.RequestBilled, c.r.id, eventlog.Fields{"budget": c.r.budget, "tokens": c.total})
}

// acquireProblem tells a caller why no upstream takes its request now.
func acquireProblem(r *request, err error) *Problem {
	var overload *dispatch.OverloadError
	if errors.As(err, &overload) {
		p := problem(consts.StatusServiceUnavailable, kindOverloaded, "no upstream can start the request in time",
			r.facts.Word(), overload.RetryAfter)
		return p
	}
	return problem(consts.StatusGatewayTimeout, kindDeadline, err.Error(), r.facts.Word(), 0)
}
