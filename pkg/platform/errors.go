package platform

import (
	"errors"
	"fmt"
)

// Errors of the object API.
var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version is not the expected one.
	ErrConflict = errors.New("object version conflict")
	// ErrThrottled means that the platform refused the call for its rate.
	ErrThrottled = errors.New("platform throttled the call")
	// ErrUncertain means that a write may or may not have taken effect.
	ErrUncertain = errors.New("write may have taken effect")
)

// CallError tells which call on which object failed.
type CallError struct {
	// Step is the call: "get", "put", "list" or "watch".
	Step string
	// Peer is the platform's address.
	Peer string
	// Key is the object's key or the prefix.
	Key string
	// Err is the cause; it wraps one of the package's errors where they apply.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("platform %s %s at %s: %v", e.Step, e.Key, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
