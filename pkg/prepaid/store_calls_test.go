package prepaid_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// disruption is what a fleet suffers from for some time.
type disruption string

const (
	undisturbed disruption = "nothing"
	// storeSilent means that no call to the store is answered.
	storeSilent disruption = "a silent store"
	// answersLost means that writes to the store take effect and are not answered.
	answersLost disruption = "lost answers of the store"
	// peersSilent means that no instance answers another one, the drawers included.
	peersSilent disruption = "silent peers"
)

// isDisrupted reports whether a disruption is in force now.
func (f *startingFleet) isDisrupted(kind disruption) bool {
	now := time.Now()
	return f.disruption == kind && !now.Before(f.disruptedFrom) && now.Before(f.disruptedTo)
}

// Guards against instances that keep the ledger busy by their own retries: when each instance wrote for
// itself, most writes conflicted and were tried again, and the store was throttled for the rest of the
// day. Whatever fails, all instances together make no more calls for a ledger object than one draw for each
// instance in a second takes, over each callWindow, and conflicts end soon after the failure.
func TestStoreCallsAreBoundedWhateverFails(t *testing.T) {
	const (
		length, from, to = 16, 3, 10
		// callWindow is in seconds; an instance may write for a request once in this time.
		callWindow   = 3
		callsPerDraw = 2 // the object is read and written
		// settled is when writes that were waiting for the store have timed out and conflicts have ended.
		settled = to + 2 + int(maxCollisionTime/time.Second)
	)
	for _, size := range []int{73, 295} {
		for _, kind := range []disruption{undisturbed, storeSilent, answersLost, peersSilent} {
			t.Run(fmt.Sprintf("%d instances, %s", size, kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newStartingFleet(size, 24, time.Second)
					f.disruption = kind
					f.disruptedFrom, f.disruptedTo = f.startedAt.Add(from*time.Second), f.startedAt.Add(to*time.Second)
					f.run(length*time.Second, 0, time.Second)
					t.Logf("reads %v, writes %v, conflicts %v", f.reads, f.writes, f.conflicts)
					for second := callWindow; second <= length; second++ {
						calls := sum(f.reads, second-callWindow, second) + sum(f.writes, second-callWindow, second)
						if calls > callsPerDraw*callWindow*size {
							t.Errorf("%d calls in the %d seconds before second %d", calls, callWindow, second)
						}
					}
					if late := sum(f.conflicts, settled, length); late > length-settled {
						t.Errorf("%d conflicts from second %d on", late, settled)
					}
				})
			})
		}
	}
}
