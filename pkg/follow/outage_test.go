package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// outageConfirmation returns a confirmation that reports the end of an outage some time ago.
func outageConfirmation(ago time.Duration) *followpb.Confirmation {
	state := &followpb.CopyState{Name: "k", LastChange: 1, SinceOutageMs: ago.Milliseconds() + 1}
	return &followpb.Confirmation{From: "first", Copies: []*followpb.CopyState{state}}
}

// Guards against a request that reaches an upstream two seconds or more after the upstream has left.
// The upstream was kept because its entry seemed to have expired in an outage that had just ended.
// In fact that outage had ended three seconds before: another instance had noticed the end a little
// later and still reported it when this instance no longer remembered it, and the report counted as
// the end of another outage. Each end must count once, and as of its time.
func TestEndOfAnOutageCountsOnceAndAsOfItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ends []time.Time
		f := &Follower{Kind: "k", Copy: &versionRecorder{}, OnOutageEnded: func(ago time.Duration) { ends = append(ends, time.Now().Add(-ago)) }}
		publisher := NewPublisher("p", map[string]*Follower{"k": f}, &testInstance{fleet: &testFleet{}}, TimingFor(maxStaleness))
		f.fresh.recordRead(store.At(1), store.At(1))
		ended := time.Now()
		f.fresh.recordOutageEnd(0) // noticed by this instance itself
		for range 7 {
			time.Sleep(500 * time.Millisecond)
			publisher.HandleConfirmation(outageConfirmation(time.Since(ended) - 400*time.Millisecond))
		}
		if len(ends) > 0 {
			t.Errorf("a known end of an outage counts %d more times", len(ends))
		}
		time.Sleep(time.Second)
		ended = time.Now()
		time.Sleep(700 * time.Millisecond)
		publisher.HandleConfirmation(outageConfirmation(time.Since(ended)))
		publisher.HandleConfirmation(outageConfirmation(time.Since(ended)))
		if len(ends) != 1 || !ends[0].Truncate(time.Second/10).Equal(ended.Truncate(time.Second/10)) {
			t.Errorf("another outage that ended at %v was reported to have ended at %v", ended, ends)
		}
	})
}

// Guards against upstreams that are kept after they have left, without any outage: the store did not
// answer one instance for nine seconds but answered all others. When the store answered it again,
// that instance, and through its confirmations all others, assumed that removed entries had expired
// in an outage. While others confirm an instance's copy, the store must not count as unavailable.
func TestInstanceThatIsCutOffAloneHasNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(t.Context(), fleetOptions{size: 9, answerTime: answerTime})
		defer fleet.end()
		time.Sleep(crashDetectionTime)
		for _, isolated := range []int{0, 5} { // the publishing instance, and another one
			fleet.instances[isolated].link.silent.Store(true)
			time.Sleep(5 * time.Second)
			fleet.store.change()
			time.Sleep(4 * time.Second)
			fleet.instances[isolated].link.silent.Store(false)
			time.Sleep(2 * time.Second)
			for _, inst := range fleet.instances {
				if ago, recent := inst.follow.fresh.timeSinceOutage(); recent {
					t.Errorf("instance %d alone was cut off, but instance %d records an outage that ended %v ago", isolated, inst.index, ago)
				}
			}
		}
		fleet.store.loseAnswers(true)
		time.Sleep(5 * time.Second)
		fleet.store.loseAnswers(false)
		time.Sleep(2 * time.Second)
		for _, inst := range fleet.instances {
			if _, recent := inst.follow.fresh.timeSinceOutage(); !recent {
				t.Errorf("instance %d does not record an outage of all instances", inst.index)
			}
		}
	})
}

// Guards against upstreams that are dropped although they are alive: their entries lapsed in an outage
// of the store, and a confirmation reports their deletion together with the end of the outage. The
// end must be known when the deletion is applied, also if the sender's clock is not known yet.
func TestOutageEndIsKnownBeforeTheChangesOfItsConfirmation(t *testing.T) {
	for _, madeAtMs := range []int64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			var steps []string
			note := func(step string) { steps = append(steps, step) }
			copied := &hookedCopy{onApply: func() { note("changes") }}
			f := &Follower{Kind: "k", Copy: copied, OnOutageEnded: func(time.Duration) { note("end") }}
			peers := &testInstance{fleet: &testFleet{instances: []*testInstance{{}}}}
			peers.fleet.fetchesFail.Store(true)
			p := NewPublisher("p", map[string]*Follower{"k": f}, peers, TimingFor(maxStaleness))
			f.applyList(mainAt(5, 5))
			confirmation := outageConfirmation(0)
			confirmation.From, confirmation.MadeAtMs = "0", madeAtMs
			confirmation.Copies[0].Changes = changeTo(5, 7)
			p.HandleConfirmation(confirmation)
			time.Sleep(time.Second)
			if len(steps) != 2 || steps[0] != "end" {
				t.Errorf("steps in the order %v, want the end of the outage before the changes", steps)
			}
		})
	}
}
