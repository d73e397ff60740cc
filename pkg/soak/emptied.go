package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// Parameters of the failure domains that operators empty, and whose upstreams are cold when the
// domain is restored.
const (
	// One of emptyingDivisor runs empties domains, at most maxEmptyings times.
	emptyingDivisor, maxEmptyings = 3, 2
	// minEmptyDuration and maxEmptyDuration bound how long a domain is emptied.
	minEmptyDuration, maxEmptyDuration = 3 * time.Second, 6 * time.Second
	// coldDuration is how long the upstreams of a restored domain are cold, coldPerSecond how many
	// requests each of them survives in any second meanwhile.
	coldDuration  = 2 * time.Second
	coldPerSecond = 12
)

// emptying is one period in which a domain gets no requests.
type emptying struct {
	start, duration time.Duration
	domain          string
}

// newEmptyings draws the emptyings of a run from a random sequence of their own, so that the other
// faults of a seed stay the same.
func newEmptyings(seed uint64, length time.Duration) []emptying {
	rng := rand.New(rand.NewPCG(seed, 3))
	if rng.IntN(emptyingDivisor) != 0 {
		return nil
	}
	var all []emptying
	for range 1 + rng.IntN(maxEmptyings) {
		all = append(all, emptying{
			start:    randDuration(rng, length),
			duration: minEmptyDuration + randDuration(rng, maxEmptyDuration-minEmptyDuration),
			domain:   domainOf(rng.IntN(numDomains)),
		})
	}
	return all
}

// emptyDomain empties a domain, checks that no request reaches it once every instance must have applied
// the change, and restores it with cold upstreams.
func (r *runner) emptyDomain(ctx context.Context, e emptying) {
	if !pause.For(ctx, e.start) {
		return
	}
	r.logf("empty %s for %v", e.domain, e.duration)
	announced := time.Now()
	r.addActiveEmptyings(e.domain, 1)
	r.fleet.store.Empty(e.domain)
	pause.For(ctx, drainDuration)
	upstreams := r.fleet.upstreamsIn(e.domain)
	before := numRunsAt(upstreams)
	pause.For(ctx, e.duration)
	if late := numRunsAt(upstreams) - before; late > 0 && !r.failureBetween(announced.Add(-faultEffectDuration), time.Now()) {
		r.reportViolation("%d requests reached %s after it was emptied", late, e.domain)
	}
	if r.addActiveEmptyings(e.domain, -1) > 0 {
		return // another emptying of the domain is active, whose end restores it
	}
	for _, u := range r.fleet.upstreamsIn(e.domain) {
		u.SetCold(coldPerSecond, coldDuration)
		r.fleet.announce(u)
	}
	r.fleet.store.Restore(e.domain)
	pause.For(ctx, coldDuration)
	for _, u := range r.fleet.upstreamsIn(e.domain) {
		r.fleet.announce(u)
	}
}

// addActiveEmptyings changes the number of active emptyings of a domain and returns the new number.
func (r *runner) addActiveEmptyings(domain string, by int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeEmptyings[domain] += by
	return r.activeEmptyings[domain]
}

// numRunsAt returns the total number of runs at the given upstreams.
func numRunsAt(upstreams []*upstream) int {
	runs := 0
	for _, u := range upstreams {
		runs += len(u.Runs())
	}
	return runs
}

// checkCold checks that no cold upstream got more requests than it survives.
func (r *runner) checkCold() {
	for _, u := range r.fleet.allUpstreams() {
		if overruns := u.ColdOverruns(); overruns > 0 {
			r.reportViolation("upstream %s got %d requests more than it takes while cold", u.ID, overruns)
		}
	}
}

// upstreamsIn returns the upstreams in service of a domain.
func (f *fleet) upstreamsIn(domain string) []*upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var inDomain []*upstream
	for _, u := range f.upstreams {
		if u.domain == domain {
			inDomain = append(inDomain, u)
		}
	}
	return inDomain
}

// allUpstreams returns every upstream that the run has started, also those that are gone.
func (f *fleet) allUpstreams() []*upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*upstream{}, f.all...)
}

// announce writes an upstream's entry again, unless the upstream is leaving or out of service.
func (f *fleet) announce(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.upstreams {
		if other == u && !f.leaving[u] {
			f.store.Announce(u.Upstream, u.service, u.domain, u.relayAddress, false)
		}
	}
}
