// Package store is what the duties need of the platform's store: objects with
// versions, conditional updates, lists and watches, and the loop around one
// conditional update. The platform's adapter implements it.
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
	// Deleted says that the object is gone.
	Deleted bool
}

// Listing is a whole list, and the store's position when it was read.
type Listing struct {
	Objects  []Object
	Position Position
}

// Changes is what a watch returns: what changed, and the position to go on from.
type Changes struct {
	Changes  []Change
	Position Position
}

// Store reads and writes single objects. Errors are *CallError and wrap the
// package's errors where they apply.
type Store interface {
	// Get reads an object. With ErrNotFound comes an object of no version, whose position
	// is the one to create it at.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object whose position must still be expect and returns its new one. No
	// version stands for "must not exist". ErrConflict comes as a *ConflictError if the store
	// told what stands there. After ErrUncertain the caller reads back and looks for its
	// own mark in the value: a write that a later era answered is uncertain too.
	Put(ctx context.Context, key string, value []byte, expect Position) (Position, error)
}

// Watcher also lists the objects of a kind and waits for their changes.
type Watcher interface {
	Store
	// List reads all objects of a kind.
	List(ctx context.Context, kind string) (Listing, error)
	// Watch waits until an object of a kind changes after since, or until wait
	// is over. ErrHistoryGone means that the list has to be read anew, also because the
	// store is in a later era than since.
	Watch(ctx context.Context, kind string, since Position, wait time.Duration) (Changes, error)
}
