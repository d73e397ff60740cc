package quarantine

import (
	"sync"
	"time"
)

// Bounds on what is remembered of answered parts.
const (
	// answeredLifetime is how long an answer shows that a part does not crash upstreams.
	answeredLifetime = time.Minute
	// maxAnswered limits the parts of one generation; two generations are kept.
	maxAnswered = 4096
	// maxServices limits the services, whose number clients could raise by the models that they name.
	maxServices = 256
)

// service identifies the requests of a service that name the same model.
type service struct{ name, model string }

// answeredParts holds when an answer at this instance last proved a part sound. It is safe for concurrent use
// and independent of Table.mu, since every answer passes here.
type answeredParts struct {
	mu sync.Mutex
	// recent and older are two generations: older is dropped when recent is full or answeredLifetime old.
	recent, older map[Part]time.Time
	rotatedAt     time.Time
	// services holds when any answer of a service last proved its parts sound.
	services map[service]time.Time
}

func newAnsweredParts() *answeredParts {
	return &answeredParts{recent: map[Part]time.Time{}, older: map[Part]time.Time{}, services: map[service]time.Time{}}
}

// note records that an answer to a prompt proved its parts sound.
func (a *answeredParts) note(prompt *Prompt, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.services) >= maxServices {
		clear(a.services)
	}
	a.services[service{prompt.Service, prompt.Model}] = at
	if len(a.recent)+len(prompt.Parts) > maxAnswered || at.Sub(a.rotatedAt) > answeredLifetime {
		a.recent, a.older, a.rotatedAt = map[Part]time.Time{}, a.recent, at
	}
	for _, id := range prompt.Parts[:min(len(prompt.Parts), maxAnswered)] {
		a.recent[prompt.part(id)] = at
	}
}

// last returns when an answer last proved a part sound; zero if that is not known.
func (a *answeredParts) last(p Part) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, known := a.recent[p]; known {
		return at
	}
	return a.older[p]
}

// isRecent reports whether an answer proved a part sound within answeredLifetime before a time.
func (a *answeredParts) isRecent(p Part, now time.Time) bool {
	at := a.last(p)
	return !at.IsZero() && now.Sub(at) <= answeredLifetime
}

// lastOfService returns when any answer of a service last proved its parts sound; zero if that is not known.
func (a *answeredParts) lastOfService(s service) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.services[s]
}
