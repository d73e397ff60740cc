package forward

import (
	"maps"

	"github.com/lavenderring/lavenderring/pkg/placement"
)

// PrefillStats returns, by service, what this instance has measured of the engines' prefill.
func (f *Forwarder) PrefillStats() map[string]placement.Reading {
	out := map[string]placement.Reading{}
	for name, s := range f.cloneServices() {
		if reading := s.pool.Reading(); reading.Answers > 0 {
			out[name] = reading
		}
	}
	return out
}

// RecordPeerStats records what the instance named from has measured of a service's engines.
func (f *Forwarder) RecordPeerStats(from, service string, reading placement.Reading) {
	if s := f.cloneServices()[service]; s != nil {
		s.pool.Learn(from, reading)
	}
}

func (f *Forwarder) cloneServices() map[string]*serviceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.services)
}
