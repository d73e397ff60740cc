package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// Guards against a copy that never asks the store again after one lost call: the gate is closed, and the
// smaller copy whose turn it would be to probe is confirmed by others and asks for nothing.
func TestCopyThatNeedsTheStoreProbesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		small, large := &Follower{Kind: "small", Copy: &newest{}}, &Follower{Kind: "large", Copy: &newest{}}
		peers := &copyMember{fleet: &fleetOfCopies{}, place: 0}
		peers.fleet.members = []*copyMember{peers}
		peers.place = 1 // not the first rank, which always asks
		peers.fleet.members = append(peers.fleet.members, peers)
		NewPublisher("p", map[string]*Follower{"small": small, "large": large}, peers, TimingFor(longestStaleness))
		list := func(size int) store.Listing {
			return store.Listing{Position: store.At(2), Objects: []store.Object{{Key: "k", Position: store.At(2), Value: make([]byte, size)}}}
		}
		small.applyList(list(1))
		large.applyList(list(1000))
		time.Sleep(longestStaleness)
		small.Confirm(store.At(2), 0)
		large.Gate.Leave(false)
		time.Sleep(probeEvery)
		if small.enter() {
			t.Error("a copy that others confirm probes the store")
		}
		if !large.enter() {
			t.Error("a copy that only the store confirms does not probe it")
		}
	})
}

// Guards against calls without a pause where a peer has published a position that the store never reaches.
func TestPositionThatNeverComesCostsFewCalls(t *testing.T) {
	const span = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(t.Context(), history{size: 3, answerTime: answerTime})
		defer fleet.end()
		fleet.store.change()
		time.Sleep(silentAfter)
		before := fleet.store.count() + fleet.store.lists
		fleet.members[2].follow.Confirm(store.At(1<<40), 0)
		time.Sleep(span)
		calm, paced := int(span/longestWait), int(span/gather)
		if calls := fleet.store.count() + fleet.store.lists - before; calls > 2*(calm+paced) {
			t.Errorf("%d calls in %v", calls, span)
		}
	})
}

// Guards against one lost call of one copy that is taken for an outage by the others: once its end is told,
// upstreams that leave just then are kept. And against an outage that a copy which may not ask knows nothing of.
func TestOneLostCallIsNoOutageOfTheOtherCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told atomic.Int32
		f := &Follower{Kind: "k", Copy: &newest{}, Gate: &Gate{}, Lost: func(error) { told.Add(1) }}
		f.Probes = func() bool { return false } // another copy asks
		f.fresh.reach(store.At(1), store.At(1))
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		f.Gate.Leave(false)
		running.Go(func() { f.Run(ctx) })
		time.Sleep(probeEvery)
		if told.Load() != 0 {
			t.Error("one lost call is taken for an outage")
		}
		f.Gate.Leave(false)
		time.Sleep(2 * gatePoll)
		if told.Load() != 1 {
			t.Errorf("an outage is told %d times", told.Load())
		}
		cancel()
		running.Wait()
	})
}
