package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against one instance that learns of a change too late: no confirmation reaches it, or no
// instance supplies the change, and its first call to the store is lost. When the timeouts of these
// steps were independent constants, their sum exceeded the bound, and a request reached an upstream
// 2.4 s after the store had acknowledged that the upstream leaves, where 2 s are allowed. In every
// combination the instance must know the change within the bound less requestTime.
func TestLastInstanceToKnowKnowsInTime(t *testing.T) {
	cases := []struct {
		description string
		// before injects the faults of the instance, shortly before the change.
		before func(last *testInstance)
	}{
		{"no confirmation reaches it", func(last *testInstance) {
			last.receivesNothing.Store(true)
		}},
		{"no other instance is reached", func(last *testInstance) {
			last.receivesNothing.Store(true)
			last.isolated.Store(true)
		}},
		{"nor is its first call to the store answered", func(last *testInstance) {
			last.receivesNothing.Store(true)
			last.isolated.Store(true)
			last.link.lostCalls.Store(1)
		}},
		{"nobody hands on, and its first call to the store is lost", func(last *testInstance) {
			last.fleet.fetchesFail.Store(true)
			last.link.lostCalls.Store(1)
		}},
	}
	for _, c := range cases {
		for seed := range uint64(6) {
			for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
				t.Run(fmt.Sprintf("%s, seed %d, %v", c.description, seed, bound), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkLastToKnow(t, c.before, seed, bound) })
				})
			}
		}
	}
}

func checkLastToKnow(t *testing.T, before func(*testInstance), seed uint64, bound time.Duration) {
	random := rand.New(rand.NewPCG(seed, 9))
	fleet := startFleet(t.Context(), fleetOptions{size: 9, answerTime: answerTime, bound: bound})
	defer fleet.end()
	time.Sleep(crashDetectionTime + time.Duration(random.IntN(1000))*time.Millisecond)
	// The last message that the instance receives is as recent as possible: a change, published at
	// once.
	fleet.store.change()
	time.Sleep(50 * time.Millisecond)
	before(fleet.instances[8])
	time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	fleet.store.change()
	version, _, _ := fleet.store.state()
	time.Sleep(bound - requestTime)
	if late := fleet.numBehind(version); late > 0 {
		t.Errorf("%d copies lack a change made %v ago", late, bound-requestTime)
	}
}

// Checks that the timeouts of all steps fit into each bound that a deployment may set: in the two
// longest sequences of steps that end with the last instance to know, and between the ranks, where
// an instance relies on the confirmations of the one before it. Lengthening one timeout without
// shortening another fails here.
func TestTimingFitsTheBound(t *testing.T) {
	for _, bound := range []time.Duration{800 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		timing := TimingFor(bound)
		allowed := bound - min(requestTime, bound/4)
		unconfirmed := timing.LastTimeout + timing.HedgeDelay + answerTime
		if unconfirmed > allowed {
			t.Errorf("bound %v: unconfirmed for %v, allowed %v", bound, unconfirmed, allowed)
		}
		if bound >= 2*time.Second {
			unsupplied := coalescePause + timing.WatchTimeout + timing.BehindTimeout + timing.HedgeDelay + answerTime
			if unsupplied > allowed {
				t.Errorf("bound %v: not supplied by others for %v, allowed %v", bound, unsupplied, allowed)
			}
		}
		confirmed := timing.WatchTimeout + batchPause + 2*answerTime
		if confirmed > timing.FirstTimeout-timing.QueryLead || timing.FirstTimeout >= timing.LastTimeout {
			t.Errorf("bound %v: confirmed every %v, timeouts %v to %v", bound, confirmed, timing.FirstTimeout, timing.LastTimeout)
		}
	}
}

// Guards against many instances calling the store at once whenever the network loses some messages,
// because each considers the publisher crashed after one missed confirmation. They must query each
// other first, and the store must get hardly more calls than without losses.
func TestLostConfirmationsCostTheStoreNothing(t *testing.T) {
	const span = 60 * time.Second
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(t.Context(), fleetOptions{size: 73, answerTime: answerTime, lossRate: 0.05})
		defer fleet.end()
		time.Sleep(crashDetectionTime)
		before := fleet.store.count()
		time.Sleep(span)
		baseline := int(span / maxWatchTimeout)
		if calls := fleet.store.count() - before; calls > 2*baseline {
			t.Errorf("%d watches in %v, %d without losses", calls, span, baseline)
		} else {
			t.Logf("%d watches in %v, %d without losses", calls, span, baseline)
		}
	})
}
