package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// Failure domains that operators empty, and whose upstreams come back cold.
const (
	// emptiedIn is in one of how many runs there are such domains, mostEmptied how many then.
	emptiedIn, mostEmptied = 3, 2
	// leastEmptied and longestEmptied are how long a domain is emptied.
	leastEmptied, longestEmptied = 3 * time.Second, 6 * time.Second
	// coldFor is for how long its upstreams are cold then, coldPerSecond what each bears.
	coldFor       = 2 * time.Second
	coldPerSecond = 12
)

// emptying is one time in which a domain gets nothing.
type emptying struct {
	at, lasts time.Duration
	domain    string
}

// newEmptyings draws them from numbers of their own: the other faults of a seed stay what they are.
func newEmptyings(seed uint64, length time.Duration) []emptying {
	rng := rand.New(rand.NewPCG(seed, 3))
	if rng.IntN(emptiedIn) != 0 {
		return nil
	}
	var all []emptying
	for range 1 + rng.IntN(mostEmptied) {
		all = append(all, emptying{
			at:     upTo(rng, length),
			lasts:  leastEmptied + upTo(rng, longestEmptied-leastEmptied),
			domain: domainOf(rng.IntN(domains)),
		})
	}
	return all
}

// empty empties a domain, checks that nothing reaches it once all must know, and gives it back cold.
func (r *run) empty(ctx context.Context, e emptying) {
	if !pause.For(ctx, e.at) {
		return
	}
	r.say("empty %s for %v", e.domain, e.lasts)
	told := time.Now()
	r.countEmptied(e.domain, 1)
	r.fleet.store.Empty(e.domain)
	pause.For(ctx, drainTime)
	upstreams := r.fleet.upstreamsOf(e.domain)
	before := runsAt(upstreams)
	pause.For(ctx, e.lasts)
	if late := runsAt(upstreams) - before; late > 0 && !r.troubled(told.Add(-settleTime), time.Now()) {
		r.violate("%d requests reached %s after it was emptied", late, e.domain)
	}
	if r.countEmptied(e.domain, -1) > 0 {
		return // it is emptied for another time as well, whose end gives it back
	}
	for _, u := range r.fleet.upstreamsOf(e.domain) {
		u.SetCold(coldPerSecond, coldFor)
		r.fleet.announce(u)
	}
	r.fleet.store.Restore(e.domain)
	pause.For(ctx, coldFor)
	for _, u := range r.fleet.upstreamsOf(e.domain) {
		r.fleet.announce(u)
	}
}

// countEmptied changes for how many times a domain is emptied at present, and returns that.
func (r *run) countEmptied(domain string, by int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.emptied[domain] += by
	return r.emptied[domain]
}

func runsAt(upstreams []*upstream) int {
	runs := 0
	for _, u := range upstreams {
		runs += len(u.Runs())
	}
	return runs
}

// checkCold checks that no cold upstream got more than it bears.
func (r *run) checkCold() {
	for _, u := range r.fleet.everyUpstream() {
		if overruns := u.ColdOverruns(); overruns > 0 {
			r.violate("%s got %d requests more than it bears while cold", u.ID, overruns)
		}
	}
}

// upstreamsOf returns the upstreams of a domain that are in service.
func (f *fleet) upstreamsOf(domain string) []*upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var in []*upstream
	for _, u := range f.upstreams {
		if u.domain == domain {
			in = append(in, u)
		}
	}
	return in
}

// everyUpstream returns all that ever were.
func (f *fleet) everyUpstream() []*upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*upstream{}, f.all...)
}

// announce writes an upstream's entry again, unless it leaves.
func (f *fleet) announce(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.upstreams {
		if other == u && !f.leaving[u] {
			f.store.Announce(u.Upstream, u.service, u.domain, u.relayAddress, false)
		}
	}
}
