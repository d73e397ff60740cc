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

// Version is an object's version; versions of all objects come from one counter.
// NoVersion stands for "must not exist".
type Version uint64

// NoVersion is the version of an object that does not exist.
const NoVersion Version = 0

// Object is a value with its key, "kind/name", and version.
type Object struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"`
}

// Change is one event of a watch.
type Change struct {
	Object Object
	// Deleted says that the object is gone.
	Deleted bool
}

// Listing is a whole list, and the store's version when it was read.
type Listing struct {
	Objects []Object
	Version Version
}

// Changes is what a watch returns: what changed, and the version to go on from.
type Changes struct {
	Changes []Change
	Version Version
}

// Store reads and writes single objects. Errors are *CallError and wrap the
// package's errors where they apply.
type Store interface {
	// Get reads an object; ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object whose version must still be expect and returns its
	// new version. ErrConflict comes as a *ConflictError if the store told what
	// stands there. After ErrUncertain the caller reads back and looks for its
	// own mark in the value.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
}

// Watcher also lists the objects of a kind and waits for their changes.
type Watcher interface {
	Store
	// List reads all objects of a kind.
	List(ctx context.Context, kind string) (Listing, error)
	// Watch waits until an object of a kind changes after since, or until wait
	// is over. ErrHistoryGone means that the list has to be read anew.
	Watch(ctx context.Context, kind string, since Version, wait time.Duration) (Changes, error)
}
