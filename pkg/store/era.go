package store

import "fmt"

// EraEvent reports a later era, or a fault in the era of an answer of the store.
type EraEvent struct {
	// From is the latest era known before the answer, To the latest known after it.
	From, To Era
	// Err is why the answer was rejected (ErrOldEra) or its era ignored (*InvalidEraError); nil for
	// a later era.
	Err error
}

// Listener receives what a client learns about the store itself from its calls. Each function may be
// nil.
type Listener struct {
	// OnCall is called for each call with nil if the store answered it, or with the reason why not.
	OnCall func(error)
	// OnEra is called for each later era, and once for each kind of fault.
	OnEra func(EraEvent)
}

// InvalidEraError reports an era that is not a positive number or is implausibly high. The latest
// known era stays in force.
type InvalidEraError struct {
	// Value is the beginning of the era as it was in the answer.
	Value string
}

// Error implements error.
func (e *InvalidEraError) Error() string {
	return fmt.Sprintf("invalid store era %q", e.Value)
}
