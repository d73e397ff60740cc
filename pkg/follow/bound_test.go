package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// A request reaches an upstream 2.4 s after the store has acknowledged that it leaves; the
// operators allow 2 s. One instance misses what the others are told: no confirmation reaches it,
// or nobody hands the change on, and the call by which it then asks the store is lost.
// Cause: each wait on the way was a constant of its own, and together they were above the bound.
// Proof: whatever of this falls together, it knows within the bound less a request's own time.
func TestLastInstanceToKnowKnowsInTime(t *testing.T) {
	cases := []struct {
		description string
		// before makes what the instance is cut off from, a while before the change.
		before func(last *copyMember)
	}{
		{"no confirmation reaches it", func(last *copyMember) {
			last.unheard.Store(true)
		}},
		{"no other instance is reached", func(last *copyMember) {
			last.unheard.Store(true)
			last.alone.Store(true)
		}},
		{"nor is its first call to the store answered", func(last *copyMember) {
			last.unheard.Store(true)
			last.alone.Store(true)
			last.link.loses.Store(1)
		}},
		{"nobody hands on, and its first call to the store is lost", func(last *copyMember) {
			last.fleet.handsOff.Store(true)
			last.link.loses.Store(1)
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

func checkLastToKnow(t *testing.T, before func(*copyMember), seed uint64, bound time.Duration) {
	random := rand.New(rand.NewPCG(seed, 9))
	fleet := startFleet(t.Context(), history{size: 9, answerTime: answerTime, bound: bound})
	defer fleet.end()
	time.Sleep(silentAfter + time.Duration(random.IntN(1000))*time.Millisecond)
	// The last thing that it hears is as fresh as can be: a change, published at once.
	fleet.store.change()
	time.Sleep(50 * time.Millisecond)
	before(fleet.members[8])
	time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	fleet.store.change()
	version, _, _ := fleet.store.state()
	time.Sleep(bound - requestTime)
	if late := fleet.behind(version); late > 0 {
		t.Errorf("%d copies lack a change of %v ago", late, bound-requestTime)
	}
}

// The times of the steps add up to less than the bound, for each bound that a deployment may set:
// two courses end with the last instance to know, and an instance of each rank trusts what the
// one before it tells. A time that is made longer without another being made shorter fails here.
func TestTimingFitsTheBound(t *testing.T) {
	for _, bound := range []time.Duration{800 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		timing := TimingFor(bound)
		allowed := bound - min(requestTime, bound/4)
		unheard := timing.Last + timing.Hedge + answerTime
		if unheard > allowed {
			t.Errorf("bound %v: unheard for %v, of %v", bound, unheard, allowed)
		}
		if bound >= 2*time.Second {
			untold := gather + timing.Wait + timing.Behind + timing.Hedge + answerTime
			if untold > allowed {
				t.Errorf("bound %v: a change is not handed on for %v, of %v", bound, untold, allowed)
			}
		}
		confirmed := timing.Wait + collect + 2*answerTime
		if confirmed > timing.First-timing.Ask || timing.First >= timing.Last {
			t.Errorf("bound %v: confirmed each %v, timeouts %v to %v", bound, confirmed, timing.First, timing.Last)
		}
	}
}

// The store is asked by many instances at once whenever the network loses some messages: each
// that misses one confirmation takes the publisher for gone. Proof: those that miss some ask each
// other first, and the store has hardly more calls than in a calm fleet.
func TestLostConfirmationsCostTheStoreNothing(t *testing.T) {
	const lossy = 60 * time.Second
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(t.Context(), history{size: 73, answerTime: answerTime, loseMessages: 0.05})
		defer fleet.end()
		time.Sleep(silentAfter)
		before := fleet.store.count()
		time.Sleep(lossy)
		calm := int(lossy / longestWait)
		if calls := fleet.store.count() - before; calls > 2*calm {
			t.Errorf("%d watches in %v, %d without losses", calls, lossy, calm)
		} else {
			t.Logf("%d watches in %v, %d without losses", calls, lossy, calm)
		}
	})
}
