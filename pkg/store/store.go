// Package store defines the interface to the platform's store, which holds
// objects with versions and offers conditional updates, lists and watches, and
// implements the retry loop around a conditional update. The platform's adapter
// implements the interface.
package store

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Object is a value with its key, "kind/name", and the position of its last change.
type Object struct {
	Key      string
	Position Position
	Value    []byte
}

// Change is one event of a watch.
type Change struct {
	Object Object
	// Deleted reports that the object was deleted.
	Deleted bool
}

// Listing is a complete list, and the store's position when it was read.
type Listing struct {
	Objects  []Object
	Position Position
}

// Changes is the result of a watch: the changes, and the position for the next watch.
type Changes struct {
	Changes  []Change
	Position Position
}

// Store reads and writes single objects. Errors are *CallError and wrap the
// package's errors where they apply.
type Store interface {
	// Get reads an object. With ErrNotFound it returns an object without a version, whose
	// position is the one to create the object at.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object whose position must still be expect and returns its new position.
	// If expect has no version, the object must not exist. ErrConflict comes as a
	// *ConflictError if the store returned the present object. After ErrUncertain the caller
	// must read the object and look for its own mark in the value. A write that was answered
	// in a later era is uncertain too.
	Put(ctx context.Context, key string, value []byte, expect Position) (Position, error)
}

// Watcher is a Store that can also list the objects of a kind and wait for their changes.
type Watcher interface {
	Store
	// List reads all objects of a kind.
	List(ctx context.Context, kind string) (Listing, error)
	// Watch waits until an object of a kind changes after since, or until wait
	// is over. ErrHistoryGone means that the objects must be listed again, because the
	// changes since then are not available or the store is in a later era than since.
	Watch(ctx context.Context, kind string, since Position, wait time.Duration) (Changes, error)
}
