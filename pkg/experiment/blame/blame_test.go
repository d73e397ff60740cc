package blame

import (
	"testing"

	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

// Guards against a policy that ends the fatal requests by refusing sound ones: nobody sound is
// condemned where upstreams crash of other causes, and few upstreams end under a fatal body.
func TestDefaultPolicyFindsTheFatalOnly(t *testing.T) {
	for _, scenario := range Scenarios {
		for seed := range uint64(3) {
			r := Play(Sizes[0], scenario, &quarantine.DefaultPolicy, seed)
			if r.Condemned > 0 {
				t.Errorf("%s, seed %d: %d of %d sound requests beside a crash were condemned", scenario.Name, seed, r.Condemned, r.Beside)
			}
			// At 50 a second some eight run before the first crash is known.
			if r.MostCrashes > 8+quarantine.CondemnAtMost || r.Late > 3*scenario.Fatal {
				t.Errorf("%s, seed %d: %d upstreams ended, %d late", scenario.Name, seed, r.MostCrashes, r.Late)
			}
		}
	}
}

// A history is the same each time.
func TestHistoriesRepeat(t *testing.T) {
	one := Play(Sizes[0], Scenarios[3], &quarantine.DefaultPolicy, 5)
	if two := Play(Sizes[0], Scenarios[3], &quarantine.DefaultPolicy, 5); one != two {
		t.Errorf("%+v and %+v", one, two)
	}
}
