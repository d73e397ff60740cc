package forward

import (
	"maps"

	"github.com/lavenderring/lavenderring/pkg/placement"
)

// PrefillStats returns, by service, this instance's statistics of the engines' prefill.
func (f *Forwarder) PrefillStats() map[string]placement.PrefillStats {
	out := map[string]placement.PrefillStats{}
	for name, s := range f.cloneServices() {
		if stats := s.pool.PrefillStats(); stats.Answers > 0 {
			out[name] = stats
		}
	}
	return out
}

// RecordPeerStats records the prefill statistics of the instance named from for a service.
func (f *Forwarder) RecordPeerStats(from, service string, stats placement.PrefillStats) {
	if s := f.cloneServices()[service]; s != nil {
		s.pool.RecordPeerStats(from, stats)
	}
}

func (f *Forwarder) cloneServices() map[string]*serviceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.services)
}
