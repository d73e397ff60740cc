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

// The share of a client account. One whose requests all fail would take every repeat from the
// others, whose requests fail now and then.
const (
	// accountFactor times an account's part of the requests is its part of the repeats.
	accountFactor = 2
	// leastPart is the part of an account that sends little.
	leastPart = 0.1
)

// Limit is the bound of one service at one instance. It is safe for concurrent use.
type Limit struct {
	settings  Settings
	instances func() int
	now       func() time.Time

	mu       sync.Mutex
	start    time.Time
	current  int64
	all      counts
	accounts map[string]*counts
}

// counts are requests by the slices of a window.
type counts struct{ first, repeats [slices]int }

// New returns a limit; instances tells how many instances are known.
func New(settings Settings, instances func() int, now func() time.Time) *Limit {
	return &Limit{settings: settings, instances: instances, now: now, start: now(), accounts: map[string]*counts{}}
}

// First counts the first sending of an account's request; the account is empty where none is needed.
func (l *Limit) First(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	l.all.first[l.current%slices]++
	l.of(account).first[l.current%slices]++
}

// TryRepeat reports whether a request of an account may be sent once more, and counts it.
func (l *Limit) TryRepeat(account string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	share := l.settings.Extra * extraUsed / float64(max(l.instances(), leastInstances))
	first := sum(l.all.first)
	allowed := l.settings.Ratio*ratioUsed*float64(first) + share
	if float64(sum(l.all.repeats)+1) > allowed {
		return false
	}
	own := l.of(account)
	part := max(accountFactor*float64(sum(own.first))/float64(max(first, 1)), leastPart)
	if used := sum(own.repeats); used > 0 && float64(used+1) > allowed*part {
		return false
	}
	l.all.repeats[l.current%slices]++
	own.repeats[l.current%slices]++
	return true
}

// of returns an account's counts; l.mu is held.
func (l *Limit) of(account string) *counts {
	own := l.accounts[account]
	if own == nil {
		own = &counts{}
		l.accounts[account] = own
	}
	return own
}

// advance clears the slices that time has passed over, and forgets accounts without requests.
func (l *Limit) advance() {
	slice := int64(l.now().Sub(l.start) / (l.settings.Window / slices))
	if l.current >= slice {
		return
	}
	for ; l.current < slice; l.current++ {
		next := (l.current + 1) % slices
		l.all.clear(next)
		for _, own := range l.accounts {
			own.clear(next)
		}
		if slice-l.current > slices {
			l.current = slice - slices
		}
	}
	for account, own := range l.accounts {
		if *own == (counts{}) {
			delete(l.accounts, account)
		}
	}
}

func (c *counts) clear(slice int64) { c.first[slice], c.repeats[slice] = 0, 0 }

func sum(of [slices]int) int {
	total := 0
	for _, n := range of {
		total += n
	}
	return total
}
