package coldstart

import "testing"

// Guards against instances that know of a cold upstream and together send it more requests in a
// second than its bound, in random histories with partitions and restarts.
func TestPolicyInForceKeepsTheBound(t *testing.T) {
	inForce := Policies[len(Policies)-1]
	for _, size := range Sizes {
		for seed := range uint64(20) {
			if r := Simulate(size, inForce, seed); r.MaxPerSecondInformed > coldBound.MaxRequests() || r.Sent == 0 {
				t.Errorf("%d instances, seed %d: %+v", size, seed, r)
			}
		}
	}
}
