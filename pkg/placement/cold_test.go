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
