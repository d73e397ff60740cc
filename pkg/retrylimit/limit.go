// Package retrylimit bounds how many requests a service gets beyond the first
// sending of each, over all instances together, without talk between them: each
// instance spends a part of its own requests and a share of a common extra.
package retrylimit

import (
	"sync"
	"time"
)

// Settings are the bounds for a service.
type Settings struct {
	// Ratio is the share of requests that may be sent once more.
	Ratio float64
	// Extra is how many more may be, over all instances in one window.
	Extra float64
	// Window is the length of any span over which the bound holds.
	Window time.Duration
}

// The share of an instance. Instances count at slightly different moments and
// come and go within a window, so a part of the bound is left unused.
const (
	// ratioUsed is the part of the ratio that is used.
	ratioUsed = 0.8
	// extraUsed is the part of the extra that all instances together use.
	extraUsed = 0.7
	// leastInstances is the fewest instances the extra is divided by: an
	// instance that has not heard of the others yet must not take it all.
	leastInstances = 12
	// slices is into how many parts a window is divided for counting.
	slices = 20
)

// Limit is the bound of one service at one instance. It is safe for concurrent use.
type Limit struct {
	settings  Settings
	instances func() int
	now       func() time.Time

	mu      sync.Mutex
	start   time.Time
	current int64
	first   [slices]int
	repeats [slices]int
}

// New returns a limit; instances tells how many instances are known.
func New(settings Settings, instances func() int, now func() time.Time) *Limit {
	return &Limit{settings: settings, instances: instances, now: now, start: now()}
}

// First counts a request's first sending.
func (l *Limit) First() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	l.first[l.current%slices]++
}

// TryRepeat reports whether a request may be sent once more, and counts it.
func (l *Limit) TryRepeat() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	share := l.settings.Extra * extraUsed / float64(max(l.instances(), leastInstances))
	allowed := l.settings.Ratio*ratioUsed*float64(sum(l.first)) + share
	if float64(sum(l.repeats)+1) > allowed {
		return false
	}
	l.repeats[l.current%slices]++
	return true
}

// advance clears the slices that time has passed over.
func (l *Limit) advance() {
	slice := int64(l.now().Sub(l.start) / (l.settings.Window / slices))
	for ; l.current < slice; l.current++ {
		next := (l.current + 1) % slices
		l.first[next], l.repeats[next] = 0, 0
		if slice-l.current > slices {
			l.current = slice - slices
		}
	}
}

func sum(counts [slices]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
