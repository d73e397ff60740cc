package routing

import (
	"fmt"
	"testing"
	"time"
)

func testConfig(version uint64) *Config {
	return &Config{
		Version:     version,
		KeyRequired: true,
		Routes: []Route{
			{Name: "all", Host: "h.example", Prefix: "/", Targets: []Target{{Service: "s", Weight: 1}}},
			{Name: "jobs", Host: "h.example", Prefix: "/jobs/", Targets: []Target{{Service: "t", Weight: 90}, {Service: "u", Weight: 10}}},
		},
		Accounts: []Account{{Name: "crew", Keys: []string{"k1", "k2"}}},
	}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := NewTable(testConfig(1), time.Time{})
	cases := []struct{ description, host, path, route string }{
		{"the longer prefix", "h.example", "/jobs/7", "jobs"},
		{"the shorter one", "h.example", "/job", "all"},
		{"a host with a port", "h.example:80", "/jobs/7", "jobs"},
		{"a host in capitals", "H.Example", "/jobs/7", "jobs"},
		{"another host", "g.example", "/jobs/7", ""},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			name := ""
			if route := table.Route(c.host, c.path); route != nil {
				name = route.Name
			}
			if name != c.route {
				t.Errorf("route for %s%s is %q, want %q", c.host, c.path, name, c.route)
			}
		})
	}
}

// All attempts of a request must go to the same service of a split route, and the services'
// shares must match their weights.
func TestSplitBySendingAndWeight(t *testing.T) {
	route := NewTable(testConfig(1), time.Time{}).Route("h.example", "/jobs/7")
	counts := map[string]int{}
	for n := range 10_000 {
		first := route.SelectService(fmt.Sprint(n))
		if again := route.SelectService(fmt.Sprint(n)); again != first {
			t.Fatalf("attempts of one request go to services %s and %s", first, again)
		}
		counts[first]++
	}
	if counts["t"] < 8_800 || counts["t"] > 9_200 {
		t.Errorf("%v of 10,000 requests by service, want about 9,000 to t", counts)
	}
}

// Stale reads, peers and late watches deliver older versions at any time. An instance must
// never return to one: it would refuse requests that the newer version allows.
func TestConfigurationNeverGoesBack(t *testing.T) {
	var state State
	for _, version := range []uint64{3, 2, 7, 7, 5, 9, 1} {
		state.Apply(testConfig(version), time.Time{})
	}
	if got := state.Table().Config.Version; got != 9 {
		t.Errorf("version %d is in force, want 9", got)
	}
	if state.Apply(testConfig(9), time.Time{}) {
		t.Error("a configuration of the version in force was applied again")
	}
}
