package forward

import (
	"sync"
	"time"
)

// lastSentTimes holds when this instance last sent a request to an upstream of each failure domain. The
// zero value is empty.
type lastSentTimes struct {
	mu       sync.Mutex
	byDomain map[string]time.Time
}

func (s *lastSentTimes) record(domain string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byDomain == nil {
		s.byDomain = map[string]time.Time{}
	}
	s.byDomain[domain] = now
}

// SinceLastSent returns how long ago a request was last sent to an upstream of a failure domain; false
// if none has been sent.
func (f *Forwarder) SinceLastSent(domain string) (ago time.Duration, ever bool) {
	f.lastSent.mu.Lock()
	defer f.lastSent.mu.Unlock()
	last, ever := f.lastSent.byDomain[domain]
	return f.Now().Sub(last), ever
}
