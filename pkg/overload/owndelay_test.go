package overload

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/owndelay"
)

// Guards against an instance on a busy machine that has lost its links to the upstreams and takes its own delay
// for a full link: it would ask no other instance for connections and refuse its callers.
func TestOwnDelayIsNoFullLink(t *testing.T) {
	const busy = 30 * time.Millisecond
	cases := []struct {
		description  string
		delay, reply time.Duration
		answered     bool
		overloaded   bool
	}{
		{"not busy, fast replies", 0, maxFastReply, true, false},
		{"not busy, slow replies", 0, 2 * maxFastReply, true, true},
		{"busy, late replies", busy, 2 * maxFastReply, true, false},
		{"busy, replies that are slow all the same", busy, 20 * maxFastReply, true, true},
		{"busy, no replies", busy, 2 * maxFastReply, false, true},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := New(time.Now)
				l.Delay = &owndelay.Meter{}
				l.Delay.Observe(c.delay)
				for n := range 2 * minConnects {
					l.ObserveConnect(fmt.Sprint("u", n%minUpstreams), dialTimeout)
					l.ObserveReply(c.reply, c.answered)
				}
				time.Sleep(window)
				if l.Overloaded() != c.overloaded {
					t.Errorf("overloaded: %t, want %t", l.Overloaded(), c.overloaded)
				}
			})
		})
	}
}
