// Package outcome determines the outcome that is reported to a client for its
// request: ran, not run, or unknown.
package outcome

import "sync/atomic"

// Outcome is the outcome of a request as it is reported to its client.
type Outcome string

// The outcomes; no other value is ever sent.
const (
	// Ran means that an upstream's whole answer was received.
	Ran Outcome = "ran"
	// NotRun means that no byte of the request was written to a connection to an
	// upstream.
	NotRun Outcome = "not-run"
	// Unknown means that a byte may have been sent and no whole answer was
	// received.
	Unknown Outcome = "unknown"
)

// Tracker tracks what has happened to one request in all its attempts. The zero
// value is that of a request that has not been dispatched. It is safe for
// concurrent use.
type Tracker struct {
	maybeSent atomic.Bool
	answered  atomic.Bool
}

// MarkSending records that a connection to an upstream is about to send the
// request. It is called before the first byte is written, never after: if the
// process crashed or the connection were lost between the write and the call, a
// request that ran would be reported as "not-run".
func (t *Tracker) MarkSending() { t.maybeSent.Store(true) }

// MarkAnswered records that an upstream's whole answer was received.
func (t *Tracker) MarkAnswered() { t.answered.Store(true) }

// MaybeSent reports whether a byte of the request may have been sent by any
// attempt.
func (t *Tracker) MaybeSent() bool { return t.maybeSent.Load() }

// Outcome returns the outcome so far.
func (t *Tracker) Outcome() Outcome {
	if t.answered.Load() {
		return Ran
	}
	if t.maybeSent.Load() {
		return Unknown
	}
	return NotRun
}
