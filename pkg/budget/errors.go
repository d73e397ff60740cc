package budget

import "fmt"

// ShortError refuses a reservation: not enough tokens could be gathered. The
// request has not run.
type ShortError struct {
	// Budget is the budget asked for.
	Budget string
	// Need and Found are tokens: the reservation's bound, and what was there.
	Need, Found int64
	// Exhausted says that every holder answered and none has more; otherwise
	// some could not be asked and the refusal may be mended by time.
	Exhausted bool
	// Step and Peer say where the search ended.
	Step, Peer string
	// Err is the last fault on the way; nil if all answered.
	Err error
}

// Error implements error.
func (e *ShortError) Error() string {
	text := fmt.Sprintf("%s: budget %s has %d of %d tokens within reach", e.Step, e.Budget, e.Found, e.Need)
	if e.Err != nil {
		text += fmt.Sprintf(" (peer %s: %v)", e.Peer, e.Err)
	}
	return text
}

// Unwrap returns the cause.
func (e *ShortError) Unwrap() error { return e.Err }
