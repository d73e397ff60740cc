package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
)

// Parameters of the drawn histories.
const (
	cutInstances = 4
	cutRounds    = 4
	// cutRequests is the number of requests to each instance in each half of a round.
	cutRequests = 32
	// cutSeeds is the number of histories unless LAVENDERRING_CUT_SEEDS sets another.
	cutSeeds = 2
)

// sentRequest is a request of a history and its answer.
type sentRequest struct {
	id, route string
	answer    response
}

// loadAll sends requests of all kinds to all instances at once and returns them.
func (f *linkedFleet) loadAll(prefix string, count int) [][]sentRequest {
	sent := make([][]sentRequest, len(f.instances))
	var running sync.WaitGroup
	for n, i := range f.instances {
		sent[n] = make([]sentRequest, count)
		for k := range count {
			running.Go(func() {
				id, route := fmt.Sprintf("%s-%d-%d", prefix, n, k), requestKinds[k%len(requestKinds)]
				sent[n][k] = sentRequest{id, route, f.send(i, id, route, "x")}
			})
		}
	}
	running.Wait()
	return sent
}

// checkOnce checks that no request ran twice that may not, and that "not run" is true.
func (f *linkedFleet) checkOnce(sent [][]sentRequest) {
	for _, requests := range sent {
		for _, r := range requests {
			runs := len(f.runsOf(r.id))
			if (r.route == "once" || r.route == "stream") && runs > 1 {
				f.t.Errorf("%s (%s) ran %d times", r.id, r.route, runs)
			}
			if r.answer.status == http.StatusServiceUnavailable && runs > 0 {
				f.t.Errorf("%s (%s) was answered as not run and ran %d times", r.id, r.route, runs)
			}
		}
	}
}

// Guards against instances that serve their callers worse than others because of their links, and against wrong
// outcomes, through random losses and returns of the links of all instances but one, under load.
func TestDrawnLossesOfLinksServeEverywhere(t *testing.T) {
	seeds := cutSeeds
	if text := os.Getenv("LAVENDERRING_CUT_SEEDS"); text != "" {
		var err error
		if seeds, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(seed), 0))
			f := newLinkedFleet(t, cutInstances)
			for round := range cutRounds {
				var changing sync.WaitGroup
				changing.Go(func() { f.checkOnce(f.loadAll(fmt.Sprintf("change-%d", round), cutRequests)) })
				states := drawLinkStates(rng)
				for n, state := range states {
					f.links[n].set(state)
				}
				changing.Wait()
				f.awaitServing(round)
				sent := f.loadAll(fmt.Sprintf("settled-%d", round), cutRequests)
				f.checkOnce(sent)
				f.checkServed(sent, states)
			}
			for n, i := range f.instances {
				if crashes := f.metric(i, "quarantine_crashes"); crashes != "0" {
					t.Errorf("instance %d recorded %s crashes", n, crashes)
				}
			}
		})
	}
}

// drawLinkStates draws a state for each instance's links; those of at least one are up.
func drawLinkStates(rng *rand.Rand) []linkState {
	all := []linkState{linksUp, linksSilent, linksReset, linksRefusing}
	states := make([]linkState, cutInstances)
	for n := range states {
		states[n] = all[rng.IntN(len(all))]
	}
	states[rng.IntN(len(states))] = linksUp
	return states
}

// awaitServing waits until each instance has served a request of each service.
func (f *linkedFleet) awaitServing(round int) {
	for n, i := range f.instances {
		for _, route := range []string{"safe", "resumable"} {
			attempt := 0
			f.await("the instance to serve", func() bool {
				attempt++
				return f.send(i, fmt.Sprintf("await-%d-%d-%s-%d", round, n, route, attempt), route, "x").status == http.StatusOK
			})
		}
	}
}

// checkServed checks that no instance serves less than nine tenths of its requests.
func (f *linkedFleet) checkServed(sent [][]sentRequest, states []linkState) {
	for n, requests := range sent {
		served := 0
		for _, r := range requests {
			if r.answer.err == nil && r.answer.status == http.StatusOK {
				served++
			}
		}
		if served*10 < len(requests)*9 {
			f.t.Errorf("instance %d served %d of %d, links %v", n, served, len(requests), states)
			for _, r := range requests {
				if r.answer.status != http.StatusOK {
					f.t.Logf("%s %s: %d %v", r.id, r.route, r.answer.status, r.answer.err)
				}
			}
		}
	}
}
