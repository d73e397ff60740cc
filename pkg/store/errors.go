package store

import (
	"errors"
	"fmt"
)

// Errors of calls to the store.
var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version is not the expected one.
	ErrConflict = errors.New("object version conflict")
	// ErrThrottled means that the store refused the call because there were too many.
	ErrThrottled = errors.New("store throttled the call")
	// ErrUncertain means that a write may have taken effect, or may still do so.
	ErrUncertain = errors.New("write may have taken effect")
	// ErrHistoryGone means that the store no longer has the changes since a version.
	ErrHistoryGone = errors.New("history of changes is gone")
	// ErrOldEra means that an answer was of an older era than one already seen: it dates from
	// before a rollback of the store, and nothing in it is valid any more.
	ErrOldEra = errors.New("answer of an older era of the store")
	// ErrUnavailable means that the store refused the call and it had no effect.
	ErrUnavailable = errors.New("store is unavailable")
)

// ConflictError is an ErrConflict whose answer contained the object in the store, which
// saves the next attempt a read.
type ConflictError struct{ Present Object }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: present position is %v", ErrConflict, e.Present.Position)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// CallError is the error of a call, with the call and its object.
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
