package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/registry"
)

type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func engines(count int, domains ...string) []registry.Upstream {
	var list []registry.Upstream
	for n := range count {
		list = append(list, registry.Upstream{ID: fmt.Sprintf("e%02d", n), Service: "s", Domain: domains[n%len(domains)]})
	}
	return list
}

func newTestPool(engine bool, upstreams []registry.Upstream) (*Pool, *clock) {
	c := &clock{now: time.Unix(100, 0)}
	p := NewPool("a", c.read)
	p.Update(upstreams, engine)
	return p, c
}

func conversation(session uint64, own int64) *Request {
	return &Request{Parts: []Part{{ID: 1, Tokens: 2500}, {ID: session, Tokens: 3800}, {ID: session * 1000, Tokens: own}}, PromptTokens: 6300 + own}
}

// Requests of one conversation arrive at different instances. All instances must choose
// the same engine without communication, so that its history is prefilled once, and
// conversations must spread over the engines.
func TestInstancesAgreeOnAConversationsEngine(t *testing.T) {
	list := engines(9, "a", "b", "c")
	var pools []*Pool
	for range 4 {
		p, _ := newTestPool(true, list)
		pools = append(pools, p)
	}
	requests := map[string]int{}
	for session := uint64(10); session < 210; session++ {
		chosen := map[string]bool{}
		for _, p := range pools {
			lease := p.Choose(conversation(session, 500))
			chosen[lease.ID] = true
			requests[lease.ID]++
			lease.Done(Succeeded)
		}
		if len(chosen) != 1 {
			t.Fatalf("conversation %d is split over %v", session, chosen)
		}
	}
	for id, count := range requests {
		if count > 4*200/9*2 {
			t.Errorf("%s has %d of 800 requests", id, count)
		}
	}
}

// Many requests of one conversation arrive at once. When the requests waiting at its
// engine cost more than prefilling the history again, other engines must take the rest.
func TestHotConversationSpills(t *testing.T) {
	p, _ := newTestPool(true, engines(9, "a", "b", "c"))
	requests := map[string]int{}
	for range 60 {
		requests[p.Choose(conversation(42, 3000)).ID]++
	}
	if len(requests) < 4 {
		t.Errorf("60 requests at once went to %v", requests)
	}
}

// One upstream fails all its requests. After a few failures it must get almost none,
// be retried from time to time, and return to use once it succeeds.
func TestFailingUpstreamIsAvoidedAndComesBack(t *testing.T) {
	p, c := newTestPool(false, engines(3, "a"))
	requestsToFailing := func(result func(id string) Result) (failing int) {
		for range 200 {
			lease := p.Choose(&Request{})
			if lease.ID == "e00" {
				failing++
			}
			c.now = c.now.Add(20 * time.Millisecond)
			lease.Done(result(lease.ID))
		}
		return failing
	}
	failE00 := func(id string) Result {
		if id == "e00" {
			return Failed
		}
		return Succeeded
	}
	if got := requestsToFailing(failE00); got > 20 {
		t.Errorf("the failing upstream got %d of 200 requests", got)
	}
	succeed := func(string) Result { return Succeeded }
	requestsToFailing(succeed)
	requestsToFailing(succeed)
	if got := requestsToFailing(succeed); got < 20 {
		t.Errorf("the recovered upstream got %d of 200 requests", got)
	}
}

// Guards against refused requests when all upstreams have just failed: a request must
// still be sent to one of them, since one that may have recovered is better than none.
func TestAllAvoidedStillServes(t *testing.T) {
	p, _ := newTestPool(false, engines(2, "a"))
	for range 6 {
		p.Choose(&Request{}).Done(Failed)
	}
	if p.Choose(&Request{}) == nil {
		t.Error("no upstream was chosen while all are avoided")
	}
}

// Upstreams are ranked by reported load; the instance's own failure domain is preferred
// only among equally loaded ones.
func TestLoadBeforeDomain(t *testing.T) {
	p, _ := newTestPool(false, engines(2, "a", "b"))
	local := p.Choose(&Request{})
	if local.Domain != "a" {
		t.Fatalf("an idle upstream in domain %s was chosen, want domain a", local.Domain)
	}
	local.ReportLoad(6, 4)
	if remote := p.Choose(&Request{}); remote.Domain != "b" {
		t.Error("a full upstream was chosen because of its domain")
	}
}

// A request that failed at one upstream must go to another; when all were tried, none is
// left.
func TestTriedUpstreamsArePassedOver(t *testing.T) {
	p, _ := newTestPool(false, engines(2, "a"))
	first := p.Choose(&Request{})
	second := p.Choose(&Request{Tried: []string{first.ID}})
	if second == nil || second.ID == first.ID {
		t.Fatal("an upstream in Tried was chosen again")
	}
	if p.Choose(&Request{Tried: []string{first.ID, second.ID}}) != nil {
		t.Error("an upstream was chosen though all were tried")
	}
}

// Measures one choice among 600 engines, the size of the largest known fleet.
func BenchmarkChooseAmong600(b *testing.B) {
	p, _ := newTestPool(true, engines(600, "a", "b", "c"))
	req := conversation(42, 500)
	b.ReportAllocs()
	for b.Loop() {
		p.Choose(req).Done(Succeeded)
	}
}

// An engine restarts under the same id. Its cache must count as empty, and failures of the
// earlier process must not count against it.
func TestRestartedUpstreamBeginsWithNothing(t *testing.T) {
	list := engines(2, "a")
	p, _ := newTestPool(true, list)
	for range 6 {
		lease := p.Choose(conversation(42, 500))
		p.Choose(&Request{Tried: []string{lease.ID}}).Done(Failed)
		lease.Done(Succeeded)
	}
	for i := range list {
		list[i].Born = 7
	}
	p.Update(list, true)
	for id, s := range p.states {
		if len(s.partSentAt) > 0 || s.consecutiveFailures > 0 || s.failureRate > 0 || s.inFlight > 0 {
			t.Errorf("%s keeps state of the earlier process: %+v", id, s)
		}
	}
}

// Requests are in flight at an engine when it restarts under the same id. Their later end must
// not change the state of the new process.
func TestEndOfARequestAtTheProcessBefore(t *testing.T) {
	list := engines(1, "a")
	p, _ := newTestPool(true, list)
	before := p.Choose(conversation(42, 500))
	list[0].Born = 7
	p.Update(list, true)
	before.ReportLoad(64, 100)
	before.Done(Failed)
	if s := p.states["e00"]; s.consecutiveFailures != 0 || s.inFlight != 0 || s.pendingTokens != 0 || s.waiting != 0 {
		t.Errorf("the end of an earlier request changed the new process: %+v", s)
	}
}

// Guards against an upstream that is avoided although it went on after a silence, and against a silent
// request that counts as two failures.
func TestSilentUpstreamIsAvoidedUntilItGoesOn(t *testing.T) {
	now := time.Unix(0, 0)
	pool := NewPool("near", func() time.Time { return now })
	pool.Update([]registry.Upstream{{ID: "a", Domain: "near"}, {ID: "b", Domain: "far"}}, false)
	atA := &Request{Tried: []string{"b"}}
	first, second := pool.Choose(atA), pool.Choose(atA)
	for range 3 {
		first.ReportSilent()
	}
	if pool.states["a"].avoided(now) {
		t.Error("one silent request counts as several failures")
	}
	second.ReportSilent()
	second.Done(Failed)
	if s := pool.states["a"]; !s.avoided(now) || s.consecutiveFailures != 2 {
		t.Errorf("%d failures after two silent requests", s.consecutiveFailures)
	}
	first.Done(Succeeded)
	if pool.states["a"].avoided(now) {
		t.Error("the upstream is avoided although it went on")
	}
}
