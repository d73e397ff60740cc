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

// Guards against a copy that never calls the store again after one lost call: the breaker is
// tripped, and the smaller copy that would be chosen to probe is confirmed by others and makes no
// calls.
func TestCopyThatNeedsTheStoreProbesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		small, large := &Follower{Kind: "small", Copy: &versionRecorder{}}, &Follower{Kind: "large", Copy: &versionRecorder{}}
		peers := &testInstance{fleet: &testFleet{}, index: 0}
		peers.fleet.instances = []*testInstance{peers}
		peers.index = 1 // not the first rank, which always watches the store
		peers.fleet.instances = append(peers.fleet.instances, peers)
		NewPublisher("p", map[string]*Follower{"small": small, "large": large}, peers, TimingFor(maxStaleness))
		list := func(size int) store.Listing {
			return store.Listing{Position: store.At(2), Objects: []store.Object{{Key: "k", Position: store.At(2), Value: make([]byte, size)}}}
		}
		small.applyList(list(1))
		large.applyList(list(1000))
		time.Sleep(maxStaleness)
		small.Confirm(store.At(2), 0)
		large.Breaker.Record(false)
		time.Sleep(probeInterval)
		if small.allowCall() {
			t.Error("a copy that others confirm probes the store")
		}
		if !large.allowCall() {
			t.Error("a copy that only the store confirms does not probe it")
		}
	})
}

// Guards against calls without a pause where a peer has published a position that the store never
// reaches.
func TestPositionThatNeverComesCostsFewCalls(t *testing.T) {
	const span = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(t.Context(), fleetOptions{size: 3, answerTime: answerTime})
		defer fleet.end()
		fleet.store.change()
		time.Sleep(crashDetectionTime)
		before := fleet.store.count() + fleet.store.lists
		fleet.instances[2].follow.Confirm(store.At(1<<40), 0)
		time.Sleep(span)
		baseline, paced := int(span/maxWatchTimeout), int(span/coalescePause)
		if calls := fleet.store.count() + fleet.store.lists - before; calls > 2*(baseline+paced) {
			t.Errorf("%d calls in %v", calls, span)
		}
	})
}

// Guards against one lost call of one copy that counts as an outage for the other copies: when its
// end is reported, upstreams that leave at that moment are kept. Also guards against an outage that
// goes unnoticed by a copy that may not call the store.
func TestOneLostCallIsNoOutageOfTheOtherCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var numReports atomic.Int32
		f := &Follower{Kind: "k", Copy: &versionRecorder{}, Breaker: &CircuitBreaker{}, OnCallFailed: func(error) { numReports.Add(1) }}
		f.MayProbe = func() bool { return false } // another copy probes
		f.fresh.recordRead(store.At(1), store.At(1))
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		f.Breaker.Record(false)
		running.Go(func() { f.Run(ctx) })
		time.Sleep(probeInterval)
		if numReports.Load() != 0 {
			t.Error("one lost call counts as an outage")
		}
		f.Breaker.Record(false)
		time.Sleep(2 * breakerPollInterval)
		if numReports.Load() != 1 {
			t.Errorf("an outage is reported %d times, want 1", numReports.Load())
		}
		cancel()
		running.Wait()
	})
}
