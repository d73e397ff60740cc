package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// Requests that crash the upstreams that run them.
const (
	// fatalIn is in one of how many runs there are such requests, mostFatal how many then.
	fatalIn, mostFatal = 3, 3
	// fatalMark is in their bodies.
	fatalMark = "ends what runs it"
	// leastFatalPause and longestFatalPause are between two sendings of one of them.
	leastFatalPause, longestFatalPause = 50 * time.Millisecond, 400 * time.Millisecond
	// crashedFor is how long a crashed upstream is away.
	crashedFor = 700 * time.Millisecond
	// fatalKnownAfter is how many crashes make a request known, lateCrashes how many more may
	// come later than settleTime after them.
	fatalKnownAfter, lateCrashes = 3, 3
	// crashNoted is how long after a crash it may be noted: its clients may see it before.
	crashNoted = 100 * time.Millisecond
)

// fatalRequest is sent again and again with the same body.
type fatalRequest struct {
	body, route string
	every       time.Duration

	mu      sync.Mutex
	crashes []time.Time
}

// newFatalRequests draws them from numbers of their own: the other faults of a seed stay what
// they are.
func newFatalRequests(seed uint64) []*fatalRequest {
	rng := rand.New(rand.NewPCG(seed, 2))
	if rng.IntN(fatalIn) != 0 {
		return nil
	}
	var fatal []*fatalRequest
	for n := range 1 + rng.IntN(mostFatal) {
		fatal = append(fatal, &fatalRequest{
			body:  fmt.Sprintf("%s, %d", fatalMark, n),
			route: routes[rng.IntN(len(routes))].Name,
			every: leastFatalPause + upTo(rng, longestFatalPause-leastFatalPause),
		})
	}
	return fatal
}

// keepSending sends the request at any instance until ctx ends.
func (r *run) keepSending(ctx context.Context, n int, f *fatalRequest) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(1000+n)))
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	for k := 0; pause.For(ctx, f.every); k++ {
		s := &sending{
			id: fmt.Sprintf("f%d-%d", n, k), key: richKey, route: f.route, content: f.body,
			instance: r.fleet.instances[rng.IntN(len(r.fleet.instances))],
		}
		s.send(transport, rng)
		r.note(s)
	}
}

// crashed notes the crash and starts the upstream again.
func (r *run) crashed(u *upstream, ran standin.Run) {
	for _, f := range r.fatal {
		if f.body == ran.Body {
			f.mu.Lock()
			f.crashes = append(f.crashes, time.Now())
			f.mu.Unlock()
		}
	}
	r.fleet.closeRelay(u)
	time.Sleep(crashedFor)
	if err := r.fleet.startAgain(u); err != nil {
		r.violate("an upstream did not start again: %v", err)
	}
}

// crashedBetween reports whether an upstream crashed in a time: what ran there is cut off, whatever
// its instance does.
func (r *run) crashedBetween(from, to time.Time) bool {
	for _, f := range r.fatal {
		f.mu.Lock()
		struck := slices.ContainsFunc(f.crashes, func(at time.Time) bool { return at.After(from) && at.Before(to.Add(crashNoted)) })
		f.mu.Unlock()
		if struck {
			return true
		}
	}
	return false
}

// closeRelay has an upstream's address refuse connections. One that has just started again is
// waited for: its first request may end it.
func (f *fleet) closeRelay(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.relay.Close()
}

// startAgain starts the next incarnation of an upstream under its id, unless the run has ended.
func (f *fleet) startAgain(u *upstream) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	next := &upstream{service: u.service, domain: u.domain, relayAddress: u.relayAddress}
	if err := f.startUpstream(next, u.ID, u.Address); err != nil {
		return err
	}
	next.Born = time.Now().UnixMilli()
	f.all = append(f.all, next)
	for k, other := range f.upstreams {
		if other == u {
			f.upstreams[k] = next
			f.store.Announce(next.Upstream, next.service, next.domain, next.relayAddress, false)
		}
	}
	return nil
}

// checkFatal checks how many upstreams each fatal request ended once it must have been known.
func (r *run) checkFatal() {
	for _, f := range r.fatal {
		f.mu.Lock()
		crashes := append([]time.Time{}, f.crashes...)
		f.mu.Unlock()
		r.crashes += len(crashes)
		late := 0
		for n, at := range crashes {
			known := n >= fatalKnownAfter && at.Sub(crashes[fatalKnownAfter-1]) > settleTime
			if known && !r.troubled(at.Add(-settleTime), at) {
				late++
			}
		}
		if late > lateCrashes {
			r.violate("%s: %q ended %d upstreams, %d of them late", f.route, f.body, len(crashes), late)
		}
	}
}
