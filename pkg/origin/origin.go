// Package origin remembers which upstreams began resumable streams. What two software versions write does
// not fit together, so a stream may go on only at the service and version that sent its first event.
//
// The instance that delivers the first event records it and sends the record to a few other instances.
// An instance at which a client resumes a stream asks these, and reads the store if none of them knows: a few instances
// write the records there, so that they outlive the loss of all. A record that is late or lost means that the
// stream is refused, never that it goes on elsewhere: no decision rests on the absence of a record, on a
// clock or on the set of versions that an instance happens to see.
package origin

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// keySize is the length of a key in bytes: half of a SHA-256 sum, long enough that making two keys
// collide is not feasible.
const keySize = 16

// Key identifies a stream by the client account and the ID of the request that brought its first event.
// It includes the account, so that no account can read or alter what another one's streams rest on.
type Key [keySize]byte

// KeyOf returns the key of the stream that a request of an account began.
func KeyOf(account, requestID string) Key {
	sum := sha256.Sum256([]byte(account + "\x00" + requestID))
	return Key(sum[:keySize])
}

// Origin is what began a stream.
type Origin struct {
	// Service is the upstream's service, Version the version of its software; empty if it was not known.
	Service, Version string
	// Upstream and Born name the process if Version is empty: the upstream's ID and its start in Unix
	// milliseconds, as it said itself.
	Upstream string
	Born     int64
}

// IsKnown reports whether the origin names a version or a process.
func (o Origin) IsKnown() bool { return o.Version != "" || (o.Upstream != "" && o.Born > 0) }

// record is what an instance keeps about one stream.
type record struct {
	key Key
	// account is a hash of the client account, by which the number of its records is bounded.
	account uint64
	origin  Origin
	// conflict says that streams of several origins began under the key, so that nobody knows which
	// of them a client resumes; origin is empty then. Merging keeps it.
	conflict bool
	// expires is when the record may be dropped.
	expires time.Time
}

// newRecord returns the record of a stream that an account's request began.
func newRecord(account, requestID string, o Origin, expires time.Time) record {
	return record{key: KeyOf(account, requestID), account: xxhash.Sum64String(account), origin: o, expires: expires}
}

// ErrConflict means that the requests of several streams had the same ID.
var ErrConflict = errors.New("streams of several versions began under the request's ID")

// UnknownError means that no record of a stream was found.
type UnknownError struct {
	// Asked is the number of other instances that were asked, Answered the number of those that
	// answered.
	Asked, Answered int
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("no record of what began the stream: %d of %d instances answered", e.Answered, e.Asked)
}

// Fault is a failed step of keeping records at other instances.
type Fault struct {
	// Step is "keep", "find", "decode", "queue", "archive" or "load".
	Step string
	// Peer is the address of the other instance; empty if none is involved.
	Peer string
	// Records is the number of records concerned.
	Records int
	// Err is the cause.
	Err error
}
