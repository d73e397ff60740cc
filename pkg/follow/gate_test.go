package follow

import (
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
