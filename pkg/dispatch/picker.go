// Package dispatch chooses an upstream for a request, and queues or refuses
// requests that cannot start yet.
//
// The choice considers a few candidates only, so that its cost does not grow with
// the pool: all upstreams of a small pool, eight random ones of a large pool, and the
// one that the prompt's prefix hashes to. It takes the candidate with the least
// expected work, but prefers the prefix's upstream while its load exceeds that
// candidate's by no more than a bound.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/document"
)

// Parameters of the choice.
const (
	// maxFullScan is the size of the largest pool of which every upstream is a candidate.
	maxFullScan = 32
	// sampleSize is the number of random candidates in a larger pool.
	sampleSize = 8
	// otherDomainCost is the cost of an upstream in another failure domain, in
	// requests.
	otherDomainCost = 0.5
	// maxAffinityExcess bounds the affinity to the prefix's upstream: it is chosen while
	// its cost exceeds that of the best candidate by no more than this, in requests.
	maxAffinityExcess = 6.0
	// loadHalfLife is the age at which a reported load has half its weight.
	loadHalfLife = 10 * time.Second
	// minRelativeServiceTime and maxRelativeServiceTime bound the ratio of an
	// upstream's service time to the mean of the pool.
	minRelativeServiceTime = 0.5
	maxRelativeServiceTime = 8.0
	// avoidAfterFailures is the number of consecutive failures after which an
	// upstream is avoided.
	avoidAfterFailures = 3
	// avoidInterval is how long an upstream is avoided before a request is sent to it
	// again.
	avoidInterval = 2 * time.Second
	// serviceTimeSmoothing is the weight of the newest request in the exponential
	// average of service times.
	serviceTimeSmoothing = 0.1
)

// upstreamState is this instance's state for one upstream.
type upstreamState struct {
	upstream            document.Upstream
	inFlight            int
	sentSinceReport     int // requests of this instance since the load was reported
	reportedLoad        float64
	reportedAt          time.Time
	serviceTime         time.Duration // exponential average; 0 before the first request
	consecutiveFailures int
	avoidUntil          time.Time
}

// cost returns the expected work at the upstream, including a new request. The unit is
// a request of the pool's mean service time: at an upstream that takes four times as
// long, each request counts four times, since it delays a new one four times as much.
func (p *Pool) cost(u *upstreamState, now time.Time) float64 {
	work := float64(u.inFlight)
	if u.reportedLoad > 0 {
		age := now.Sub(u.reportedAt)
		weight := float64(loadHalfLife) / float64(loadHalfLife+age)
		work = max(work, u.reportedLoad*weight+float64(u.sentSinceReport))
	}
	cost := (work + 1) * p.relativeServiceTime(u)
	if u.upstream.Domain != p.domain {
		cost += otherDomainCost
	}
	return cost
}

func (p *Pool) relativeServiceTime(u *upstreamState) float64 {
	if u.serviceTime == 0 || p.serviceTime == 0 {
		return 1
	}
	return min(max(float64(u.serviceTime)/float64(p.serviceTime), minRelativeServiceTime), maxRelativeServiceTime)
}

func (u *upstreamState) avoided(now time.Time) bool {
	return u.consecutiveFailures >= avoidAfterFailures && now.Before(u.avoidUntil)
}

// Pool chooses among the upstreams of one pool. It is safe for concurrent use.
type Pool struct {
	domain string
	now    func() time.Time

	mu            sync.Mutex
	rng           *rand.Rand
	maxConcurrent int
	available     []*upstreamState
	byName        map[string]*upstreamState
	// declared holds the upstreams of the document in force, emptied the failure domains whose
	// upstreams get no new requests.
	declared    []document.Upstream
	emptied     map[string]bool
	waitLists   [2]waitList // urgent requests, then the others
	serviceTime time.Duration
	inFlight    int
}

// NewPool returns a pool without upstreams for an instance in the failure domain.
func NewPool(domain string, now func() time.Time) *Pool {
	return &Pool{
		domain: domain,
		now:    now,
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		byName: map[string]*upstreamState{},
	}
}

// Update applies the pool's configuration from the document. Upstreams that leave or are
// no longer listed get no new requests; requests running there finish.
func (p *Pool) Update(pool *document.Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConcurrent = pool.MaxConcurrent
	p.declared = pool.Upstreams
	p.refresh()
}

// SetEmptiedDomains replaces the set of emptied failure domains, whose upstreams get no new requests.
func (p *Pool) SetEmptiedDomains(domains []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.emptied = map[string]bool{}
	for _, domain := range domains {
		p.emptied[domain] = true
	}
	p.refresh()
}

// refresh recomputes which upstreams may be chosen. The caller holds p.mu.
func (p *Pool) refresh() {
	p.available = make([]*upstreamState, 0, len(p.declared))
	for _, upstream := range p.declared {
		if upstream.State == document.StateLeaving || p.emptied[upstream.Domain] {
			continue
		}
		state := p.byName[upstream.Name]
		if state == nil {
			state = &upstreamState{}
			p.byName[upstream.Name] = state
		}
		state.upstream = upstream
		p.available = append(p.available, state)
	}
	p.deleteRemoved()
	if len(p.available) == 0 {
		p.refuseWaiters()
	}
	p.grantLeases()
}

func (p *Pool) deleteRemoved() {
	present := map[string]bool{}
	for _, state := range p.available {
		present[state.upstream.Name] = true
	}
	for name, state := range p.byName {
		if !present[name] && state.inFlight == 0 {
			delete(p.byName, name)
		}
	}
}

// pick returns the chosen upstream, or nil if none can take a request now. Upstreams
// named in tried are excluded. The caller holds p.mu.
func (p *Pool) pick(prefix uint64, tried []string) *upstreamState {
	now := p.now()
	var best *upstreamState
	var bestCost float64
	consider := func(u *upstreamState) {
		if !p.eligible(u, tried, now) {
			return
		}
		if cost := p.cost(u, now); best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if len(p.available) > maxFullScan {
		for range sampleSize {
			consider(p.available[p.rng.IntN(len(p.available))])
		}
	}
	if best == nil && len(p.available) > 0 {
		p.considerAll(consider)
	}
	return p.preferPrefixUpstream(prefix, best, bestCost, tried, now)
}

// considerAll considers every upstream, starting at a random one so that equal upstreams
// share the load. It is used for small pools, and if no sampled upstream can take the
// request.
func (p *Pool) considerAll(consider func(*upstreamState)) {
	start := p.rng.IntN(len(p.available))
	for i := range p.available {
		consider(p.available[(start+i)%len(p.available)])
	}
}

func (p *Pool) preferPrefixUpstream(
	prefix uint64, best *upstreamState, bestCost float64, tried []string, now time.Time,
) *upstreamState {
	if prefix == 0 || best == nil {
		return best
	}
	preferred := p.available[jumpHash(prefix, len(p.available))]
	if p.eligible(preferred, tried, now) && p.cost(preferred, now) <= bestCost+maxAffinityExcess {
		return preferred
	}
	return best
}

// jumpHash is the jump consistent hash of Lamping and Veach (2014).
func jumpHash(key uint64, buckets int) int {
	const multiplier = 2862933555777941757
	bucket, next := int64(-1), int64(0)
	for next < int64(buckets) {
		bucket = next
		key = key*multiplier + 1
		next = int64(float64(bucket+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(bucket)
}

func (p *Pool) eligible(u *upstreamState, tried []string, now time.Time) bool {
	if u.inFlight >= p.maxConcurrent || u.avoided(now) {
		return false
	}
	for _, name := range tried {
		if u.upstream.Name == name {
			return false
		}
	}
	return true
}

// Lease is a request's hold on an upstream until Done.
type Lease struct {
	// Upstream is the chosen upstream.
	Upstream document.Upstream

	pool    *Pool
	state   *upstreamState
	started time.Time
}

func (p *Pool) newLease(u *upstreamState) *Lease {
	u.inFlight++
	u.sentSinceReport++
	p.inFlight++
	return &Lease{Upstream: u.upstream, pool: p, state: u, started: p.now()}
}

// InService reports whether the request may still be sent to the upstream. Since the choice, the upstream may
// have been declared leaving, or its failure domain may have been emptied.
func (l *Lease) InService() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return slices.Contains(l.pool.available, l.state)
}

// Result is the outcome of a request at an upstream.
type Result struct {
	// Failed counts as a failure of the upstream: it was unreachable, stopped
	// responding or closed the connection early.
	Failed bool
	// Canceled means that the request was given up, which tells nothing about the upstream.
	Canceled bool
	// Load is the load that the upstream reported with its answer; negative if it
	// reported none.
	Load float64
}

// Done releases the lease and reports whether the upstream is avoided from this
// failure on.
func (l *Lease) Done(r Result) (avoiding bool) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	u := l.state
	u.inFlight--
	p.inFlight--
	p.recordLoad(u, r.Load)
	switch {
	case r.Canceled:
	case r.Failed:
		u.consecutiveFailures++
		u.avoidUntil = p.now().Add(avoidInterval)
		avoiding = u.consecutiveFailures == avoidAfterFailures
		if u.avoided(p.now()) {
			time.AfterFunc(avoidInterval, p.grantLeasesNow) // no request that ends may be left
		}
	default:
		u.consecutiveFailures = 0
		serviceTime := p.now().Sub(l.started)
		p.serviceTime = smoothed(p.serviceTime, serviceTime)
		u.serviceTime = smoothed(u.serviceTime, serviceTime)
	}
	p.grantLeases()
	return avoiding
}

func smoothed(value, newest time.Duration) time.Duration {
	if value == 0 {
		return newest
	}
	return value + time.Duration(serviceTimeSmoothing*float64(newest-value))
}

// Upstreams returns the upstreams that may be chosen.
func (p *Pool) Upstreams() []document.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]document.Upstream, 0, len(p.available))
	for _, u := range p.available {
		out = append(out, u.upstream)
	}
	return out
}

// ReportLoad records the load that an upstream reported; a negative one is ignored.
func (p *Pool) ReportLoad(upstream string, load float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.byName[upstream]; u != nil {
		p.recordLoad(u, load)
	}
}

func (p *Pool) recordLoad(u *upstreamState, load float64) {
	if load >= 0 {
		u.reportedLoad, u.reportedAt, u.sentSinceReport = load, p.now(), 0
	}
}

// ReportLoad records the load that the upstream reported in the header of its answer; a
// negative one is ignored.
func (l *Lease) ReportLoad(load float64) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.pool.recordLoad(l.state, load)
}

// InFlight returns the number of this instance's requests at the pool's upstreams.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}
