package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// toldOutage is a confirmation that tells of an outage's end some time ago.
func toldOutage(ago time.Duration) *followpb.Confirmation {
	state := &followpb.CopyState{Name: "k", LastChange: 1, SinceOutageMs: ago.Milliseconds() + 1}
	return &followpb.Confirmation{From: "first", Copies: []*followpb.CopyState{state}}
}

// A request reaches an upstream two seconds and more after it has left: its entry was removed, which
// instances take for a lapse in an outage that has just ended, and keep it. The outage had ended three
// seconds before; another instance, which noticed that a little later, still told of it when this one
// had just forgotten it, and its word was taken for another outage that ends now. Proof: an end
// counts once, and as of when it was.
func TestEndOfAnOutageCountsOnceAndAsOfItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ends []time.Time
		f := &Follower{Kind: "k", Copy: &newest{}, OutageEnded: func(ago time.Duration) { ends = append(ends, time.Now().Add(-ago)) }}
		publisher := NewPublisher("p", map[string]*Follower{"k": f}, &copyMember{fleet: &fleetOfCopies{}}, TimingFor(longestStaleness))
		f.fresh.reach(store.At(1), store.At(1))
		ended := time.Now()
		f.fresh.returned(0) // noticed by itself
		for range 7 {
			time.Sleep(500 * time.Millisecond)
			publisher.Take(toldOutage(time.Since(ended) - 400*time.Millisecond))
		}
		if len(ends) > 0 {
			t.Errorf("an outage that ended before counts %d times more", len(ends))
		}
		time.Sleep(time.Second)
		ended = time.Now()
		time.Sleep(700 * time.Millisecond)
		publisher.Take(toldOutage(time.Since(ended)))
		publisher.Take(toldOutage(time.Since(ended)))
		if len(ends) != 1 || !ends[0].Truncate(time.Second/10).Equal(ended.Truncate(time.Second/10)) {
			t.Errorf("another outage that ended at %v was told to have ended at %v", ended, ends)
		}
	})
}

// The same, and no outage at all: the store did not answer one instance for nine seconds, and all
// others. When it does again, that instance, and by its word all others, take entries that are
// removed for lapsed. Proof: while others confirm its copy the store was not away.
func TestInstanceThatIsCutOffAloneHasNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(t.Context(), history{size: 9, answerTime: answerTime})
		defer fleet.end()
		time.Sleep(silentAfter)
		for _, alone := range []int{0, 5} { // the one that publishes, and another
			fleet.members[alone].link.silent.Store(true)
			time.Sleep(5 * time.Second)
			fleet.store.change()
			time.Sleep(4 * time.Second)
			fleet.members[alone].link.silent.Store(false)
			time.Sleep(2 * time.Second)
			for _, m := range fleet.members {
				if ago, recent := m.follow.fresh.sinceOutage(); recent {
					t.Errorf("instance %d was cut off alone, and %d knows of an outage that ended %v ago", alone, m.place, ago)
				}
			}
		}
		fleet.store.loseAnswers(true)
		time.Sleep(5 * time.Second)
		fleet.store.loseAnswers(false)
		time.Sleep(2 * time.Second)
		for _, m := range fleet.members {
			if _, recent := m.follow.fresh.sinceOutage(); !recent {
				t.Errorf("instance %d does not know of an outage of all", m.place)
			}
		}
	})
}
