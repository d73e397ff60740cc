package budget

import "fmt"

// ShortError means that a reservation failed because too few tokens could be
// obtained. The request has not run.
type ShortError struct {
	// Budget is the id of the budget.
	Budget string
	// Need is the number of tokens to be reserved, Found the number of free
	// tokens at this instance after the search.
	Need, Found int64
	// Exhausted reports that every holder answered and none has more tokens.
	// Otherwise some could not be asked, and a later attempt may succeed.
	Exhausted bool
	// Step is the step of the search that failed, Peer the last holder that did
	// not answer.
	Step, Peer string
	// Err is the error of the call to Peer; nil if all holders answered.
	Err error
}

// Error implements error.
func (e *ShortError) Error() string {
	text := fmt.Sprintf("%s: budget %s has %d of %d tokens available", e.Step, e.Budget, e.Found, e.Need)
	if e.Err != nil {
		text += fmt.Sprintf(" (peer %s: %v)", e.Peer, e.Err)
	}
	return text
}

// Unwrap returns Err.
func (e *ShortError) Unwrap() error { return e.Err }
