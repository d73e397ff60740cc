package forward

import (
	"fmt"
	"time"
)

// Reason says why the system ends a request itself.
type Reason string

// The reasons. Those up to Suspected are given only to requests of which no
// attempt may have run.
const (
	NoConfiguration Reason = "no-configuration"
	NoRoute         Reason = "no-route"
	UnknownKey      Reason = "unknown-key"
	Malformed       Reason = "malformed"
	HeadTooLarge    Reason = "head-too-large"
	BodyTooLarge    Reason = "body-too-large"
	Exhausted       Reason = "prepaid-exhausted"
	TokensUnsure    Reason = "tokens-not-reachable"
	// TokensKept means that what is left of the account is kept for urgent requests.
	TokensKept    Reason = "tokens-kept-for-urgent"
	NoUpstream    Reason = "no-upstream"
	Overloaded    Reason = "overloaded"
	NotRunTimeout Reason = "not-run-in-time"
	// Stopping means that the instance ends before the request might.
	Stopping Reason = "instance-stopping"
	// Quarantined means that the request crashed the upstreams that ran it and does not run
	// again, however often it is sent.
	Quarantined Reason = "quarantined"
	// Suspected means that the request may have crashed an upstream, and that equal ones run
	// one at a time.
	Suspected Reason = "suspected"
	// Unknown means that an attempt failed and may have run.
	Unknown Reason = "outcome-unknown"
	// Timeout means that time ran out on an attempt that may have run.
	Timeout Reason = "timeout"
)

// Refusal is an answer of the system's own.
type Refusal struct {
	Reason Reason
	// RetryAfter tells when to come back; 0 for nothing to tell.
	RetryAfter time.Duration
	// Step and Peer say where the request failed; empty if nowhere.
	Step, Peer string
	// Err is the cause; nil for a decision of the system's own.
	Err error
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request refused (%s) at %s %s: %v", r.Reason, r.Step, r.Peer, r.Err)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }
