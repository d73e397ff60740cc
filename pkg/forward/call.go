package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/origin"
	"github.com/lavenderring/lavenderring/pkg/placement"
	"github.com/lavenderring/lavenderring/pkg/prepaid"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// call is a client's request in progress, with all its attempts.
type call struct {
	f            *Forwarder
	r            *Request
	client       Client
	route        *routing.Route
	account      *routing.Account
	target       *routing.Service
	serviceState *serviceState
	deadline     time.Time
	// urgent says that no route to the same service has a more urgent priority.
	urgent bool

	// reservation holds the prepaid tokens set aside; nil for a request that costs nothing.
	reservation *prepaid.Reservation

	// numSent counts the attempts that were sent; numMayHaveRun those of them that may have run. If there
	// is one, the client is never told "not run".
	numSent, numMayHaveRun int
	// hedges holds the attempts beside the current one.
	hedges hedges
	// tried holds the ids of the upstreams that are not chosen again.
	tried []string
	// unreached holds those of the tried upstreams to which no connection could be opened; declined says
	// that an upstream that was reached has declined. waited says that the unreached ones are being tried
	// again.
	unreached        []string
	declined, waited bool
	// upstreamFailure is the last answer with a server error; it is passed on if no other
	// attempt succeeds.
	upstreamFailure *wholeAnswer

	// origin is what began the stream, which goes on nowhere else; nil until that is decided by the
	// client's resumption or by the first event. It may name a process whose version is not known yet, or
	// neither.
	origin *origin.Origin
	// begun says that a streamed answer has begun; numEvents and lastEventID say how much
	// of it the client has.
	begun       bool
	numEvents   atomic.Int64
	lastEventID string
	// unnumbered says that the last event that the client has carries no id: the stream cannot be resumed
	// after it.
	unnumbered bool
	timing     streamTiming
	// fingerprint is computed when it is first needed.
	fingerprint *fingerprint.Fingerprint
}

// setDeadline derives the deadline from the shorter of the client's and the route's timeouts.
func (c *call) setDeadline() {
	wait := c.route.Timeout
	if c.r.ClientTimeout > 0 && (wait <= 0 || c.r.ClientTimeout < wait) {
		wait = c.r.ClientTimeout
	}
	if wait <= 0 {
		wait = defaultTimeout
	}
	c.deadline = c.r.Arrived.Add(wait)
}

// defaultTimeout bounds a request for which neither the client nor the route sets a timeout.
const defaultTimeout = 60 * time.Second

func (c *call) remaining() time.Duration { return c.deadline.Sub(c.f.Now()) }

// run makes attempts until the answer is delivered or no further attempt is allowed.
func (c *call) run(ctx context.Context) {
	defer c.settleReservation()
	defer func() { c.upstreamFailure.discard() }()
	c.f.meters.accepted.Inc(1)
	c.serviceState.limit.CountFirst(c.accountName())
	for {
		failure := c.tryUpstream(ctx)
		if failure == nil {
			return
		}
		if c.awaitUnreached(ctx, failure) {
			continue
		}
		if ctx.Err() != nil || errors.Is(failure.err, errClientGone) {
			c.handleClientGone()
			return
		}
		if !c.mayRetry(failure) {
			c.finishFailed(failure)
			return
		}
		if c.waited && failure.step == stepDial {
			continue // of the rounds of connections, only the first is logged
		}
		c.f.meters.retried.Inc(1)
		if c.begun {
			c.f.meters.resumed.Inc(1)
		}
		c.logRetry(failure)
	}
}

func (c *call) logRetry(failure *failure) {
	fields := eventlog.Fields{"step": failure.step, "peer": failure.peer, "cause": failure.err.Error(), "sent": c.numSent}
	if failure.version != "" {
		fields["version"] = failure.version
	}
	if failure.silence > 0 {
		fields["silent_ms"] = failure.silence.Milliseconds()
	}
	c.f.Log.Event(eventlog.RequestRepeated, c.r.ID, fields)
}

// settleReservation settles the reservation with the billed tokens: those of the prompt if the
// request may have run, and the output tokens of the events that were delivered.
func (c *call) settleReservation() {
	if c.reservation == nil {
		return
	}
	used := int64(0)
	if c.numMayHaveRun > 0 {
		used = c.r.PromptTokens
	}
	if c.target.Engine != nil {
		used += min(c.numEvents.Load()*c.target.Engine.TokensPerEvent, c.r.MaxOutputTokens)
	}
	c.f.Budgets.Settle(c.reservation, used)
	c.f.Log.Event(eventlog.RequestBilled, c.r.ID, eventlog.Fields{
		"budget": c.account.Name, "tokens": used, "events": c.numEvents.Load(), "reserved": c.r.PromptTokens + c.r.MaxOutputTokens,
	})
}

func (c *call) handleClientGone() {
	c.f.meters.clientsGone.Inc(1)
	c.f.Log.Event(eventlog.CallerGone, c.r.ID, eventlog.Fields{
		"after_ms": c.f.Now().Sub(c.r.Arrived).Milliseconds(), "events": c.numEvents.Load(), "sent": c.numSent,
	})
	c.client.Abort()
}

// failure says why an attempt gave no whole answer.
type failure struct {
	step, peer string
	err        error
	// neutral says that the failure does not count against the upstream: the upstream refused
	// because of its load or is leaving, or this instance has used up its share of the connections
	// to it.
	neutral bool
	// noRetry forbids another attempt.
	noRetry bool
	// connEnded says that the upstream's side of the connection ended.
	connEnded bool
	// answered says that the upstream gave a whole answer with an error status.
	answered bool
	// version is the software version of the upstream whose stream broke off; empty for other failures.
	version string
	// notRun says that the upstream states that it did not run the request.
	notRun bool
	// limited says that an upstream that has not been tried may be chosen later: it may have just started.
	limited bool
	// answer is an answer with a server error; nil for other failures.
	answer *wholeAnswer
	// silence is how long the upstream had been silent when the wait for it ended; 0 for other failures.
	silence time.Duration
}

// count counts an attempt that is about to be sent.
func (c *call) count(a *attempt) {
	c.numSent++
	c.numMayHaveRun++ // until the upstream says that it did not run the request
	a.number = c.numSent
}

// noteFailed records what the failure of an attempt says about the request; nil if it did not fail.
func (c *call) noteFailed(a *attempt, failed *failure) {
	if failed == nil {
		return
	}
	c.noteUnreached(a, failed)
	if failed.notRun {
		c.numMayHaveRun--
	}
	if failed.answer != nil {
		c.upstreamFailure.discard()
		c.upstreamFailure = failed.answer
	}
}

// sentSomething reports whether the attempt may have reached the upstream.
func (f *failure) sentSomething() bool { return f.step != stepDial && f.step != stepBeforeSend }

func (f *failure) markAnswered() *failure {
	f.answered = true
	return f
}

// wholeAnswer is an upstream's answer that has been read completely.
type wholeAnswer struct {
	head   AnswerHead
	body   []byte
	memory *buffermem.Hold
}

// discard returns the memory of an answer that is not used any more. It may be called on nil.
func (a *wholeAnswer) discard() {
	if a != nil {
		a.memory.Release()
	}
}

// Failures of an attempt.
var (
	errNoUpstream      = errors.New("no upstream is in service")
	errVersionGone     = errors.New("no upstream of the stream's software version is in service")
	errVersionUnknown  = errors.New("the software version that began the stream is unknown")
	errAllTried        = errors.New("every upstream in service has been tried")
	errOverloaded      = errors.New("the network link of this instance is saturated")
	errLeaving         = errors.New("upstream left service before the request was sent")
	errOutdated        = errors.New("it is not known whether upstreams have left or the configuration has changed")
	errClientGone      = errors.New("client left before the request was sent")
	errEnded           = errors.New("upstream may have ended under an equal request before this one was sent")
	errNoTime          = errors.New("no time left")
	errConnections     = errors.New("connection limit of the upstream reached")
	errAnswerMismatch  = errors.New("answer carries another request's id")
	errUnsealed        = errors.New("answer carries no seal of the upstream")
	errEncoded         = errors.New("answer has a content encoding, which the upstream does not apply")
	errRefused         = errors.New("upstream refused the request")
	errUpstreamFailure = errors.New("upstream answered with a server error")
	errNoStream        = errors.New("upstream does not go on with the stream")
	errIncomplete      = errors.New("stream ended within an event")
	errEventTooLong    = errors.New("event exceeds the size limit")
	errUpstreamSilent  = errors.New("upstream sent nothing until the connection was given up")
	errSuperseded      = errors.New("another upstream answered while this one was silent")
)

// mayRetry reports whether another upstream may be tried. A request that is not idempotent
// is retried only if it certainly ran in none of its attempts.
func (c *call) mayRetry(last *failure) bool {
	if last.noRetry || c.numSent >= c.route.MaxAttempts || c.remaining() <= minAttemptTime {
		return false
	}
	if c.unnumbered || (c.numMayHaveRun > 0 && !c.route.Retryable()) {
		return false
	}
	if !last.sentSomething() {
		return true // nothing reached the upstream, so this is not counted as a retry
	}
	return c.serviceState.limit.TryRetry(c.accountName())
}

// minAttemptTime is the shortest time in which an attempt can succeed: two
// network round trips and the shortest processing.
const minAttemptTime = 10 * time.Millisecond

// finishFailed ends the request after its last attempt has failed.
func (c *call) finishFailed(last *failure) {
	if c.begun {
		c.f.meters.unknown.Inc(1)
		fields := eventlog.Fields{
			"reason": "stream-broken", "step": last.step, "peer": last.peer, "cause": last.err.Error(),
			"events": c.numEvents.Load(), "sent": c.numSent, "took_ms": c.f.Now().Sub(c.r.Arrived).Milliseconds(),
			"left_ms": c.remaining().Milliseconds(),
		}
		if last.silence > 0 {
			fields["silent_ms"] = last.silence.Milliseconds()
		}
		c.f.Log.Event(eventlog.RequestFailed, c.r.ID, fields)
		c.client.Abort()
		return
	}
	if c.upstreamFailure != nil {
		c.deliver(c.upstreamFailure)
		c.upstreamFailure = nil
		return
	}
	refusal := &Refusal{Step: last.step, Peer: last.peer, Err: last.err}
	quarantined, inQuarantine := quarantineReason(last.err)
	switch {
	case c.numMayHaveRun > 0 && c.remaining() <= minAttemptTime:
		refusal.Reason = Timeout
	case c.numMayHaveRun > 0:
		refusal.Reason = OutcomeUnknown
	case inQuarantine:
		refusal.Reason = quarantined
		if quarantined == Suspected {
			refusal.RetryAfter = defaultRetryAfter
		}
	case errors.Is(last.err, errOutdated):
		refusal.Reason, refusal.RetryAfter = StateOutdated, defaultRetryAfter
	case errors.Is(last.err, errVersionGone):
		refusal.Reason, refusal.RetryAfter = VersionGone, originRetryAfter
	case errors.Is(last.err, errNoUpstream):
		refusal.Reason, refusal.RetryAfter = NoUpstream, c.f.noUpstreamRetryAfter()
	case c.remaining() <= minAttemptTime:
		refusal.Reason = NotRunTimeout
	default:
		refusal.Reason, refusal.RetryAfter = Overloaded, defaultRetryAfter
	}
	c.f.refuse(c.r, c.client, refusal)
}

// deliver passes an answer on to the client. The answer's memory is returned when it has been written.
func (c *call) deliver(a *wholeAnswer) {
	err := c.client.Answer(a.head.Status, a.head.Header, a.body)
	if client, ok := c.client.(WrittenNotifier); ok {
		client.OnWritten(a.discard)
	} else {
		a.discard()
	}
	took := c.f.Now().Sub(c.r.Arrived)
	c.f.meters.answered.Inc(1)
	c.f.meters.answerTime.Update(took)
	fields := eventlog.Fields{"status": a.head.Status, "took_ms": took.Milliseconds(), "sent": c.numSent}
	if err != nil {
		fields["cause"] = err.Error()
	}
	c.f.Log.Event(eventlog.RequestRan, c.r.ID, fields)
}

// chooseUpstream leases an upstream for the next attempt.
func (c *call) chooseUpstream() (*placement.Lease, *failure) {
	request := &placement.Request{PromptTokens: c.r.PromptTokens, MaxPause: c.route.MaxPause, Tried: c.tried}
	if c.target.Engine != nil {
		request.TokensPerEvent = c.target.Engine.TokensPerEvent
	}
	if c.origin != nil {
		if request.Version = c.originVersion(); request.Version == "" {
			return nil, &failure{step: "choose", err: errVersionUnknown, noRetry: true}
		}
	}
	for _, part := range c.r.Prompt {
		request.Parts = append(request.Parts, placement.Part(part))
	}
	lease := c.serviceState.pool.Choose(request)
	if lease != nil {
		return lease, nil
	}
	switch {
	case len(c.tried) == 0 && c.origin != nil:
		return nil, &failure{step: "choose", err: errVersionGone, noRetry: true}
	case len(c.tried) == 0:
		return nil, &failure{step: "choose", err: errNoUpstream, noRetry: true}
	}
	return nil, &failure{step: "choose", err: errAllTried, noRetry: true, limited: c.serviceState.pool.HasLimited(request)}
}
