package store

import "fmt"

// EraNews is what an answer of the store told of its era.
type EraNews struct {
	// From is the era that was known, To the one that is known now.
	From, To Era
	// Fault is why the answer was passed over, or its era not taken in; nil for a later era.
	Fault error
}

// Listener is told what the store's answers say of the store itself. Each function may be nil.
type Listener struct {
	// State is told of each call whether the store answered it: nil, or why not.
	State func(error)
	// Era is told of each later era, and once of each kind of fault.
	Era func(EraNews)
}

// EraFaultError is an era that cannot be read, or cannot be true. The one that is known stands.
type EraFaultError struct {
	// Told is the beginning of what the answer said.
	Told string
}

// Error implements error.
func (e *EraFaultError) Error() string {
	return fmt.Sprintf("the store tells an unusable era %q", e.Told)
}
