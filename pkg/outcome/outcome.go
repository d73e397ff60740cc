// Package outcome decides, in one place, what a caller is told about the fate
// of its request: ran, not run, or unknown.
package outcome

import "sync/atomic"

// Word is the fate of a request as told to its caller.
type Outcome string

// The three words. No other word about a request's fate is ever sent.
const (
	// Ran means an upstream answered the request whole.
	Ran Outcome = "ran"
	// NotRun means no byte of the request was handed to any upstream connection.
	NotRun Outcome = "not-run"
	// Unknown means a byte may have left and no whole answer came back.
	Unknown Outcome = "unknown"
)

// Facts records what has happened to one request, across all its attempts.
// The zero value is a request that has not been dispatched. It is safe for
// concurrent use.
type Tracker struct {
	maybeSent atomic.Bool
	answered  atomic.Bool
}

// MarkHanded records that a connection to an upstream took the request.
// It is called before the first byte is written, never after: a crash or a
// lost connection between write and record would otherwise turn a request
// that ran into a false "not-run".
func (f *Tracker) MarkSending() { f.maybeSent.Store(true) }

// MarkAnswered records that an upstream's whole answer arrived.
func (f *Tracker) MarkAnswered() { f.answered.Store(true) }

// Handed reports whether a byte may have left on any attempt.
func (f *Tracker) MaybeSent() bool { return f.maybeSent.Load() }

// Word returns the outcome word that the facts support.
func (f *Tracker) Outcome() Outcome {
	if f.answered.Load() {
		return Ran
	}
	if f.maybeSent.Load() {
		return Unknown
	}
	return NotRun
}
