package blame

import (
	"testing"

	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

// Guards against a policy that stops crashing requests by refusing harmless ones. No harmless
// request is condemned where upstreams crash for other reasons, and few upstreams crash under a
// crashing body.
func TestDefaultPolicyFindsTheFatalOnly(t *testing.T) {
	for _, scenario := range Scenarios {
		for seed := range uint64(3) {
			r := Simulate(Sizes[0], scenario, &quarantine.DefaultPolicy, seed)
			if r.Condemned > 0 {
				t.Errorf("%s, seed %d: %d of %d harmless requests beside a crash were condemned", scenario.Name, seed, r.Condemned, r.BesideCrash)
			}
			// At 50 requests a second, about eight run before the first crash is known.
			if r.MaxCrashes > 8+quarantine.CondemnAtMost || r.LateCrashes > 3*scenario.CrashingBodies {
				t.Errorf("%s, seed %d: %d upstreams crashed under one body, %d crashes came late", scenario.Name, seed, r.MaxCrashes, r.LateCrashes)
			}
		}
	}
}

// Guards against a simulation that gives another result when it runs again with the same seed.
func TestHistoriesRepeat(t *testing.T) {
	one := Simulate(Sizes[0], Scenarios[3], &quarantine.DefaultPolicy, 5)
	if two := Simulate(Sizes[0], Scenarios[3], &quarantine.DefaultPolicy, 5); one != two {
		t.Errorf("two runs with seed 5 differ: %+v and %+v", one, two)
	}
}

// Guards against a policy that finds a crashing part of prompts late, or condemns a part that harmless requests
// share.
func TestDefaultPolicyFindsTheCrashingPartOnly(t *testing.T) {
	for _, scenario := range PartScenarios {
		for seed := range uint64(3) {
			r := Simulate(Sizes[0], scenario, &quarantine.DefaultPolicy, seed)
			if r.PartsCondemned > 0 {
				t.Errorf("%s, seed %d: %d harmless parts were condemned", scenario.Name, seed, r.PartsCondemned)
			}
			if r.MaxLateSent > 3 {
				t.Errorf("%s, seed %d: %d requests with a crashing part were sent late", scenario.Name, seed, r.MaxLateSent)
			}
		}
	}
}
