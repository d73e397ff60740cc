package origin

import (
	"errors"
	"math"
	"time"
	"unique"

	"github.com/lavenderring/lavenderring/pkg/origin/originpb"
)

// maxLifetime bounds how long a record that another instance sent is kept.
const maxLifetime = time.Hour

// errInvalidRecord means that a record of another instance has no valid key or no origin.
var errInvalidRecord = errors.New("record without a valid key, service and version or process")

// encode returns the message of a record at a time.
func encode(r record, now time.Time) *originpb.Record {
	lifetime := min(max(r.expires.Sub(now).Milliseconds(), 0), math.MaxUint32)
	return &originpb.Record{
		Key: r.key[:], Account: r.account, Service: r.origin.Service, Version: r.origin.Version,
		Upstream: r.origin.Upstream, Born: r.origin.Born, Conflict: r.conflict, LifetimeMs: uint32(lifetime),
	}
}

// decode returns the record in a message that arrived at a time.
func decode(message *originpb.Record, now time.Time) (record, error) {
	o := Origin{
		Service: intern(message.GetService()), Version: intern(message.GetVersion()),
		Upstream: intern(message.GetUpstream()), Born: message.GetBorn(),
	}
	named := o.Service != "" && o.IsKnown()
	if len(message.GetKey()) != keySize || named == message.GetConflict() {
		return record{}, errInvalidRecord
	}
	lifetime := min(time.Duration(message.LifetimeMs)*time.Millisecond, maxLifetime)
	return record{
		key:      Key(message.Key),
		account:  message.Account,
		origin:   o,
		conflict: message.Conflict,
		expires:  now.Add(lifetime),
	}, nil
}

// intern returns a shared copy of a string: thousands of records name the same services and versions.
func intern(s string) string { return unique.Make(s).Value() }
