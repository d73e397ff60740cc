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

// Constants of claiming a key and of waiting for the request that holds it.
const (
	// claimTimeout bounds the claim's write before dispatch.
	claimTimeout = 3 * time.Second
	// minClaimPollInterval and maxClaimPollInterval bound the interval, doubled
	// after each read, at which the claim of a request in progress is read.
	minClaimPollInterval = 100 * time.Millisecond
	maxClaimPollInterval = time.Second
	// inProgressRetryAfter applies to the retry of a request that is still
	// running at the retry's deadline.
	inProgressRetryAfter = 2 * time.Second
	// headerReplayed is the header that marks a recorded answer.
	headerReplayed = "Idempotent-Replayed"
)

// runAtMostOnce claims the idempotency key of a non-idempotent request and runs
// it, or answers from the existing claim of the key. The claim is durable before
// the first byte is sent to an upstream, so that no crash, pause or lost answer
// lets a second request be sent. The key is claimed before any other check that
// can refuse the request: if a retry were refused as "not run" for lack of tokens
// although the first request had run, its client would order a second time.
func (e *Entry) runAtMostOnce(
	ctx context.Context, r *request, fingerprint string, run func(context.Context) (*claim.Answer, *Problem),
) *Problem {
	key := claim.Key(r.budget, r.idempotencyKey)
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	existing, acquired, err := e.Claims.Acquire(claimCtx, key, claim.Claim{
		Request:     r.id,
		Holder:      e.Self,
		Fingerprint: fingerprint,
	})
	if errors.Is(err, claim.ErrUnsettled) {
		return newProblem(consts.StatusConflict, kindOutcomeUnknown,
			"the platform's store was restored, and whether an earlier request under this key ran is not known yet; "+
				"ask again under the same key", outcome.Unknown, storeRetryAfter)
	}
	if err != nil {
		e.Claims.Release(e.background, key, r.id) // the write may have taken effect
		return notRunProblem(consts.StatusServiceUnavailable, kindStoreUnavailable,
			"a request that may not be repeated needs the platform's store, which is unreachable; this sending did "+
				"not run. If an earlier one may have, send it again under the same key", storeRetryAfter)
	}
	if !acquired {
		e.Log.Event(eventlog.ClaimConflict, r.id, eventlog.Fields{"standing": existing.Request})
		return e.answerFromClaim(ctx, r, key, fingerprint, &existing)
	}
	e.Log.Event(eventlog.ClaimTaken, r.id, nil)
	answer, p := run(ctx)
	e.recordOutcome(r, key, answer, p)
	return p
}

// recordOutcome records the outcome of a claimed request and its answer, or
// releases the key if the request did not run.
func (e *Entry) recordOutcome(r *request, key string, answer *claim.Answer, p *Problem) {
	result := outcome.Ran
	if p != nil {
		result = p.Outcome
	}
	e.Log.Event(eventlog.ClaimOutcome, r.id, eventlog.Fields{"outcome": result})
	if result == outcome.NotRun {
		e.Claims.Release(e.background, key, r.id)
		return
	}
	e.Claims.Finish(e.background, key, r.id, result, answer)
}

// answerFromClaim answers a retry with the recorded answer of the first request.
// While that request is in progress, it waits for the answer. If there is no
// answer to return, the Problem states the known outcome of the first request.
func (e *Entry) answerFromClaim(
	ctx context.Context, r *request, key, fingerprint string, existing *claim.Claim,
) *Problem {
	if existing.Fingerprint != fingerprint {
		return notRunProblem(consts.StatusUnprocessableEntity, kindIdempotencyKeyReused,
			"the Idempotency-Key was used for another request", 0)
	}
	for wait := minClaimPollInterval; existing.Outcome == ""; wait = min(2*wait, maxClaimPollInterval) {
		if e.Silent(existing.Holder) {
			return e.unknownOutcomeProblem(existing)
		}
		if !e.Now().Add(wait).Before(r.deadline) || !pause.For(ctx, wait) {
			return newProblem(consts.StatusConflict, kindRequestInProgress,
				"request "+existing.Request+" under this key is still running", outcome.Unknown, inProgressRetryAfter)
		}
		latest, err := e.Claims.Read(ctx, key)
		if err != nil {
			continue // the store may be unavailable for a moment; the deadline bounds the wait
		}
		if latest == nil {
			return notRunProblem(consts.StatusServiceUnavailable, kindRequestInProgress,
				"the request under this key did not run; send it again", drainRetryAfter)
		}
		existing = latest
	}
	return e.replay(r, existing)
}

// unknownOutcomeProblem tells the client that it is not known whether the request
// that claimed the key ran.
func (e *Entry) unknownOutcomeProblem(existing *claim.Claim) *Problem {
	return newProblem(consts.StatusConflict, kindOutcomeUnknown,
		"the instance that ran request "+existing.Request+" is gone; whether it ran is not known. "+
			"The office can look it up by this id at the service", outcome.Unknown, 0)
}

// replay writes the recorded answer as the response.
func (e *Entry) replay(r *request, existing *claim.Claim) *Problem {
	if existing.Outcome != outcome.Ran {
		return e.unknownOutcomeProblem(existing)
	}
	if existing.Answer == nil || existing.Answer.Omitted {
		return newProblem(consts.StatusConflict, kindIdempotencyKeyReused,
			"request "+existing.Request+" ran; its answer is not kept any more", outcome.Ran, 0)
	}
	e.Log.Event(eventlog.RequestReplayed, r.id, eventlog.Fields{"standing": existing.Request})
	r.responseStarted = true
	r.c.Header(chat.HeaderOutcome, string(outcome.Ran))
	r.c.Header(headerReplayed, "true")
	r.c.Header(chat.HeaderRequestID, existing.Request)
	r.c.Data(existing.Answer.Status, existing.Answer.ContentType, existing.Answer.Body)
	return nil
}
