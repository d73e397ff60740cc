package placement

import (
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/coldlimit"
	"github.com/lavenderring/lavenderring/pkg/registry"
)

// coldDuration is how long an upstream is cold in these tests.
const coldDuration = 3 * time.Second

// coldPool returns the pool of an instance that knows no other instance. It may send a cold upstream
// what each side of a partitioned fleet may send: seven requests in a second.
func coldPool(t *testing.T) (*Pool, *time.Time) {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	clock := func() time.Time { return now }
	p := NewPool("x", clock)
	limit := coldlimit.New("self", func() []string { return nil }, clock)
	p.SetColdPolicy(ColdPolicy{Limit: limit, Bound: coldlimit.Bound{PerSecond: 12, Overage: 1.5, Slack: 5}, Duration: coldDuration})
	now = now.Add(time.Minute)
	return p, &now
}

// placementsByUpstream places a burst of requests, each of which ends at once, and counts them by
// upstream.
func placementsByUpstream(p *Pool, requests int) map[string]int {
	counts := map[string]int{}
	for range requests {
		if lease := p.Choose(&Request{PromptTokens: 100}); lease != nil {
			counts[lease.ID]++
			lease.Done(Succeeded)
		}
	}
	return counts
}

func warm(id string) registry.Upstream { return registry.Upstream{ID: id, Domain: "x"} }

func cold(id string) registry.Upstream {
	return registry.Upstream{ID: id, Domain: "x", ColdDuration: coldDuration}
}

// Guards against so many requests to an upstream that has just started that it crashes, also when
// no other upstream is in service.
func TestColdUpstreamGetsWhatItTakes(t *testing.T) {
	p, now := coldPool(t)
	p.Update([]registry.Upstream{cold("cold"), warm("warm")}, true)
	if got := placementsByUpstream(p, 200); got["cold"] > 7 || got["warm"] < 190 {
		t.Errorf("placements by upstream: %v", got)
	}
	*now = now.Add(2 * time.Second)
	p.Update([]registry.Upstream{cold("cold")}, true)
	if got := placementsByUpstream(p, 200); got["cold"] == 0 || got["cold"] > 7 {
		t.Errorf("with no other upstream, placements by upstream: %v", got)
	}
}

// Guards against too many requests to upstreams that were restarted while they were out of service
// and whose registry entries do not show it yet.
func TestReturnedUpstreamIsTakenForCold(t *testing.T) {
	p, now := coldPool(t)
	p.Update([]registry.Upstream{warm("a"), warm("b")}, true)
	p.Update([]registry.Upstream{warm("a")}, true)
	p.Update([]registry.Upstream{warm("a"), warm("b")}, true)
	if got := placementsByUpstream(p, 200); got["b"] > 7 {
		t.Errorf("placements by upstream: %v", got)
	}
	*now = now.Add(coldDuration)
	if got := placementsByUpstream(p, 200); got["b"] < 50 {
		t.Errorf("after the cold period, placements by upstream: %v", got)
	}
}

// Guards against too many requests to an upstream that was unreachable and restarted without a
// change of its registry entry.
func TestUnreachableUpstreamIsTakenForCold(t *testing.T) {
	p, _ := coldPool(t)
	p.Update([]registry.Upstream{warm("a")}, true)
	lease := p.Choose(&Request{PromptTokens: 100})
	lease.ReportUnreachable()
	lease.Done(Failed)
	if got := placementsByUpstream(p, 200); got["a"] > 7 {
		t.Errorf("placements by upstream: %v", got)
	}
}

// Guards against sending a request to an upstream that became cold after it was chosen.
func TestUpstreamThatTurnsColdAfterTheChoiceGetsNothing(t *testing.T) {
	p, _ := coldPool(t)
	p.Update([]registry.Upstream{warm("a")}, true)
	lease := p.Choose(&Request{PromptTokens: 100})
	p.Update([]registry.Upstream{cold("a")}, true)
	if lease.InService() {
		t.Error("a request chosen before the upstream became cold is sent")
	}
	if counted := p.Choose(&Request{PromptTokens: 100}); !counted.InService() {
		t.Error("a request counted against the cold limit is not sent")
	}
}

// Guards against an instance that treats every upstream as cold when it starts.
func TestFirstListIsTakenAtItsWord(t *testing.T) {
	p, _ := coldPool(t)
	p.Update([]registry.Upstream{warm("a")}, true)
	if got := placementsByUpstream(p, 200); got["a"] != 200 {
		t.Errorf("placements by upstream: %v", got)
	}
}

// suspectedUpstream returns a pool whose only upstream, a, counts as cold because a connection to it failed,
// and the lease of a request that is counted against the limit on cold upstreams.
func suspectedUpstream(t *testing.T) (*Pool, *time.Time, *Lease) {
	t.Helper()
	p, now := coldPool(t)
	p.Update([]registry.Upstream{warm("a")}, true)
	failed := p.Choose(&Request{PromptTokens: 100})
	failed.ReportUnreachable()
	failed.Done(Failed)
	return p, now, p.Choose(&Request{PromptTokens: 100})
}

// Guards against a whole cold time without requests for an upstream that was silent for a moment and says
// itself that it is not cold.
func TestUpstreamThatSaysItIsNotColdGetsItsLoad(t *testing.T) {
	p, _, lease := suspectedUpstream(t)
	lease.StartColdCheck().Conclude(0)
	if !lease.InService() {
		t.Error("the request whose place the question took is not sent")
	}
	if got := placementsByUpstream(p, 200); got["a"] != 200 {
		t.Errorf("placements by upstream: %v", got)
	}
}

// Guards against too many requests to an upstream that says itself that it is cold.
func TestUpstreamThatSaysItIsColdGetsWhatItTakes(t *testing.T) {
	p, now, lease := suspectedUpstream(t)
	lease.StartColdCheck().Conclude(2 * coldDuration)
	*now = now.Add(2*coldDuration - time.Millisecond)
	if got := placementsByUpstream(p, 200); got["a"] > 7 {
		t.Errorf("placements by upstream: %v", got)
	}
	*now = now.Add(2 * time.Millisecond)
	if got := placementsByUpstream(p, 200); got["a"] < 190 {
		t.Errorf("after the cold period, placements by upstream: %v", got)
	}
}

// Guards against taking the word of a process for that of the next one: a connection has failed since the
// upstream was asked.
func TestWordBeforeAFailedConnectionIsNotTaken(t *testing.T) {
	p, _, lease := suspectedUpstream(t)
	check := lease.StartColdCheck()
	failed := p.Choose(&Request{PromptTokens: 100})
	failed.ReportUnreachable()
	failed.Done(Failed)
	check.Conclude(0)
	if got := placementsByUpstream(p, 200); got["a"] > 7 {
		t.Errorf("placements by upstream: %v", got)
	}
	if again := p.Choose(&Request{PromptTokens: 100}); again != nil && again.StartColdCheck() == nil {
		t.Error("the upstream is not asked again")
	}
}

// Guards against more than a cold upstream takes: the question and the request that it delays are two.
func TestQuestionTakesThePlaceOfARequest(t *testing.T) {
	p, _, lease := suspectedUpstream(t)
	if lease.StartColdCheck() == nil || lease.InService() {
		t.Error("the request is sent as well as the question")
	}
	if got := placementsByUpstream(p, 200); got["a"] > 6 {
		t.Errorf("placements by upstream beside the question: %v", got)
	}
}

// Guards against more health checks than one after a failed connection, and any for an upstream that is cold
// by its entry, was out of service, or is not suspected.
func TestUpstreamIsAskedOnce(t *testing.T) {
	p, now, lease := suspectedUpstream(t)
	if lease.StartColdCheck() == nil || p.Choose(&Request{PromptTokens: 100}).StartColdCheck() != nil {
		t.Error("not asked exactly once")
	}
	p.Update([]registry.Upstream{cold("a")}, true)
	*now = now.Add(2 * time.Second)
	declared := p.Choose(&Request{PromptTokens: 100})
	declared.ReportUnreachable()
	if declared.StartColdCheck() != nil {
		t.Error("an upstream that is cold by its entry is asked")
	}
	p.Update([]registry.Upstream{warm("b")}, true)
	p.Update([]registry.Upstream{warm("b"), warm("c")}, true)
	for range 8 {
		returned := p.Choose(&Request{PromptTokens: 100, Tried: []string{"b"}})
		if returned == nil {
			break
		}
		returned.ReportUnreachable()
		if returned.StartColdCheck() != nil {
			t.Error("an upstream that was out of service is asked")
		}
	}
	if p.Choose(&Request{PromptTokens: 100}).StartColdCheck() != nil {
		t.Error("an upstream that does not count as cold is asked")
	}
}

// Guards against a suspected upstream that gets nothing when it can be reached again, because failed connections
// have used up what it may get.
func TestFailedConnectionTakesNoPlace(t *testing.T) {
	p, _, lease := suspectedUpstream(t)
	lease.Done(Neutral)
	lease.ReportNotConnected()
	lease.ReportNotConnected()
	if lease.InService() {
		t.Error("a request that takes no place is sent")
	}
	if got := placementsByUpstream(p, 200); got["a"] != 7 {
		t.Errorf("placements by upstream: %v", got)
	}
}
