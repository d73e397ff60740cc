package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// A cut of a whole large fleet ends, and instances work by the configuration from before it for many
// seconds. Guards against each of them reading, from the store, every version that was written
// meanwhile: together more than the store's link carries in time.
func TestVersionsOfACutAreNotReadByEachInstance(t *testing.T) {
	const instances, versions, configBytes, cut = largeFleet, 8, 100_000, 24 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t.Context(), rand.New(rand.NewPCG(1, instances)), instances, worldBound)
		w.write(worldRouting, "main", w.text(configBytes))
		w.start()
		pause.For(t.Context(), worldStart)
		go func() {
			for range versions {
				w.write(worldRouting, "main", w.text(configBytes))
				pause.For(t.Context(), writeTime(configBytes))
			}
		}()
		w.during(w.instances, cut, setCut)
		pause.For(t.Context(), worldContact+worldBound)
		if late := greatest(w.lateness().calm); late > worldBound {
			t.Errorf("a change came into force %v late", late)
		}
		ended := w.instances[0].disturbed[0].to
		slowest := time.Duration(0)
		for _, a := range w.inForce {
			slowest = max(slowest, a.at.Sub(ended))
		}
		t.Logf("all versions in force %v after the cut, %d calls", slowest, w.store.count())
		w.end()
	})
}

// A store refuses those that read it, and hundreds that it serves ask it each for itself, for each copy
// and again and again. Guards against ranks that keep the publishing to themselves: another one takes it
// over, each change is in force everywhere in time, also at those that are refused, and the store has
// a few times the calls of a calm fleet.
func TestStoreThatRefusesItsReadersIsReadByAnother(t *testing.T) {
	const instances, refusedFor, changeEvery, timesCalm = largeFleet, 10 * time.Second, time.Second, 6
	for _, how := range []manner{storeRefuses, storeThrottles, storeResets, storeSilent} {
		t.Run(fmt.Sprint("manner ", how), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t.Context(), rand.New(rand.NewPCG(1, instances)), instances, worldBound)
				w.populate()
				w.start()
				pause.For(t.Context(), worldStart)
				for _, i := range w.chosen(35, true) {
					i.mu.Lock()
					i.refused = how
					i.mu.Unlock()
				}
				before := w.store.count()
				for range int(refusedFor / changeEvery) {
					w.write(worldRouting, "main", w.text(200))
					pause.For(t.Context(), changeEvery)
				}
				calls := w.store.count() - before
				pause.For(t.Context(), worldBound)
				if late := greatest(w.lateness().calm); late > worldBound {
					t.Errorf("a change came into force %v late", late)
				}
				calm := len(worldKinds) * int(refusedFor/longestWait)
				if calls > timesCalm*calm {
					t.Errorf("%d calls in %v, %d in a calm fleet", calls, refusedFor, calm)
				}
				t.Logf("%d calls in %v, worst %v", calls, refusedFor, greatest(w.lateness().calm))
				w.end()
			})
		})
	}
}
