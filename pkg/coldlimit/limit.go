// Package coldlimit limits the requests that all instances together send to an upstream that has just
// started, without communication between them.
//
// A cold upstream crashes if it receives more than a certain number of requests in any second, whichever
// instances send them and whether or not these instances can reach each other. Therefore only a few
// instances send to it: those ranked first by rendezvous hashing over all instances seen recently,
// including ones that are silent now. Each of them sends at most a fixed number of requests per second.
// Instances that know the same names agree on the senders. A side of a partition that knows fewer names
// has its own senders, which is why the bound is divided by the number of sides that a partition may have.
package coldlimit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of how the bound is divided among the instances.
const (
	// maxSides is the maximum number of sides of a partition that know nothing of each other.
	maxSides = 3
	// window is the time over which requests are counted. It is slightly longer than the second to
	// which the bound applies, because requests may arrive closer together than they were sent.
	window = 1100 * time.Millisecond
	// nameLifetime is how long an instance that is no longer live keeps its rank.
	nameLifetime = 10 * time.Minute
	// maxNames limits the names that are kept. Above it, names of instances that are no longer live
	// are removed.
	maxNames = 4096
	// maxCachedRanks limits the upstreams for which the rank is cached.
	maxCachedRanks = 1024
	// nameRefreshInterval is the minimum time between two reads of the names of live instances.
	nameRefreshInterval = 100 * time.Millisecond
)

// Bound is the number of requests that a cold upstream can take.
type Bound struct {
	// PerSecond is the rate that the upstream states; 0 for no bound.
	PerSecond float64
	// Overage and Slack complete the bound: up to PerSecond*Overage + Slack requests may arrive in
	// any second.
	Overage, Slack float64
}

// MaxRequests returns how many requests may arrive in any second; 0 for no bound.
func (b Bound) MaxRequests() int {
	if b.PerSecond <= 0 {
		return 0
	}
	return max(int(math.Floor(b.PerSecond*b.Overage+b.Slack)), 1)
}

// Limit enforces one instance's share of the bounds. It is safe for concurrent use.
type Limit struct {
	self      string
	liveNames func() []string
	now       func() time.Time

	// startedAt is when the limit was created. Until window has passed since then, nothing is
	// allowed, because the requests that a previous process of this instance sent are not known.
	startedAt time.Time

	mu sync.Mutex
	// lastSeen holds when each name was last among the live instances; refreshedAt is when the live
	// instances were last read.
	lastSeen    map[string]time.Time
	refreshedAt time.Time
	// sent holds the times of the requests sent within the window, by upstream.
	sent map[string][]time.Time
	// ranks caches this instance's rank among the names in lastSeen, by upstream.
	ranks map[string]int
}

// New returns the limit of the instance named self. liveNames returns the names of all live instances,
// including self.
func New(self string, liveNames func() []string, now func() time.Time) *Limit {
	return &Limit{
		self:      self,
		liveNames: liveNames,
		now:       now,
		startedAt: now(),
		lastSeen:  map[string]time.Time{},
		sent:      map[string][]time.Time{},
		ranks:     map[string]int{},
	}
}

// Observe records which instances are live. It must be called regularly, so that this instance still
// knows the names of the others after a partition separates it from them.
func (l *Limit) Observe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshNames()
}

// Allows reports whether this instance may send one more request to a cold upstream now.
func (l *Limit) Allows(upstream string, bound Bound) bool {
	limit := bound.MaxRequests()
	if limit == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshNames()
	if l.now().Sub(l.startedAt) < window {
		return false
	}
	return len(l.recentlySent(upstream)) < l.share(upstream, limit)
}

// Sent counts a request that is sent after Allows returned true, and returns when it was counted.
func (l *Limit) Sent(upstream string) (at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at = l.now()
	l.sent[upstream] = append(l.recentlySent(upstream), at)
	return at
}

// NotSent takes back a request that was counted at a time and of which nothing was sent.
func (l *Limit) NotSent(upstream string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := l.recentlySent(upstream)
	if n := slices.Index(sent, at); n >= 0 {
		l.sent[upstream] = slices.Delete(sent, n, n+1)
	}
}

// recentlySent returns the times of the requests sent to an upstream within the window. l.mu must be held.
func (l *Limit) recentlySent(upstream string) []time.Time {
	now := l.now()
	sent := slices.DeleteFunc(l.sent[upstream], func(at time.Time) bool { return now.Sub(at) >= window })
	if len(sent) == 0 {
		delete(l.sent, upstream)
		return nil
	}
	l.sent[upstream] = sent
	return sent
}

// share returns how many requests this instance may send to an upstream in a window. l.mu must be held.
func (l *Limit) share(upstream string, limit int) int {
	total := max(limit/maxSides, 1)
	senders := min(total, len(l.lastSeen))
	if l.rank(upstream) >= senders {
		return 0
	}
	return total / senders
}

// rank returns this instance's position in the ranking of all known instances for an upstream, starting
// at 0. l.mu must be held.
func (l *Limit) rank(upstream string) int {
	if rank, known := l.ranks[upstream]; known {
		return rank
	}
	own := score(l.self, upstream)
	rank := 0
	for name := range l.lastSeen {
		if cmp.Or(cmp.Compare(score(name, upstream), own), cmp.Compare(name, l.self)) > 0 {
			rank++
		}
	}
	if len(l.ranks) >= maxCachedRanks {
		clear(l.ranks)
	}
	l.ranks[upstream] = rank
	return rank
}

func score(name, upstream string) uint64 { return xxhash.Sum64String(name + "\x00" + upstream) }

// refreshNames records which instances are live, at most once per nameRefreshInterval, and removes
// expired names. l.mu must be held.
func (l *Limit) refreshNames() {
	now := l.now()
	if !l.refreshedAt.IsZero() && now.Sub(l.refreshedAt) < nameRefreshInterval {
		return
	}
	l.refreshedAt = now
	before := len(l.lastSeen)
	l.lastSeen[l.self] = now
	for _, name := range l.liveNames() {
		l.lastSeen[name] = now
	}
	changed := len(l.lastSeen) != before
	for name, at := range l.lastSeen {
		if now.Sub(at) > nameLifetime || (len(l.lastSeen) > maxNames && at.Before(now)) {
			delete(l.lastSeen, name)
			changed = true
		}
	}
	if changed {
		clear(l.ranks)
	}
}
