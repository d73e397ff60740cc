package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderring/lavenderring/pkg/registry"
)

// Costs in the choice of an engine. The unit is the time that an engine takes to
// prefill one prompt token.
const (
	// waitingRequestCost is the cost of a waiting request: about one prompt to prefill.
	waitingRequestCost = 4000
	// runningRequestCost is the cost of a running request, which makes each decoding step of
	// the engine slightly longer.
	runningRequestCost = 120
	// coldCostFactor multiplies the cost of an engine that has just started.
	coldCostFactor = 1.5
	// otherDomainCost is the cost of an engine in another failure domain. Traffic between
	// domains costs money, but less than prefilling a shared part again.
	otherDomainCost = 600
	// cachedPartLifetime is how long a prompt part is assumed to stay in an engine's cache
	// after this instance sent it there.
	cachedPartLifetime = 8 * time.Second
	// homeCachedShare is the share of a session's shared parts that the session's home engine
	// is assumed to have in its cache, because all instances send the session there.
	homeCachedShare = 0.9
)

// Costs in the choice of a plain service's upstream, in waiting requests.
const (
	// plainOtherDomainCost is the cost of an upstream in another failure domain. It is small
	// enough to prefer the instance's own domain only while that has capacity.
	plainOtherDomainCost = 0.3
	// failureRateCost is added to the cost of an upstream at which every request fails. The
	// cost of such an engine is multiplied by 1 + failureRateCost instead.
	failureRateCost = 20
)

// Request describes a request to be placed.
type Request struct {
	// Parts are the parts of the prompt. The last one is specific to the request; other
	// requests may share the rest. Parts is empty for plain services.
	Parts []Part
	// PromptTokens is the length of the whole prompt.
	PromptTokens int64
	// MaxPause is the longest pause between two events that the client allows, TokensPerEvent
	// the number of tokens in an event. They are 0 if unknown.
	MaxPause       time.Duration
	TokensPerEvent int64
	// Tried lists the ids of the incarnations to exclude.
	Tried []string
	// Version is the only software version that may run the request; empty if any may.
	Version string
}

// Part is a part of a prompt.
type Part struct {
	ID     uint64
	Tokens int64
}

// sessionID returns the id of the part by which requests of one conversation are sent to
// the same engine: the last part that other requests share. It is 0 without parts.
func (r *Request) sessionID() uint64 {
	switch n := len(r.Parts); n {
	case 0:
		return 0
	case 1:
		return r.Parts[0].ID
	default:
		return r.Parts[n-2].ID
	}
}

// allows reports whether the request may run at an upstream.
func (r *Request) allows(s *upstreamState) bool {
	return (r.Version == "" || s.Version == r.Version) && !slices.Contains(r.Tried, s.ID)
}

func (r *Request) sharedTokens() int64 {
	var shared int64
	for i := 0; i < len(r.Parts)-1; i++ {
		shared += r.Parts[i].Tokens
	}
	return shared
}

// Pool chooses among the upstreams of one service. It is safe for concurrent use.
type Pool struct {
	domain string
	now    func() time.Time

	mu     sync.Mutex
	rng    *rand.Rand
	engine bool
	// prefill estimates the engines' prefill rate and the share of long prompts.
	prefill    prefillEstimate
	states     map[string]*upstreamState
	upstreams  []*upstreamState
	coldPolicy ColdPolicy
}

// NewPool returns an empty pool for an instance in the failure domain.
func NewPool(domain string, now func() time.Time) *Pool {
	return &Pool{
		domain: domain,
		now:    now,
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		states: map[string]*upstreamState{},
	}
}

// Update replaces the upstreams in service. The flag engine says whether they are model
// engines, which cache prompts.
func (p *Pool) Update(inService []registry.Upstream, engine bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engine = engine
	before := p.upstreams
	p.upstreams = make([]*upstreamState, 0, len(inService))
	present := map[string]bool{}
	for _, u := range inService {
		s := p.states[u.ID]
		if s == nil || s.Born != u.Born || s.Version != u.Version {
			// An upstream that restarted under the same id has an empty cache, no failures
			// and no requests in flight, and may have another version. Leases of the earlier
			// process keep its state.
			s = &upstreamState{partSentAt: map[uint64]time.Time{}, hash: xxhash.Sum64String(u.ID)}
			p.states[u.ID] = s
		}
		if s.ColdDuration != u.ColdDuration || s.coldUntil.IsZero() {
			s.coldUntil = p.now().Add(u.ColdDuration)
		}
		s.Upstream = u
		present[u.ID] = true
		p.upstreams = append(p.upstreams, s)
	}
	for id, s := range p.states {
		if !present[id] && s.inFlight == 0 {
			delete(p.states, id)
		}
	}
	p.assumeReturnedCold(before, p.now())
	p.rankEngines()
}

// Size returns how many upstreams are in service.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.upstreams)
}

// Lease is a request's hold on an upstream until Done.
type Lease struct {
	registry.Upstream
	pool  *Pool
	state *upstreamState
	// Long reports whether the prompt counts as long, that is, slow to prefill.
	Long bool

	// countedAsCold reports whether the request was counted against the limit of a cold
	// upstream, at countedAt.
	countedAsCold bool
	countedAt     time.Time
	pendingTokens int64
	sentAt        time.Time
	// silent says that the request counts as failed while it goes on.
	silent bool
	done   bool
}

// Choose returns a lease on the upstream of the lowest cost, or nil if no upstream may be chosen.
func (p *Pool) Choose(req *Request) *Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	c := p.newChoice(req, now)
	best := c.pick(false)
	if best == nil {
		// All upstreams are avoided: one that may have recovered is better than none.
		best = c.pick(true)
	}
	if best == nil {
		return nil
	}
	if p.engine {
		p.prefill.addPrompt(req.PromptTokens, c.long, c.longThreshold)
	}
	lease := p.newLease(best, req, c.home == best, now)
	lease.Long = c.long
	return lease
}

// choice holds the parameters for the choice of one request's upstream.
type choice struct {
	*Pool
	req *Request
	now time.Time
	// long reports whether the prompt counts as long; numDedicated is the number of engines
	// dedicated to long prompts.
	long         bool
	numDedicated int
	// longThreshold is the size in tokens of the largest prompt that is not long, or 0 while
	// that is unknown.
	longThreshold float64
	home          *upstreamState
}

func (p *Pool) newChoice(req *Request, now time.Time) *choice {
	c := &choice{Pool: p, req: req, now: now}
	if p.engine {
		c.longThreshold = p.longPromptThreshold(req)
		c.long = c.longThreshold > 0 && float64(req.PromptTokens) > c.longThreshold
		c.numDedicated = p.prefill.numDedicated(len(p.upstreams))
		c.home = c.homeEngine()
	}
	return c
}

// outsideGroup reports whether the engine is not in the request's group. The group of a long
// prompt is the engines dedicated to long prompts, that of any other prompt the other engines.
func (c *choice) outsideGroup(s *upstreamState) bool {
	return c.numDedicated > 0 && (s.dedicationRank < c.numDedicated) != c.long
}

func (c *choice) pick(includeAvoided bool) *upstreamState {
	p, req, now := c.Pool, c.req, c.now
	var best *upstreamState
	var bestCost float64
	if len(p.upstreams) == 0 {
		return nil
	}
	start := p.rng.IntN(len(p.upstreams))
	for i := range p.upstreams {
		s := p.upstreams[(start+i)%len(p.upstreams)]
		if !req.allows(s) || (!includeAvoided && s.avoided(now)) || !p.withinColdLimit(s, now) {
			continue
		}
		cost := p.cost(s, req, s == c.home, now)
		if c.outsideGroup(s) {
			cost += outsideGroupCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// homeEngine returns the engine to which all instances send the session's requests, or nil if
// the request has no session or its group no engine. It is chosen by rendezvous hashing over the
// engines of the request's group, so instances agree on it without communication.
func (c *choice) homeEngine() *upstreamState {
	session := c.req.sessionID()
	if session == 0 {
		return nil
	}
	var best *upstreamState
	var bestScore uint64
	for _, s := range c.upstreams {
		if c.outsideGroup(s) {
			continue
		}
		score := fmix64(session ^ s.hash)
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// fmix64 is the finalizer of MurmurHash3.
func fmix64(key uint64) uint64 {
	key ^= key >> 33
	key *= 0xff51afd7ed558ccd
	key ^= key >> 33
	key *= 0xc4ceb9fe1a85ec53
	return key ^ key>>33
}

func (p *Pool) cost(s *upstreamState, req *Request, home bool, now time.Time) float64 {
	if !p.engine {
		cost := s.load(now) + failureRateCost*s.currentFailureRate(now)
		if s.Domain != p.domain {
			cost += plainOtherDomainCost
		}
		return cost
	}
	cost := float64(req.PromptTokens) - p.cachedTokens(s, req, home, now)
	cost += float64(s.pendingTokens)
	cost += runningRequestCost * s.load(now)
	if !s.reportedAt.IsZero() {
		weight := float64(loadHalfLife) / float64(loadHalfLife+now.Sub(s.reportedAt))
		cost += waitingRequestCost * float64(s.waiting) * weight
	}
	if s.Domain != p.domain {
		cost += otherDomainCost
	}
	if now.Before(s.coldUntil) {
		cost *= coldCostFactor
	}
	return cost * (1 + failureRateCost*s.currentFailureRate(now))
}

// cachedTokens estimates how many of the prompt's tokens the engine has in its cache: those of
// the parts before the first one that is not cached.
func (p *Pool) cachedTokens(s *upstreamState, req *Request, home bool, now time.Time) float64 {
	var cached int64
	for i := 0; i < len(req.Parts)-1; i++ {
		sent, found := s.partSentAt[req.Parts[i].ID]
		if !found || now.Sub(sent) > cachedPartLifetime {
			break
		}
		cached += req.Parts[i].Tokens
	}
	if home {
		return max(float64(cached), homeCachedShare*float64(req.sharedTokens()))
	}
	return float64(cached)
}

func (p *Pool) newLease(s *upstreamState, req *Request, home bool, now time.Time) *Lease {
	s.inFlight++
	s.sentSinceReport++
	pendingTokens := int64(0)
	if p.engine {
		pendingTokens = req.PromptTokens - int64(p.cachedTokens(s, req, home, now))
		s.pendingTokens += pendingTokens
		for i := 0; i < len(req.Parts)-1; i++ {
			s.partSentAt[req.Parts[i].ID] = now
		}
		if len(s.partSentAt) > maxCachedParts {
			s.evictStaleParts(now)
		}
	}
	counted, countedAt := p.countColdRequest(s, now)
	return &Lease{
		Upstream: s.Upstream, pool: p, state: s, pendingTokens: pendingTokens, sentAt: now,
		countedAsCold: counted, countedAt: countedAt,
	}
}

// maxCachedParts is the number of parts recorded for one engine above which stale ones are
// evicted.
const maxCachedParts = 4096

func (s *upstreamState) evictStaleParts(now time.Time) {
	for id, sent := range s.partSentAt {
		if now.Sub(sent) > cachedPartLifetime {
			delete(s.partSentAt, id)
		}
	}
}

// InService reports whether the upstream still accepts this request. Since it was chosen, it may have
// announced that it leaves, restarted as another incarnation, or become cold.
func (l *Lease) InService() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return slices.Contains(l.pool.upstreams, l.state) && l.withinColdLimit()
}

// ReportLoad records the load that the upstream reported in the header of its answer.
func (l *Lease) ReportLoad(running, waiting int) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	s := l.state
	s.running, s.waiting, s.reportedAt, s.sentSinceReport = running, waiting, l.pool.now(), 0
}

// ReportFirstEvent records that the first event has arrived, which ends the prefill, and updates the
// estimated prefill rate.
func (l *Lease) ReportFirstEvent() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.pendingTokens > 0 {
		l.pool.prefill.rate.observe(l.pendingTokens, l.pool.now().Sub(l.sentAt))
	}
	l.state.pendingTokens -= l.pendingTokens
	l.pendingTokens = 0
}

// ReportSilent counts the request as failed, because the upstream has been silent for too long. The request
// may go on; only the first call has an effect.
func (l *Lease) ReportSilent() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.silent || l.done {
		return
	}
	l.silent = true
	l.state.recordFailure(p.now())
}

// Result is the outcome of a request at an upstream.
type Result int

// The results.
const (
	// Succeeded counts as a success of the upstream.
	Succeeded Result = iota
	// Failed counts as a failure of the upstream.
	Failed
	// Neutral says nothing about the upstream's health: the client disconnected, or the upstream
	// was full.
	Neutral
)

// Done releases the lease; only the first call has an effect.
func (l *Lease) Done(result Result) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	s := l.state
	s.inFlight--
	s.pendingTokens -= l.pendingTokens
	switch {
	case result == Failed && !l.silent:
		s.recordFailure(p.now())
	case result == Succeeded:
		s.recordSuccess(p.now())
	}
}
