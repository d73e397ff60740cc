package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// Guards against instances that use an outdated configuration for many seconds after a network
// partition of a whole large fleet. If each of them read from the store every version written
// meanwhile, that would exceed what the store's link carries in time.
func TestVersionsOfACutAreNotReadByEachInstance(t *testing.T) {
	const instances, versions, configBytes, partition = largeFleet, 8, 100_000, 24 * time.Second
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t.Context(), rand.New(rand.NewPCG(1, instances)), instances, simBound)
		sim.write(simRouting, "main", sim.randomBytes(configBytes))
		sim.start()
		pause.For(t.Context(), simWarmup)
		go func() {
			for range versions {
				sim.write(simRouting, "main", sim.randomBytes(configBytes))
				pause.For(t.Context(), writeTime(configBytes))
			}
		}()
		sim.disturbInstances(sim.instances, partition, setPartitioned)
		pause.For(t.Context(), simContactTime+simBound)
		if late := longest(sim.propagationDelays().undisturbed); late > simBound {
			t.Errorf("a change came into force %v late", late)
		}
		ended := sim.instances[0].disturbed[0].to
		slowest := time.Duration(0)
		for _, a := range sim.arrivals {
			slowest = max(slowest, a.appliedAt.Sub(ended))
		}
		t.Logf("all versions in force %v after the partition, %d calls", slowest, sim.store.count())
		sim.end()
	})
}

// Guards against a store that refuses the publishing instances while it serves hundreds of others:
// if the publishing stayed with those ranks, each instance would call the store for itself, for
// each copy and repeatedly. Another instance must take over the publishing, each change must come
// into force everywhere in time, also at the refused instances, and the store gets a few times the
// calls of an undisturbed fleet.
func TestStoreThatRefusesItsReadersIsReadByAnother(t *testing.T) {
	const instances, refusedFor, changeEvery, maxTimesBaseline = largeFleet, 10 * time.Second, time.Second, 6
	for _, behavior := range []storeBehavior{storeRefuses, storeThrottles, storeResets, storeSilent} {
		t.Run(fmt.Sprint("manner ", behavior), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t.Context(), rand.New(rand.NewPCG(1, instances)), instances, simBound)
				sim.populate()
				sim.start()
				pause.For(t.Context(), simWarmup)
				for _, i := range sim.randomInstances(35, true) {
					i.mu.Lock()
					i.refusal = behavior
					i.mu.Unlock()
				}
				before := sim.store.count()
				for range int(refusedFor / changeEvery) {
					sim.write(simRouting, "main", sim.randomBytes(200))
					pause.For(t.Context(), changeEvery)
				}
				calls := sim.store.count() - before
				pause.For(t.Context(), simBound)
				if late := longest(sim.propagationDelays().undisturbed); late > simBound {
					t.Errorf("a change came into force %v late", late)
				}
				baseline := len(simKinds) * int(refusedFor/maxWatchTimeout)
				if calls > maxTimesBaseline*baseline {
					t.Errorf("%d calls in %v, %d in an undisturbed fleet", calls, refusedFor, baseline)
				}
				t.Logf("%d calls in %v, worst %v", calls, refusedFor, longest(sim.propagationDelays().undisturbed))
				sim.end()
			})
		})
	}
}
