package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/bill"
	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/dispatch"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// reserve reserves maxCost tokens of the request's budget.
func (e *Entry) reserve(ctx context.Context, r *request, maxCost int64, into *budget.Reservation) *Problem {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	err := e.Budgets.Reserve(ctx, r.budget, maxCost, into)
	if err == nil {
		return nil
	}
	e.Log.Event(eventlog.ReservationDenied, r.id, eventlog.Fields{"budget": r.budget, "tokens": maxCost, "cause": err.Error()})
	var short *budget.ShortError
	if !errors.As(err, &short) {
		return notRunProblem(consts.StatusServiceUnavailable, kindBudgetUnreachable, err.Error(), storeRetryAfter)
	}
	return budgetProblem(short)
}

// budgetProblem tells the client how many tokens its account lacks. A budget that
// is used up needs a top-up; one that is partly out of reach needs only time.
func budgetProblem(short *budget.ShortError) *Problem {
	missing := short.Need - short.Found
	if !short.Exhausted {
		detail := fmt.Sprintf("%d tokens of the account's budget are out of reach now", missing)
		return notRunProblem(consts.StatusServiceUnavailable, kindBudgetUnreachable, detail, storeRetryAfter)
	}
	detail := fmt.Sprintf("the request may cost %d tokens; the account has %d", short.Need, short.Found)
	p := notRunProblem(consts.StatusPaymentRequired, kindBudgetExhausted, detail, budgetRetryAfter)
	p.ShortTokens = missing
	return p
}

// billing sums the cost of a request's attempts, so that the request gets one
// bill.
type billing struct {
	entry  *Entry
	r      *request
	opened bool

	mu          sync.Mutex
	totalTokens int64
}

// reserve reserves maxCost tokens for one attempt.
func (c *billing) reserve(ctx context.Context, maxCost int64, into *budget.Reservation) *Problem {
	return c.entry.reserve(ctx, c.r, maxCost, into)
}

// open records the request in the journal before the first dispatch and waits for
// a copy of the record: if this instance crashes, the request is known to be in
// doubt instead of being lost.
func (c *billing) open(ctx context.Context, maxCost int64) {
	if c.opened {
		return
	}
	c.opened = true
	c.entry.Journal.Open(c.r.id, c.r.budget, maxCost)
	c.entry.Journal.AwaitCopy(ctx)
}

// settle charges one attempt and returns the rest of its reservation.
func (c *billing) settle(reservation *budget.Reservation, used int64) {
	billed := c.entry.Budgets.Settle(reservation, used)
	if billed < used {
		c.entry.Log.Event(eventlog.UsageAboveBound, c.r.id, eventlog.Fields{"reported": used, "bound": billed})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totalTokens += billed
}

// close writes the request's bill to the journal.
func (c *billing) close(ran bool) {
	if !c.opened {
		return
	}
	result := bill.OutcomeUnknown
	if ran {
		result = bill.OutcomeRan
	}
	c.entry.Journal.Settle(c.r.id, c.totalTokens, result)
	c.entry.Log.Event(eventlog.RequestBilled, c.r.id, eventlog.Fields{"budget": c.r.budget, "tokens": c.totalTokens})
}

// acquireProblem tells the client why no upstream was available for its request.
func acquireProblem(r *request, err error) *Problem {
	var overload *dispatch.OverloadError
	if errors.As(err, &overload) {
		p := newProblem(consts.StatusServiceUnavailable, kindOverloaded, "no upstream can start the request in time",
			r.tracker.Outcome(), overload.RetryAfter)
		return p
	}
	return newProblem(consts.StatusGatewayTimeout, kindDeadlineExceeded, err.Error(), r.tracker.Outcome(), 0)
}
