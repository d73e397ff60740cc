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
					synctest.Wait()
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
	const ahead = 9 * time.Second // of the sender's clock
	var c peerClocks
	for _, exchange := range []struct {
		roundTrip, kept time.Duration
	}{{4 * maxClockRoundTrip, inaccurateClockLifetime}, {maxClockRoundTrip / 2, clockLifetime}} {
		c.compare("a", time.Second, time.Second+ahead, time.Second+ahead+exchange.roundTrip)
		now := time.Second + ahead + exchange.roundTrip + exchange.kept
		transit, known, expired := c.transit("a", now-ahead, now)
		if !known || !expired || transit > exchange.roundTrip+exchange.kept/100 {
			t.Errorf("%v after an exchange of %v: known %t, expired %t, on its way for %v", exchange.kept, exchange.roundTrip, known, expired, transit)
		}
		now -= exchange.kept/2 + time.Millisecond
		if _, _, expired := c.transit("a", now-ahead, now); expired {
			t.Errorf("repeated within %v after an exchange of %v", exchange.kept/2, exchange.roundTrip)
		}
	}
}

// Guards against exchanges with every instance that publishes for a moment, as at the start of a
// fleet: clocks are compared only with a sender whose confirmations are needed.
func TestClocksAreComparedWithNeededSendersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender, peers := newCapturingPublisher(nil)
		receiver, _ := newServingPublisher(sender)
		f := receiver.followers["k"]
		f.applyList(mainAt(7, 7))
		f.Confirm(store.At(7), 0)
		for _, compared := range []bool{false, true} {
			sender.followers["k"].applyList(mainAt(7, 7))
			receiver.HandleConfirmation(publishNow(t, sender, peers))
			time.Sleep(maxStaleness)
			if _, known, _ := receiver.clocks.transit("p", 0, 0); known != compared {
				t.Errorf("clocks compared: %t, want %t", known, compared)
			}
		}
	})
}
