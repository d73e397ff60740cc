package forward

import (
	"maps"

	"github.com/lavenderring/lavenderring/pkg/placement"
)

// Readings returns, by service, what this instance has learned of how engines read prompts.
func (f *Forwarder) Readings() map[string]placement.Reading {
	out := map[string]placement.Reading{}
	for name, s := range f.allServices() {
		if reading := s.pool.Reading(); reading.Answers > 0 {
			out[name] = reading
		}
	}
	return out
}

// Learn takes in what the instance named has learned of a service's engines.
func (f *Forwarder) Learn(from, service string, reading placement.Reading) {
	if s := f.allServices()[service]; s != nil {
		s.pool.Learn(from, reading)
	}
}

func (f *Forwarder) allServices() map[string]*service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.services)
}
