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

func conversation(session uint64, own int64) *Want {
	return &Want{Parts: []Part{{ID: 1, Tokens: 2500}, {ID: session, Tokens: 3800}, {ID: session * 1000, Tokens: own}}, PromptTokens: 6300 + own}
}

// Requests of one conversation come in at different instances. All of them choose
// the same engine without talk, so that its history is read once; conversations
// spread over the engines.
func TestInstancesAgreeOnAConversationsEngine(t *testing.T) {
	list := engines(9, "a", "b", "c")
	var pools []*Pool
	for range 4 {
		p, _ := newTestPool(true, list)
		pools = append(pools, p)
	}
	used := map[string]int{}
	for session := uint64(10); session < 210; session++ {
		chosen := map[string]bool{}
		for _, p := range pools {
			place := p.Choose(conversation(session, 500))
			chosen[place.ID] = true
			used[place.ID]++
			place.Done(Succeeded)
		}
		if len(chosen) != 1 {
			t.Fatalf("conversation %d is split over %v", session, chosen)
		}
	}
	for id, count := range used {
		if count > 4*200/9*2 {
			t.Errorf("%s has %d of 800 requests", id, count)
		}
	}
}

// Many requests of one conversation come at once. Its engine does not get them
// all: when those that wait there cost more than reading the history anew, others
// take them.
func TestHotConversationSpills(t *testing.T) {
	p, _ := newTestPool(true, engines(9, "a", "b", "c"))
	used := map[string]int{}
	for range 60 {
		used[p.Choose(conversation(42, 3000)).ID]++
	}
	if len(used) < 4 {
		t.Errorf("60 requests at once went to %v", used)
	}
}

// One upstream fails what it gets. After a few failures it gets next to nothing,
// is tried again now and then, and is back in use once it serves.
func TestFailingUpstreamIsAvoidedAndComesBack(t *testing.T) {
	p, c := newTestPool(false, engines(3, "a"))
	share := func(result func(id string) Result) (failing int) {
		for range 200 {
			place := p.Choose(&Want{})
			if place.ID == "e00" {
				failing++
			}
			c.now = c.now.Add(20 * time.Millisecond)
			place.Done(result(place.ID))
		}
		return failing
	}
	broken := func(id string) Result {
		if id == "e00" {
			return Failed
		}
		return Succeeded
	}
	if got := share(broken); got > 20 {
		t.Errorf("the failing one got %d of 200", got)
	}
	sound := func(string) Result { return Succeeded }
	share(sound)
	share(sound)
	if got := share(sound); got < 20 {
		t.Errorf("the recovered one got %d of 200", got)
	}
}

// All upstreams have just failed. A request still goes to one: a refusal would be
// sure to serve nobody.
func TestAllAvoidedStillServes(t *testing.T) {
	p, _ := newTestPool(false, engines(2, "a"))
	for range 6 {
		p.Choose(&Want{}).Done(Failed)
	}
	if p.Choose(&Want{}) == nil {
		t.Error("nothing was chosen")
	}
}

// Upstreams in use are told apart by what they report, and the own failure domain
// is preferred among equals only.
func TestLoadBeforeDomain(t *testing.T) {
	p, _ := newTestPool(false, engines(2, "a", "b"))
	near := p.Choose(&Want{})
	if near.Domain != "a" {
		t.Fatalf("an idle one in domain %s was chosen", near.Domain)
	}
	near.Report(6, 4)
	if far := p.Choose(&Want{}); far.Domain != "b" {
		t.Error("a full one was chosen for its domain")
	}
}

// A request that failed at one upstream goes to another; when all were tried
// there is none.
func TestTriedUpstreamsArePassedOver(t *testing.T) {
	p, _ := newTestPool(false, engines(2, "a"))
	first := p.Choose(&Want{})
	second := p.Choose(&Want{Tried: []string{first.ID}})
	if second == nil || second.ID == first.ID {
		t.Fatal("the tried one was chosen again")
	}
	if p.Choose(&Want{Tried: []string{first.ID, second.ID}}) != nil {
		t.Error("a third was found")
	}
}

// The time that one choice among 600 engines takes; the users' largest fleet has
// as many.
func BenchmarkChooseAmong600(b *testing.B) {
	p, _ := newTestPool(true, engines(600, "a", "b", "c"))
	want := conversation(42, 500)
	b.ReportAllocs()
	for b.Loop() {
		p.Choose(want).Done(Succeeded)
	}
}

// An engine starts again under its id. It holds no conversation's history any more, and the
// failures of the process before say nothing of it.
func TestRestartedUpstreamBeginsWithNothing(t *testing.T) {
	list := engines(2, "a")
	p, _ := newTestPool(true, list)
	for range 6 {
		place := p.Choose(conversation(42, 500))
		p.Choose(&Want{Tried: []string{place.ID}}).Done(Failed)
		place.Done(Succeeded)
	}
	for i := range list {
		list[i].Born = 7
	}
	p.Update(list, true)
	for id, s := range p.states {
		if len(s.cached) > 0 || s.failures > 0 || s.failing > 0 || s.inFlight > 0 {
			t.Errorf("%s is remembered: %+v", id, s)
		}
	}
}

// Requests are under way at an engine when it starts again under its id. Their end, which
// comes later, says nothing of the new process.
func TestEndOfARequestAtTheProcessBefore(t *testing.T) {
	list := engines(1, "a")
	p, _ := newTestPool(true, list)
	before := p.Choose(conversation(42, 500))
	list[0].Born = 7
	p.Update(list, true)
	before.Report(64, 100)
	before.Done(Failed)
	if s := p.states["e00"]; s.failures != 0 || s.inFlight != 0 || s.pending != 0 || s.waiting != 0 {
		t.Errorf("the new process is charged: %+v", s)
	}
}
