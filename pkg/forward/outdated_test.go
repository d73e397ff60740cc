package forward

import (
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/routing"
)

// Guards against a final refusal of a request whose route or key was added by a change that this
// instance knows it may lack: the client does not come back after it.
func TestOutdatedConfigurationRefusesForTheTimeBeing(t *testing.T) {
	withRoute := &routing.Config{Version: 1, KeyRequired: true, Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/"}}}
	cases := []struct {
		description string
		config      *routing.Config
		final       Reason
	}{
		{"no route", &routing.Config{Version: 1}, NoRoute},
		{"unknown key", withRoute, UnknownKey},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			config, synced := &routing.State{}, make(chan struct{})
			config.Apply(c.config, time.Now())
			close(synced)
			f := startingForwarder(synced, config)
			for _, current := range []bool{true, false} {
				f.ConfigCurrent = func() bool { return current }
				want := ConfigurationOutdated
				if current {
					want = c.final
				}
				if reason, _ := serveOne(f); reason != want {
					t.Errorf("refused for %s, want %s (configuration current: %t)", reason, want, current)
				}
			}
			if retryAfter := f.refuseUnknown(c.final).RetryAfter; retryAfter <= 0 {
				t.Error("the client is not told when to come back")
			}
		})
	}
}
