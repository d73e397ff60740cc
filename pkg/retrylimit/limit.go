// Package retrylimit limits the retries that a service receives from all instances together, without
// communication between them: each instance may retry a fraction of its own requests, plus its share of
// a common extra.
package retrylimit

import (
	"sync"
	"time"
)

// Settings holds the bounds for a service.
type Settings struct {
	// Ratio is the number of retries allowed per first attempt.
	Ratio float64
	// Extra is the number of additional retries allowed in one window, over all instances.
	Extra float64
	// Window is the length of the time span over which the bound holds.
	Window time.Duration
}

// Parameters of the share of one instance. Instances count at slightly different moments, and start and
// stop within a window, so part of the bound is left unused.
const (
	// usedRatioFraction is the fraction of Settings.Ratio that is used.
	usedRatioFraction = 0.8
	// usedExtraFraction is the fraction of Settings.Extra that all instances together use.
	usedExtraFraction = 0.7
	// minInstances is the minimum number of instances by which the extra is divided. An instance
	// that does not know the others yet must not use all of it.
	minInstances = 12
	// numSlots is the number of slots into which a window is divided for counting.
	numSlots = 20
)

// Parameters of the share of one client account. Without it, an account whose requests all fail would
// use up the retries of the others, whose requests fail occasionally.
const (
	// accountShareFactor times an account's share of the requests is its share of the retries.
	accountShareFactor = 2
	// minAccountShare is the minimum share of the retries that an account may use, however few
	// requests it sends.
	minAccountShare = 0.1
)

// Limit enforces the bound for one service at one instance. It is safe for concurrent use.
type Limit struct {
	settings  Settings
	instances func() int
	now       func() time.Time

	mu sync.Mutex
	// start is when slot 0 began; currentSlot is the number of the slot that counts requests now.
	start       time.Time
	currentSlot int64
	total       slotCounts
	accounts    map[string]*slotCounts
}

// slotCounts holds the numbers of first attempts and retries by slot of the window.
type slotCounts struct{ first, retries [numSlots]int }

// New returns a limit. The function instances returns the number of known instances.
func New(settings Settings, instances func() int, now func() time.Time) *Limit {
	return &Limit{settings: settings, instances: instances, now: now, start: now(), accounts: map[string]*slotCounts{}}
}

// CountFirst counts the first attempt of an account's request. The account is empty if the request needs
// none.
func (l *Limit) CountFirst(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	l.total.first[l.currentSlot%numSlots]++
	l.accountCounts(account).first[l.currentSlot%numSlots]++
}

// Retry is a retry that was allowed and counted.
type Retry struct {
	account string
	slot    int64
}

// TryRetry reports whether a request of an account may be retried, and counts the retry if so. An
// account's first retry in a window is bounded by the retries of the whole service only.
func (l *Limit) TryRetry(account string) bool {
	_, allowed := l.Reserve(account)
	return allowed
}

// Reserve is TryRetry for a retry that may not be sent after all; Release then takes it back.
func (l *Limit) Reserve(account string) (retry Retry, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	if !l.allows(account) {
		return Retry{}, false
	}
	l.total.retries[l.currentSlot%numSlots]++
	l.accountCounts(account).retries[l.currentSlot%numSlots]++
	return Retry{account: account, slot: l.currentSlot}, true
}

// Release takes back a retry that was not sent.
func (l *Limit) Release(retry Retry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	if l.currentSlot-retry.slot >= numSlots {
		return // its slot counts a later part of the time by now
	}
	l.total.retries[retry.slot%numSlots]--
	l.accountCounts(retry.account).retries[retry.slot%numSlots]--
}

// allows reports whether one more retry of an account stays within the bounds. l.mu must be held.
func (l *Limit) allows(account string) bool {
	share := l.settings.Extra * usedExtraFraction / float64(max(l.instances(), minInstances))
	first := sum(l.total.first)
	allowed := l.settings.Ratio*usedRatioFraction*float64(first) + share
	if float64(sum(l.total.retries)+1) > allowed {
		return false
	}
	own := l.accountCounts(account)
	accountShare := max(accountShareFactor*float64(sum(own.first))/float64(max(first, 1)), minAccountShare)
	used := sum(own.retries)
	return used == 0 || float64(used+1) <= allowed*accountShare
}

// accountCounts returns the counts of an account. l.mu must be held.
func (l *Limit) accountCounts(account string) *slotCounts {
	own := l.accounts[account]
	if own == nil {
		own = &slotCounts{}
		l.accounts[account] = own
	}
	return own
}

// advance moves to the current slot. It clears the slots whose counts are older than the window, and
// removes accounts without requests in the window.
// l.mu must be held.
func (l *Limit) advance() {
	slot := int64(l.now().Sub(l.start) / (l.settings.Window / numSlots))
	if l.currentSlot >= slot {
		return
	}
	for ; l.currentSlot < slot; l.currentSlot++ {
		next := (l.currentSlot + 1) % numSlots
		l.total.clear(next)
		for _, own := range l.accounts {
			own.clear(next)
		}
		if slot-l.currentSlot > numSlots {
			l.currentSlot = slot - numSlots
		}
	}
	for account, own := range l.accounts {
		if *own == (slotCounts{}) {
			delete(l.accounts, account)
		}
	}
}

func (c *slotCounts) clear(slot int64) { c.first[slot], c.retries[slot] = 0, 0 }

func sum(counts [numSlots]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
