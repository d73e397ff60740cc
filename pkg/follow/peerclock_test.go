package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// Guards against a publisher that confirms nothing to anybody, or confirms late messages as of now,
// for as long as an old comparison of clocks is used: one of the two clocks stood still while its
// machine was suspended. The next confirmations must count as of their time again.
func TestClockThatStoodStillIsComparedAgain(t *testing.T) {
	const stoodStill, settled = 5 * time.Second, 10 * time.Millisecond
	for _, suspended := range []string{"sender", "receiver"} {
		t.Run(suspended, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender, peers := newCapturingPublisher(nil)
				receiver, _ := newServingPublisher(sender)
				f := receiver.followers["k"]
				f.applyList(mainAt(7, 7))
				confirmNow := func(version store.Version) {
					sender.followers["k"].applyList(mainAt(version, 7))
					receiver.HandleConfirmation(publishNow(t, sender, peers))
					time.Sleep(settled)
				}
				time.Sleep(stoodStill)
				confirmNow(8)
				if suspended == "sender" {
					sender.startedAt = sender.startedAt.Add(stoodStill)
				} else {
					receiver.startedAt = receiver.startedAt.Add(stoodStill)
				}
				time.Sleep(time.Second)
				confirmNow(9)
				if age, _ := f.Age(); age > 2*settled {
					t.Errorf("a confirmation of just now counts as %v old", age)
				}
				sender.followers["k"].applyList(mainAt(10, 7))
				held := publishNow(t, sender, peers)
				time.Sleep(time.Second)
				receiver.HandleConfirmation(held)
				if age, _ := f.Age(); age < time.Second {
					t.Errorf("a confirmation that was on its way for %v counts as %v old", time.Second, age)
				}
			})
		})
	}
}

// Guards against a comparison over a slow exchange that is kept: every confirmation would count as
// older than it is by the time of that exchange.
func TestSlowComparisonOfClocksIsRepeated(t *testing.T) {
	var c peerClocks
	c.compare("a", time.Second, 10*time.Second, 10*time.Second+4*maxClockRoundTrip)
	if _, known, expired := c.transit("a", 2*time.Second, 11*time.Second+4*maxClockRoundTrip); !known || !expired {
		t.Errorf("after a slow exchange: known %t, expired %t", known, expired)
	}
	c.compare("a", 3*time.Second, 12*time.Second, 12*time.Second+maxClockRoundTrip/2)
	transit, known, expired := c.transit("a", 4*time.Second, 13*time.Second)
	if !known || expired || transit > maxClockRoundTrip/2+time.Millisecond {
		t.Errorf("after a fast exchange: known %t, expired %t, on its way for %v", known, expired, transit)
	}
}
