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
	"github.com/lavenderring/lavenderring/pkg/outcome"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

// trialRetryAfter is when to come back for a request that waits for the end of an equal one.
const trialRetryAfter = time.Second

// Fingerprint implements quarantine.Request.
func (r *request) Fingerprint() fingerprint.Fingerprint {
	if r.print == nil {
		content := fingerprint.Content(string(r.c.Method()), string(r.c.URI().RequestURI()), r.c.Request.Body())
		print := fingerprint.Of(r.budget, "", content)
		r.print = &print
	}
	return *r.print
}

// refuseCondemned refuses a request that crashed the upstreams that ran it, before anything is
// reserved for it.
func (e *Entry) refuseCondemned(r *request) *Problem {
	if err := e.Quarantine.Refuse(r); err != nil {
		return quarantineProblem(r, err)
	}
	return nil
}

// beginRun asks whether the request may run now; it may have become suspected since it came.
func (e *Entry) beginRun(r *request) (quarantine.Run, *Problem) {
	run, err := e.Quarantine.Begin(r, e.Now())
	if err != nil {
		return run, quarantineProblem(r, err)
	}
	return run, nil
}

// quarantineProblem tells a caller why its request does not run. Where an earlier attempt may have
// run it, that stands.
func quarantineProblem(r *request, err error) *Problem {
	detail := err.Error() + "; operators find it by this id"
	word := r.facts.Word()
	switch {
	case word != outcome.NotRun:
		return problem(consts.StatusBadGateway, kindUpstream, detail, word, 0)
	case errors.Is(err, quarantine.ErrTrialRuns):
		return notRun(consts.StatusServiceUnavailable, kindSuspected, detail, trialRetryAfter)
	default:
		return notRun(consts.StatusUnprocessableEntity, kindQuarantined, detail, 0)
	}
}

// concludeRun notes what an attempt at an upstream showed of the request; handed says that the
// upstream got it.
func (e *Entry) concludeRun(
	ctx context.Context, r *request, run quarantine.Run, lease *dispatch.Lease, handed bool, err error,
) {
	gone := errors.Is(err, errCallerGone) || ctx.Err() != nil
	switch {
	case err == nil:
		if run.Answered() {
			e.Log.Event(eventlog.RequestCleared, r.id, eventlog.Fields{"fingerprint": r.Fingerprint().String()})
		}
	case handed && !gone && e.Lookout.Look(lease.Upstream.Address) == httpconn.Crashed:
		e.crashed(ctx, r, run, lease.Upstream.Name)
	default:
		run.Ended()
	}
}

func (e *Entry) crashed(ctx context.Context, r *request, run quarantine.Run, upstream string) {
	e.meters.crashes.Inc(1)
	origin := quarantine.Origin{Account: r.budget, Route: string(r.c.Path())}
	crash := run.Crashed(origin, upstream, e.Now())
	record := crash.Await(ctx)
	e.Log.Event(eventlog.RequestSuspected, r.id, eventlog.Fields{
		"fingerprint": record.Fingerprint.String(), "crashes": record.InARow(), "upstream": upstream,
		"condemned": e.Quarantine.StateOf(record.Fingerprint) == quarantine.Condemned,
	})
}
