package coldstart

import "testing"

// Guards against a policy in force that exceeds the bound of a cold upstream in drawn histories.
func TestPolicyInForceKeepsTheBound(t *testing.T) {
	inForce := Policies[len(Policies)-1]
	for _, size := range Sizes {
		for seed := range uint64(20) {
			if r := Play(size, inForce, seed); r.WorstKnown > bound.MaxRequests() || r.Sent == 0 {
				t.Errorf("%d instances, seed %d: %+v", size, seed, r)
			}
		}
	}
}
