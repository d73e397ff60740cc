package configsync

import (
	"encoding/json"
	"fmt"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// EmptiedDomainsKey is the key of the object that lists the failure domains emptied by operators. It
// is under Kind, which instances watch already, so that it needs no watch of its own.
const EmptiedDomainsKey = Kind + "/emptied"

// EmptiedDomainsName takes the place of a service name where instances exchange the generation and
// contents of the emptied domains. No service can have this name.
const EmptiedDomainsName = "/emptied"

// EmptiedDomains lists the failure domains whose upstreams get no new requests.
type EmptiedDomains struct {
	// Generation increases with each change, even if the store was rolled back between two changes.
	Generation uint64 `json:"generation"`
	// Domains are sorted by name.
	Domains []string `json:"domains"`
}

// DecodeEmptiedDomains decodes the value of the object at EmptiedDomainsKey.
func DecodeEmptiedDomains(value []byte) (EmptiedDomains, error) {
	var e EmptiedDomains
	if err := json.Unmarshal(value, &e); err != nil {
		return EmptiedDomains{}, fmt.Errorf("decode emptied domains: %w", err)
	}
	return e, nil
}

// EmptiedDomains returns the emptied domains in force.
func (s *State) EmptiedDomains() EmptiedDomains { return *s.emptiedDomains.Load() }

// ApplyEmptiedDomains brings emptied domains into force if their generation is higher than the one in
// force, and reports whether it did.
func (s *State) ApplyEmptiedDomains(e EmptiedDomains) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.EmptiedDomains()
	if e.Generation <= before.Generation {
		return false
	}
	s.emptiedDomains.Store(&e)
	s.onEmptiedDomains(before, e)
	return true
}

// ApplyEmptiedDomains applies emptied domains received from a peer or read from the store, and notifies
// the peers if they are new.
func (s *Syncer) ApplyEmptiedDomains(e EmptiedDomains) {
	if s.state.ApplyEmptiedDomains(e) {
		s.notifyPeers()
	}
}

// handleEmptiedDomains decodes and applies the object at EmptiedDomainsKey.
func (s *Syncer) handleEmptiedDomains(object store.Object) {
	e, err := DecodeEmptiedDomains(object.Value)
	if err != nil {
		s.logRejected(err)
		return
	}
	s.ApplyEmptiedDomains(e)
}
