package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/claim"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/outcome"
	"github.com/lavenderring/lavenderring/pkg/pause"
)

// Constants of waiting for a request in progress.
const (
	// claimTimeout bounds the claim's write before dispatch.
	claimTimeout = 3 * time.Second
	// firstPoll and maxPoll pace the reads of a claim in progress.
	firstPoll = 100 * time.Millisecond
	maxPoll   = time.Second
	// inProgressRetryAfter is when to come back for a request still running.
	inProgressRetryAfter = 2 * time.Second
	// headerReplayed marks a recorded answer.
	headerReplayed = "Idempotent-Replayed"
)

// once runs a request that may not be repeated under its caller's key, or
// answers from the claim that stands. The claim is durable before the first
// byte leaves, so that no crash, pause or lost answer lets a second one leave.
// It comes before every other refusal: a retry that was refused "not run" for lack
// of tokens while its first sending had run would send its caller to book anew.
func (e *Entry) once(
	ctx context.Context, r *request, fingerprint string, run func(context.Context) (*claim.Answer, *Problem),
) *Problem {
	key := claim.Key(r.budget, r.key)
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	standing, taken, err := e.Claims.Take(claimCtx, key, claim.Claim{
		Request:     r.id,
		Holder:      e.Self,
		Fingerprint: fingerprint,
	})
	if errors.Is(err, claim.ErrUnsettled) {
		return problem(consts.StatusConflict, kindKeyUnknown,
			"the platform's store was restored, and whether an earlier request under this key ran is not known yet; "+
				"ask again under the same key", outcome.Unknown, storeRetryAfter)
	}
	if err != nil {
		e.Claims.Release(e.background, key, r.id) // the write may have taken effect
		return notRun(consts.StatusServiceUnavailable, kindStore,
			"a request that may not be repeated needs the platform's store, which is unreachable; this sending did "+
				"not run. If an earlier one may have, send it again under the same key", storeRetryAfter)
	}
	if !taken {
		e.Log.Event(eventlog.ClaimConflict, r.id, eventlog.Fields{"standing": standing.Request})
		return e.answerStanding(ctx, r, key, fingerprint, &standing)
	}
	e.Log.Event(eventlog.ClaimTaken, r.id, nil)
	answer, p := run(ctx)
	e.recordOutcome(r, key, answer, p)
	return p
}

func (e *Entry) recordOutcome(r *request, key string, answer *claim.Answer, p *Problem) {
	word := outcome.Ran
	if p != nil {
		word = p.Outcome
	}
	e.Log.Event(eventlog.ClaimOutcome, r.id, eventlog.Fields{"outcome": word})
	if word == outcome.NotRun {
		e.Claims.Release(e.background, key, r.id)
		return
	}
	e.Claims.Finish(e.background, key, r.id, word, answer)
}

// answerStanding answers a retry: with the recorded answer, or when the request
// in progress has one, or with what is known.
func (e *Entry) answerStanding(
	ctx context.Context, r *request, key, fingerprint string, standing *claim.Claim,
) *Problem {
	if standing.Fingerprint != fingerprint {
		return notRun(consts.StatusUnprocessableEntity, kindKeyReused,
			"the Idempotency-Key was used for another request", 0)
	}
	for wait := firstPoll; standing.Outcome == ""; wait = min(2*wait, maxPoll) {
		if e.Silent(standing.Holder) {
			return e.unknownFate(standing)
		}
		if !e.Now().Add(wait).Before(r.deadline) || !pause.For(ctx, wait) {
			return problem(consts.StatusConflict, kindInProgress,
				"request "+standing.Request+" under this key is still running", outcome.Unknown, inProgressRetryAfter)
		}
		read, err := e.Claims.Read(ctx, key)
		if err != nil {
			continue // the store is away for a moment; the deadline bounds the wait
		}
		if read == nil {
			return notRun(consts.StatusServiceUnavailable, kindInProgress,
				"the request under this key did not run; send it again", drainRetryAfter)
		}
		standing = read
	}
	return e.replay(r, standing)
}

func (e *Entry) unknownFate(standing *claim.Claim) *Problem {
	return problem(consts.StatusConflict, kindKeyUnknown,
		"the instance that ran request "+standing.Request+" is gone; whether it ran is not known. "+
			"The office can look it up by this id at the service", outcome.Unknown, 0)
}

func (e *Entry) replay(r *request, standing *claim.Claim) *Problem {
	if standing.Outcome != outcome.Ran {
		return e.unknownFate(standing)
	}
	if standing.Answer == nil || standing.Answer.Omitted {
		return problem(consts.StatusConflict, kindKeyReused,
			"request "+standing.Request+" ran; its answer is not kept any more", outcome.Ran, 0)
	}
	e.Log.Event(eventlog.RequestReplayed, r.id, eventlog.Fields{"standing": standing.Request})
	r.wrote = true
	r.c.Header(chat.HeaderOutcome, string(outcome.Ran))
	r.c.Header(headerReplayed, "true")
	r.c.Header(chat.HeaderRequestID, standing.Request)
	r.c.Data(standing.Answer.Status, standing.Answer.ContentType, standing.Answer.Body)
	return nil
}
