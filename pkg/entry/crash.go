package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/dispatch"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
	"github.com/lavenderring/lavenderring/pkg/outcome"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
	"github.com/lavenderring/lavenderring/pkg/upstream"
)

// trialRetryAfter is the Retry-After of a suspected request that is refused because an equal one is
// running.
const trialRetryAfter = time.Second

// errNotInService means that the upstream began to leave, or its failure domain was emptied, before
// the request was sent.
var errNotInService = errors.New("the upstream is not in service any more")

// Fingerprint implements quarantine.Request.
func (r *request) Fingerprint() fingerprint.Fingerprint {
	r.fingerprintOnce.Do(func() {
		content := fingerprint.Content(string(r.c.Method()), string(r.c.URI().RequestURI()), r.c.Request.Body())
		r.fingerprint = fingerprint.Of(r.budget, "", content)
	})
	return r.fingerprint
}

// Prompt implements quarantine.Request.
func (r *request) Prompt() quarantine.Prompt { return r.prompt }

// checkQuarantine refuses a request that is condemned for crashing upstreams, before tokens are
// reserved for it.
func (e *Entry) checkQuarantine(r *request) *Problem {
	if err := e.Quarantine.Refuse(r, e.Now()); err != nil {
		return quarantineProblem(r, err)
	}
	return nil
}

// beginRun asks the quarantine whether the request may run now: it may have become suspected since
// it was admitted.
func (e *Entry) beginRun(r *request) (quarantine.Run, *Problem) {
	run, err := e.Quarantine.Begin(r, e.Now())
	if err != nil {
		return run, quarantineProblem(r, err)
	}
	return run, nil
}

// beginRun asks the quarantine whether the attempt may run now.
func (a *attempt) beginRun() (quarantine.Run, *Problem) {
	e, r := a.call.e, a.call.r
	if !a.isBeside {
		return e.beginRun(r)
	}
	run, err := e.Quarantine.BeginBeside(r, e.Now())
	if err != nil {
		return run, quarantineProblem(r, err)
	}
	return run, nil
}

// quarantineProblem tells the client why its request is not run. If an earlier attempt may have run
// it, the outcome stays unknown.
func quarantineProblem(r *request, err error) *Problem {
	detail := err.Error() + "; operators find it by this id"
	result := r.tracker.Outcome()
	switch {
	case result != outcome.NotRun:
		return newProblem(consts.StatusBadGateway, kindUpstreamFailed, detail, result, 0)
	case errors.Is(err, quarantine.ErrTrialRuns):
		return notRunProblem(consts.StatusServiceUnavailable, kindSuspected, detail, trialRetryAfter)
	default:
		return notRunProblem(consts.StatusUnprocessableEntity, kindQuarantined, detail, 0)
	}
}

// upstreamRun is one run of a request at an upstream.
type upstreamRun struct {
	quarantine.Run
	upstream  quarantine.Upstream
	startedAt time.Time
}

// acquireAndStart acquires an upstream for a run and records where it is sent. An upstream that is not in
// service any more is replaced by another one: nothing has been sent, so that takes no retry. The lease is
// nil if none was acquired.
func (e *Entry) acquireAndStart(
	ctx context.Context, r quarantine.Run, pool *dispatch.Pool, req dispatch.Request,
) (*dispatch.Lease, upstreamRun, error) {
	for {
		lease, err := pool.Acquire(ctx, req)
		if err != nil {
			return nil, upstreamRun{}, err
		}
		run, err := e.startBy(ctx, r, lease, req.StartBy)
		if !errors.Is(err, errNotInService) {
			return lease, run, err
		}
		e.releaseLease(lease, dispatch.Result{Canceled: true, Load: -1})
	}
}

func (e *Entry) startBy(
	ctx context.Context, r quarantine.Run, lease *dispatch.Lease, deadline time.Time,
) (upstreamRun, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return e.startRunAt(ctx, r, lease)
}

// startRunAt records the upstream that the run is sent to, and the upstream's last known incarnation.
// A request that crashed an upstream, or may have, is sent only if the upstream answers a query for
// its incarnation now; the answer need not name one. No request is sent to an upstream that is not in
// service any more. Errors: *upstream.CallError with the step "dial", as nothing has been sent.
func (e *Entry) startRunAt(ctx context.Context, r quarantine.Run, lease *dispatch.Lease) (upstreamRun, error) {
	address := lease.Upstream.Address
	if r.IsWatched() {
		if err := e.queryIncarnation(ctx, address, runQueryTimeout); err != nil {
			return upstreamRun{Run: r}, &upstream.CallError{Step: "dial", Peer: address, Err: err}
		}
	}
	if !lease.InService() {
		return upstreamRun{Run: r}, &upstream.CallError{Step: "dial", Peer: address, Err: errNotInService}
	}
	if httpserve.ClientGone(ctx) {
		return upstreamRun{Run: r}, &upstream.CallError{Step: "dial", Peer: address, Err: errClientGone}
	}
	return upstreamRun{Run: r, startedAt: e.Now(), upstream: quarantine.Upstream{
		ID: lease.Upstream.Name, Address: address, Incarnation: e.incarnationAt(address),
	}}, nil
}

// concludeRun reports to the quarantine how an attempt at an upstream ended; sent is false if the
// attempt failed before the request was sent.
func (e *Entry) concludeRun(ctx context.Context, r *request, run upstreamRun, sent bool, err error) {
	evidence := quarantine.NoEvidence
	switch abandoned := errors.Is(err, errClientGone) || errors.Is(err, errSuperseded) || ctx.Err() != nil; {
	case err == nil:
		evidence = quarantine.WholeAnswer
	case sent && !abandoned && connectionEnded(err):
		evidence = quarantine.ConnectionEnded
	case sent && !abandoned:
		evidence = quarantine.NoAnswer
	}
	conclusion := run.Conclude(ctx, quarantine.Attempt{
		Origin:   quarantine.Origin{Account: r.budget, Route: r.route},
		Upstream: run.upstream,
		Evidence: evidence,
	}, func() bool { return e.PeerProber.Probe(run.upstream.Address) == httpconn.Crashed }, e.Now)
	if conclusion.Cleared {
		e.Log.Event(eventlog.RequestCleared, r.id, eventlog.Fields{"fingerprint": r.Fingerprint().String()})
	}
	if conclusion.Crash != nil {
		e.recordCrash(r, run.upstream.ID, conclusion.Crash)
	}
}

// connectionEnded reports whether the upstream closed the connection, or its process does not know a
// request that the upstream had accepted.
func connectionEnded(err error) bool {
	var call *upstream.CallError
	if !errors.As(err, &call) || errors.Is(err, upstream.ErrRequestIDMismatch) || errors.Is(err, upstream.ErrIdleTimeout) ||
		errors.Is(err, upstream.ErrTooLong) || errors.Is(err, httpconn.ErrNoAnswer) {
		return false
	}
	return errors.Is(err, upstream.ErrTruncated) || errors.Is(err, upstream.ErrUnknownRequest) || call.Status == 0
}

// recordCrash counts and logs a crash of an upstream that ran the request.
func (e *Entry) recordCrash(r *request, upstream string, record *quarantine.Record) {
	e.metrics.crashes.Inc(1)
	e.Log.Event(eventlog.RequestSuspected, r.id, eventlog.Fields{
		"fingerprint": record.Fingerprint.String(), "crashes": record.ConsecutiveCrashes(), "upstream": upstream,
		"condemned": e.Quarantine.StateOf(record.Fingerprint) == quarantine.Condemned,
	})
}
