package store

import (
	"errors"
	"fmt"
)

// Errors of the store.
var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version is not the expected one.
	ErrConflict = errors.New("object version conflict")
	// ErrThrottled means that the store refused the call for its rate.
	ErrThrottled = errors.New("store throttled the call")
	// ErrUncertain means that a write may have taken effect, or may yet.
	ErrUncertain = errors.New("write may have taken effect")
	// ErrHistoryGone means that changes since a version are not known any more.
	ErrHistoryGone = errors.New("history of changes is gone")
	// ErrOldEra means that an answer was of an older era than one already seen: it comes from
	// before the store went back, and nothing in it holds any more.
	ErrOldEra = errors.New("answer of an older era of the store")
	// ErrUnavailable means that the store refused the call and did nothing.
	ErrUnavailable = errors.New("store is unavailable")
)

// ConflictError is a conflict whose answer told what stands in the store, which
// saves the next attempt a read.
type ConflictError struct{ Present Object }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: present position is %v", ErrConflict, e.Present.Position)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// CallError tells which call on which object failed.
type CallError struct {
	// Step is the call: "get", "put", "list" or "watch".
	Step string
	// Peer is the store's address.
	Peer string
	// Key is the object's key or the kind.
	Key string
	// Err is the cause; it wraps one of the package's errors where they apply.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("store %s %s at %s: %v", e.Step, e.Key, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
