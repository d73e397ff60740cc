package forward

import (
	"errors"
	"net/http"

	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/origin"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// An upstream may restart under its ID and address with another software version. Its entry says so only
// later, and this instance's copy of the entry may be older still, so an entry does not prove which version
// answers. A connection ends with the process that accepted it. What that process has said about itself on
// the connection therefore holds for all requests on it.

// errOtherProcess means that another process answers at the upstream's address than the one in its entry, or
// one that does not say which it is.
var errOtherProcess = errors.New("upstream is not known to be the process in its entry")

// IdentityCodec encodes questions to upstreams which process they are, and decodes their answers.
type IdentityCodec interface {
	// EncodeIdentity appends a question that only the named upstream answers.
	EncodeIdentity(buf []byte, address, id string) []byte
	// DecodeIdentity returns when the process that answered started, in Unix milliseconds; false if it
	// does not say.
	DecodeIdentity(response *http.Response, body []byte) (born int64, stated bool)
}

// mustIdentify reports whether the attempt's stream rests on which process the upstream is. An upstream whose
// entry has no start never restarts under its ID.
func (a *attempt) mustIdentify() bool {
	return a.c.f.Identity != nil && a.c.route.Kind == routing.Stream && a.c.route.Resumable && a.lease.Born != 0
}

// identify asks the process at the other end of the connection which one it is, once for each connection. A
// stream that has begun goes on only at a process that is known to be the one in the entry.
func (a *attempt) identify() *failure {
	if !a.mustIdentify() {
		return nil
	}
	if a.conn.PeerBorn == 0 {
		if err := a.askIdentity(); err != nil {
			return &failure{step: stepBeforeSend, peer: a.lease.Address, err: err, neutral: true}
		}
	}
	if a.goesOn && !a.isIdentified() {
		return &failure{step: stepBeforeSend, peer: a.lease.Address, err: errOtherProcess, neutral: true}
	}
	return nil
}

func (a *attempt) askIdentity() error {
	f := a.c.f
	f.meters.identityChecks.Inc(1)
	response, body, err := a.ask(f.Identity.EncodeIdentity(make([]byte, 0, typicalHeadBytes), a.lease.Address, a.lease.ID))
	if err != nil {
		return err
	}
	born, stated := f.Identity.DecodeIdentity(response, body)
	if !stated {
		born = httpconn.UnknownBorn
	}
	a.conn.PeerBorn = born
	return nil
}

// isIdentified reports whether the process at the other end of the connection is the one in the lease's entry.
func (a *attempt) isIdentified() bool { return !a.mustIdentify() || a.conn.PeerBorn == a.lease.Born }

// origin returns what began the stream whose first event the attempt delivers. The version of a process that
// has not been found in the registry yet may be found later.
func (a *attempt) origin() origin.Origin {
	switch {
	case a.isIdentified():
		return origin.Origin{Service: a.lease.Service, Version: a.lease.Version}
	case a.conn.PeerBorn == httpconn.UnknownBorn:
		return origin.Origin{Service: a.lease.Service}
	}
	return origin.Origin{Service: a.lease.Service, Upstream: a.lease.ID, Born: a.conn.PeerBorn}
}

// originVersion returns the version that began the stream; empty if it is not known.
func (c *call) originVersion() string {
	if c.origin.Version == "" && c.origin.IsKnown() {
		if version, known := c.f.Registry.VersionOf(c.origin.Upstream, c.origin.Born); known {
			c.origin = &origin.Origin{Service: c.origin.Service, Version: version}
		}
	}
	return c.origin.Version
}
