package entry

import (
	"context"
	"errors"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/claim"
	"github.com/lavenderring/lavenderring/pkg/dispatch"
	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
	"github.com/lavenderring/lavenderring/pkg/outcome"
	"github.com/lavenderring/lavenderring/pkg/upstream"
)

// plainCall is a request to a plain service in progress.
type plainCall struct {
	e              *Entry
	r              *request
	pool           *document.Pool
	dispatch       *dispatch.Pool
	call           upstream.PlainRequest
	idempotent     bool
	billing        billing
	reservation    budget.Reservation
	triedUpstreams []string
	answer         *upstream.PlainAnswer
}

// isNonIdempotent reports whether the service document lists a request as one
// that may not be retried.
func isNonIdempotent(pool *document.Pool, method, path string) bool {
	for _, pattern := range pool.NonIdempotent {
		if pattern.Method == method && hasPathPrefix(path, pattern.Path) {
			return true
		}
	}
	return false
}

// hasPathPrefix reports whether path equals prefix or is below it.
func hasPathPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return found && (rest == "" || strings.HasPrefix(rest, "/"))
}

func (e *Entry) servePlain(ctx context.Context, r *request) *Problem {
	pool := r.doc.Pool(r.c.Param("pool"))
	if pool == nil || pool.Kind != document.KindPlain {
		return notRunProblem(consts.StatusNotFound, kindNotFound, "the service has no such plain service", 0)
	}
	method, path := string(r.c.Method()), "/"+strings.TrimPrefix(r.c.Param("path"), "/")
	call := &plainCall{
		e:          e,
		r:          r,
		pool:       pool,
		dispatch:   e.pool(r.accountRef.Service.Service, pool.Name),
		idempotent: !isNonIdempotent(pool, method, path),
		billing:    billing{entry: e, r: r},
		call: upstream.PlainRequest{
			ID:             r.id,
			Method:         method,
			Path:           path,
			Query:          string(r.c.URI().QueryString()),
			ContentType:    string(r.c.ContentType()),
			IdempotencyKey: r.idempotencyKey,
			Body:           r.c.Request.Body(),
		},
	}
	return call.serve(ctx)
}

func (p *plainCall) serve(ctx context.Context) *Problem {
	if p.idempotent || p.r.idempotencyKey == "" {
		return p.run(ctx)
	}
	content := fingerprint.Content(p.call.Method, p.call.Path+"?"+p.call.Query, p.call.Body)
	return p.e.runAtMostOnce(ctx, p.r, content.String(), p.runClaimed)
}

func (p *plainCall) runClaimed(ctx context.Context) (*claim.Answer, *Problem) {
	if problem := p.run(ctx); problem != nil {
		return nil, problem
	}
	return &claim.Answer{Status: p.answer.Status, ContentType: p.answer.ContentType, Body: p.answer.Body}, nil
}

// run reserves tokens and makes attempts until an upstream answers or no retry is
// allowed.
func (p *plainCall) run(ctx context.Context) *Problem {
	if problem := p.e.checkQuarantine(p.r); problem != nil {
		return problem
	}
	if problem := p.billing.reserve(ctx, p.pool.PriceTokens, &p.reservation); problem != nil {
		return problem
	}
	p.billing.open(ctx, p.reservation.Tokens())
	p.e.retries.deposit()
	for {
		retry, problem := p.attempt(ctx)
		if problem == nil {
			p.billing.settle(&p.reservation, p.pool.PriceTokens)
			p.billing.close(true)
			p.deliver()
			return nil
		}
		if !retry || !p.e.retries.withdraw() {
			p.settleFailed(problem)
			return problem
		}
		p.e.metrics.retried.Inc(1)
	}
}

// settleFailed settles a failed request: it bills the price once if the request
// may have run, and nothing if it did not run.
func (p *plainCall) settleFailed(problem *Problem) {
	if problem.Outcome == outcome.NotRun {
		p.billing.settle(&p.reservation, 0)
	} else {
		p.billing.settle(&p.reservation, p.pool.PriceTokens)
	}
	p.billing.close(false)
}

// attempt calls one upstream. retry reports whether another one may be tried.
func (p *plainCall) attempt(ctx context.Context) (retry bool, problem *Problem) {
	quarantineRun, problem := p.e.beginRun(p.r)
	if problem != nil {
		return false, problem
	}
	lease, run, err := p.e.acquireAndStart(ctx, quarantineRun, p.dispatch, dispatch.Request{
		Pool:    p.pool.Name,
		Urgent:  p.pool.Urgent,
		Tried:   p.triedUpstreams,
		StartBy: p.r.deadline,
	})
	if lease == nil {
		quarantineRun.NoteEnd()
		return false, acquireProblem(p.r, err)
	}
	p.triedUpstreams = append(p.triedUpstreams, lease.Upstream.Name)
	p.e.Log.Event(eventlog.RequestDispatched, p.r.id, eventlog.Fields{"upstream": lease.Upstream.Name})
	ctx, cancel := context.WithDeadline(ctx, p.r.deadline)
	defer cancel()
	memory := p.e.Answers.NewHold(ctx, cancel)
	var answer *upstream.PlainAnswer
	if err == nil {
		answer, err = upstream.CallPlain(ctx, lease.Upstream.Address, p.call, &p.r.tracker, memory)
	}
	p.e.concludeRun(ctx, p.r, run, !failedBeforeSending(err), err)
	if err != nil {
		memory.Release()
		gone := errors.Is(err, errClientGone)
		p.e.releaseLease(lease, dispatch.Result{Failed: !gone, Canceled: gone, Load: -1})
		return p.canRetry(err), p.e.upstreamProblem(p.r, err)
	}
	p.e.recordIncarnation(lease.Upstream.Address, answer.Incarnation, run.startedAt)
	p.e.releaseLease(lease, dispatch.Result{Load: answer.Load})
	p.r.tracker.MarkAnswered()
	p.answer = answer
	httpserve.OnWritten(p.r.c, memory.Release)
	return false, nil
}

// canRetry reports whether another upstream may be tried after err: the request
// is idempotent, or no byte of it has been sent.
func (p *plainCall) canRetry(err error) bool {
	var call *upstream.CallError
	notSent := errors.As(err, &call) && call.Step == "dial"
	if errors.Is(err, errClientGone) {
		return false
	}
	return (p.idempotent || (notSent && !p.r.tracker.MaybeSent())) && p.e.Now().Before(p.r.deadline)
}

func (p *plainCall) deliver() {
	p.r.responseStarted = true
	p.r.c.Header(chat.HeaderOutcome, string(outcome.Ran))
	p.r.c.SetStatusCode(p.answer.Status)
	p.r.c.SetContentType(p.answer.ContentType)
	p.r.c.Response.SetBodyRaw(p.answer.Body)
}

// releaseLease ends a lease on an upstream and logs when the upstream starts to
// be avoided.
func (e *Entry) releaseLease(lease *dispatch.Lease, result dispatch.Result) {
	if lease.Done(result) {
		e.Log.Event(eventlog.UpstreamFailing, "", eventlog.Fields{"upstream": lease.Upstream.Name})
	}
}

// upstreamProblem tells the client that no whole answer was received.
func (e *Entry) upstreamProblem(r *request, err error) *Problem {
	if errors.Is(err, upstream.ErrRequestIDMismatch) {
		e.Log.Event(eventlog.AnswerMismatch, r.id, eventlog.Fields{"cause": err.Error()})
	}
	result := r.tracker.Outcome()
	if errors.Is(err, context.DeadlineExceeded) {
		return newProblem(consts.StatusGatewayTimeout, kindDeadlineExceeded, err.Error(), result, drainRetryAfter)
	}
	return newProblem(consts.StatusBadGateway, kindUpstreamFailed, err.Error(), result, drainRetryAfter)
}
