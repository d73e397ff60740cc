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

// Parameters of requests that crash the upstreams that run them.
const (
	// One of crashingDivisor runs has crashing requests, at most maxCrashingRequests.
	crashingDivisor, maxCrashingRequests = 3, 3
	// crashMarker is contained in the body of every crashing request.
	crashMarker = "ends what runs it"
	// minCrashingInterval and maxCrashingInterval bound the pause between two sends of one
	// crashing request.
	minCrashingInterval, maxCrashingInterval = 50 * time.Millisecond, 400 * time.Millisecond
	// upstreamDowntime is how long a crashed upstream is down.
	upstreamDowntime = 700 * time.Millisecond
	// numCondemningCrashes is the number of crashes after which a request is condemned, and
	// maxLateCrashes how many further crashes it may cause later than faultEffectDuration after
	// the last of these.
	numCondemningCrashes, maxLateCrashes = 3, 3
	// crashRecordDelay is how long after a crash it may be recorded: clients may notice it before.
	crashRecordDelay = 100 * time.Millisecond
)

// crashingRequest is sent repeatedly with the same body, and crashes the upstreams that run it.
type crashingRequest struct {
	body, route string
	interval    time.Duration

	mu      sync.Mutex
	crashes []time.Time
}

// newCrashingRequests draws the crashing requests of a run from a random sequence of their own, so that
// the other faults of a seed stay the same.
func newCrashingRequests(seed uint64) []*crashingRequest {
	rng := rand.New(rand.NewPCG(seed, 2))
	if rng.IntN(crashingDivisor) != 0 {
		return nil
	}
	var crashing []*crashingRequest
	for n := range 1 + rng.IntN(maxCrashingRequests) {
		crashing = append(crashing, &crashingRequest{
			body:     fmt.Sprintf("%s, %d", crashMarker, n),
			route:    routes[rng.IntN(len(routes))].Name,
			interval: minCrashingInterval + randDuration(rng, maxCrashingInterval-minCrashingInterval),
		})
	}
	return crashing
}

// sendRepeatedly sends the request to randomly picked instances until ctx ends.
func (r *runner) sendRepeatedly(ctx context.Context, n int, f *crashingRequest) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(1000+n)))
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	for k := 0; pause.For(ctx, f.interval); k++ {
		s := &request{
			id: fmt.Sprintf("f%d-%d", n, k), key: richKey, route: f.route, requestBody: f.body,
			instance: r.fleet.instances[rng.IntN(len(r.fleet.instances))],
		}
		s.send(transport, rng)
		r.record(s)
	}
}

// onUpstreamCrash records a crash and restarts the upstream after upstreamDowntime.
func (r *runner) onUpstreamCrash(u *upstream, ran standin.Run) {
	for _, f := range r.crashing {
		if f.body == ran.Body {
			f.mu.Lock()
			f.crashes = append(f.crashes, time.Now())
			f.mu.Unlock()
		}
	}
	r.fleet.closeRelay(u)
	time.Sleep(upstreamDowntime)
	if err := r.fleet.restartUpstream(u); err != nil {
		r.reportViolation("upstream %s did not start again: %v", u.ID, err)
	}
}

// crashBetween reports whether an upstream crashed in a period: the requests that ran there are cut
// off, and their instances cannot prevent that.
func (r *runner) crashBetween(from, to time.Time) bool {
	for _, f := range r.crashing {
		f.mu.Lock()
		crashed := slices.ContainsFunc(f.crashes, func(at time.Time) bool { return at.After(from) && at.Before(to.Add(crashRecordDelay)) })
		f.mu.Unlock()
		if crashed {
			return true
		}
	}
	return false
}

// closeRelay makes an upstream's address refuse connections. By taking the lock it waits for a restart
// of the upstream that is in progress: the first request may crash the upstream before the restart is
// complete.
func (f *fleet) closeRelay(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.relay.Close()
}

// restartUpstream starts the next incarnation of an upstream under its id, unless the run has ended.
func (f *fleet) restartUpstream(u *upstream) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	next := &upstream{service: u.service, domain: u.domain, version: u.version, relayAddress: u.relayAddress}
	if err := f.startUpstream(next, u.ID, u.Address); err != nil {
		return err
	}
	f.all = append(f.all, next)
	for k, other := range f.upstreams {
		if other == u {
			f.upstreams[k] = next
			f.store.Announce(next.Upstream, next.service, next.domain, next.relayAddress, false)
		}
	}
	return nil
}

// checkCrashes checks how many upstreams each crashing request crashed after it must have been
// condemned.
func (r *runner) checkCrashes() {
	for _, f := range r.crashing {
		f.mu.Lock()
		crashes := append([]time.Time{}, f.crashes...)
		f.mu.Unlock()
		r.crashes += len(crashes)
		late := 0
		for n, at := range crashes {
			condemned := n >= numCondemningCrashes && at.Sub(crashes[numCondemningCrashes-1]) > faultEffectDuration
			if condemned && !r.failureBetween(at.Add(-faultEffectDuration), at) {
				late++
			}
		}
		if late > maxLateCrashes {
			r.reportViolation("%s: %q crashed %d upstreams, %d of them after it must have been condemned, allowed are %d", f.route, f.body, len(crashes), late, maxLateCrashes)
		}
	}
}
