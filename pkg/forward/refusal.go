package forward

import (
	"fmt"
	"time"
)

// Reason says why this instance, not an upstream, ends a request.
type Reason string

// The reasons. Those up to Suspected are given only to requests none of whose attempts
// may have run.
const (
	NoConfiguration Reason = "no-configuration"
	// ConfigurationOutdated means that the configuration in force does not allow the request, but that
	// this instance may lack a newer one that does.
	ConfigurationOutdated Reason = "configuration-outdated"
	// StateOutdated means that this instance cannot find out whether the configuration and the upstreams that it
	// knows are those in force, while other instances may.
	StateOutdated Reason = "state-outdated"
	NoRoute       Reason = "no-route"
	UnknownKey    Reason = "unknown-key"
	Malformed     Reason = "malformed"
	// NotReadInTime means that the request did not arrive whole in time.
	NotReadInTime     Reason = "not-read-in-time"
	HeadTooLarge      Reason = "head-too-large"
	BodyTooLarge      Reason = "body-too-large"
	PrepaidExhausted  Reason = "prepaid-exhausted"
	TokensUnreachable Reason = "tokens-not-reachable"
	// TokensKeptForUrgent means that the account's remaining tokens are kept for urgent requests.
	TokensKeptForUrgent Reason = "tokens-kept-for-urgent"
	NoUpstream          Reason = "no-upstream"
	Overloaded          Reason = "overloaded"
	NotRunTimeout       Reason = "not-run-in-time"
	// Stopping means that the instance may end before the request does.
	Stopping Reason = "instance-stopping"
	// OriginUnknown means that the client resumes a stream of which this instance cannot find out what
	// began it, or that the route no longer leads there.
	OriginUnknown Reason = "stream-origin-unknown"
	// VersionGone means that no upstream of the software version that began a stream is in service.
	VersionGone Reason = "stream-version-gone"
	// Quarantined means that the request crashed the upstreams that ran it and does not run
	// again, however often it is sent.
	Quarantined Reason = "quarantined"
	// Suspected means that the request may have crashed an upstream, and that equal ones run
	// one at a time.
	Suspected Reason = "suspected"
	// OutcomeUnknown means that an attempt failed and may have run.
	OutcomeUnknown Reason = "outcome-unknown"
	// Timeout means that the deadline passed during an attempt that may have run.
	Timeout Reason = "timeout"
)

// Refusal is an answer that this instance gives instead of an upstream.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the client may retry; 0 if unspecified.
	RetryAfter time.Duration
	// Step and Peer say where the request failed; empty if this instance decided to refuse it.
	Step, Peer string
	// Err is the cause; nil if the reason says all.
	Err error
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request refused (%s) at %s %s: %v", r.Reason, r.Step, r.Peer, r.Err)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }
