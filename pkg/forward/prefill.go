package forward

import (
	"maps"

	"github.com/lavenderring/lavenderring/pkg/placement"
)

// PrefillStats returns, by service, what this instance has measured of the engines' prefill.
func (f *Forwarder) PrefillStats() map[string]placement.PrefillStats {
	out := map[string]placement.PrefillStats{}
	for name, s := range f.cloneServices() {
		if reading := s.pool.PrefillStats(); reading.Answers > 0 {
			out[name] = reading
		}
	}
	return out
}

// RecordPeerStats records what the instance named from has measured of a service's engines.
func (f *Forwarder) RecordPeerStats(from, service string, reading placement.PrefillStats) {
	if s := f.cloneServices()[service]; s != nil {
		s.pool.RecordPeerStats(from, reading)
	}
}

func (f *Forwarder) cloneServices() map[string]*serviceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.services)
}
