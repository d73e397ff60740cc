package placement

import (
	"time"

	"github.com/lavenderring/lavenderring/pkg/coldlimit"
)

// ColdLimit enforces this instance's share of the requests that all instances together
// may send to a cold upstream.
type ColdLimit interface {
	// Allows reports whether one more request may be sent to the upstream now.
	// Sent counts a request as sent and returns when it was counted. NotSent takes back one that was
	// counted at a time.
	Allows(upstream string, bound coldlimit.Bound) bool
	Sent(upstream string) (at time.Time)
	NotSent(upstream string, at time.Time)
}

// ColdPolicy limits the requests to upstreams of a service that have, or may have, just started.
type ColdPolicy struct {
	Limit ColdLimit
	Bound coldlimit.Bound
	// Duration is how long an upstream counts as cold after its start.
	Duration time.Duration
}

// limitsRequests reports whether requests to cold upstreams are limited.
func (c *ColdPolicy) limitsRequests() bool { return c.Limit != nil && c.Bound.MaxRequests() > 0 }

// SetColdPolicy sets the limit on requests to cold upstreams.
func (p *Pool) SetColdPolicy(policy ColdPolicy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldPolicy = policy
}

// isCold reports whether the upstream has, or may have, just started.
func (s *upstreamState) isCold(now time.Time) bool {
	return s.isDeclaredOrReturned(now) || now.Before(s.suspectedColdUntil)
}

// isDeclaredOrReturned reports whether the upstream is cold by its entry, or counts as cold because it was out
// of service.
func (s *upstreamState) isDeclaredOrReturned(now time.Time) bool {
	return now.Before(s.coldUntil) || now.Before(s.assumedColdUntil)
}

// withinColdLimit reports whether the upstream may be sent one more request: it is not cold,
// or the limit on cold upstreams allows it.
func (p *Pool) withinColdLimit(s *upstreamState, now time.Time) bool {
	return !p.coldPolicy.limitsRequests() || !s.isCold(now) || p.coldPolicy.Limit.Allows(s.ID, p.coldPolicy.Bound)
}

// HasLimited reports whether there is an upstream that could be chosen for a request but for the limit on cold
// upstreams.
func (p *Pool) HasLimited(req *Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, s := range p.upstreams {
		if req.allows(s) && !p.withinColdLimit(s, now) {
			return true
		}
	}
	return false
}

// assumeCold treats the upstream as cold because it may have restarted without a change of its
// registry entry.
func (p *Pool) assumeCold(s *upstreamState, now time.Time) {
	s.assumedColdUntil = now.Add(p.coldPolicy.Duration)
}

// assumeReturnedCold treats the upstreams in service as cold that are not in before, the list of those
// previously in service: whatever took them out of service may have restarted them. It does nothing if
// before is empty, since an instance that starts has seen no upstream before: it relies on the upstreams'
// registry entries instead.
func (p *Pool) assumeReturnedCold(before []*upstreamState, now time.Time) {
	if len(before) == 0 {
		return
	}
	wasInService := map[*upstreamState]bool{}
	for _, s := range before {
		wasInService[s] = true
	}
	for _, s := range p.upstreams {
		if !wasInService[s] {
			p.assumeCold(s, now)
		}
	}
}

// ReportUnreachable records that connecting to the upstream failed. The upstream counts as cold from
// now on, since it may have restarted, or turned cold, by the time it can be reached again: until it says
// itself that it is not (StartColdCheck), or could have been cold no longer.
func (l *Lease) ReportUnreachable() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.state.suspectedColdUntil = l.pool.now().Add(l.pool.coldPolicy.Duration)
	l.state.numSuspicions++
}

// ColdCheck asks an upstream that counts as cold, only because a connection failed, whether it is.
type ColdCheck struct {
	lease *Lease
	// suspicion is the upstream's number of suspicions when it was asked.
	suspicion int
}

// StartColdCheck returns a check if the upstream is to be asked whether it is cold, and nil otherwise. It is
// asked once after the last failed connection. The question takes the request's place within the limit on
// cold upstreams, since the upstream may be one.
func (l *Lease) StartColdCheck() *ColdCheck {
	p, s := l.pool, l.state
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	suspected := now.Before(s.suspectedColdUntil) && !s.isDeclaredOrReturned(now)
	if !suspected || !l.countedAsCold || s.lastAsked == s.numSuspicions {
		return nil
	}
	s.lastAsked = s.numSuspicions
	l.countedAsCold = false
	return &ColdCheck{lease: l, suspicion: s.numSuspicions}
}

// Conclude records how much longer the upstream is cold, as it said itself. If a connection has failed since it
// was asked, it may have restarted since.
func (c *ColdCheck) Conclude(remaining time.Duration) {
	p, s := c.lease.pool, c.lease.state
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.numSuspicions == c.suspicion {
		s.suspectedColdUntil = p.now().Add(remaining)
	}
}

// countColdRequest counts a request against the limit on the upstream if the upstream is cold and
// requests to cold upstreams are limited, and reports whether and when it did.
func (p *Pool) countColdRequest(s *upstreamState, now time.Time) (counted bool, at time.Time) {
	if !p.coldPolicy.limitsRequests() || !s.isCold(now) {
		return false, time.Time{}
	}
	return true, p.coldPolicy.Limit.Sent(s.ID)
}

// ReportNotConnected records that no connection was opened for the request, so that nothing of it was sent: it
// takes no place within the limit on cold upstreams.
func (l *Lease) ReportNotConnected() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.countedAsCold {
		l.countedAsCold = false
		p.coldPolicy.Limit.NotSent(l.state.ID, l.countedAt)
	}
}

// withinColdLimit reports whether the request may be sent: it was counted against the limit of a cold
// upstream, or its upstream is not cold.
func (l *Lease) withinColdLimit() bool {
	return l.countedAsCold || !l.pool.coldPolicy.limitsRequests() || !l.state.isCold(l.pool.now())
}
