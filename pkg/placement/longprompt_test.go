package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/emulator"
	"github.com/lavenderring/lavenderring/pkg/placement"
	"github.com/lavenderring/lavenderring/pkg/registry"
)

// kind is one kind of request of the load: an assistant that drafts summaries of long
// histories, answers short questions and tags documents. The figures are those that its
// operators published; sizes are spread as theirs, with a long tail.
type kind struct {
	perSecond          float64
	shared, own        int64 // tokens
	spread             float64
	most               int64
	events             int
	objective, pause   time.Duration
	sessions, template uint64
}

var kinds = []kind{
	{14.1, 4870, 6610, 1.4, 54_600, 76, time.Second, 300 * time.Millisecond, 53, 512},
	{47.8, 79, 628, 1.0, 3_310, 58, 400 * time.Millisecond, 300 * time.Millisecond, 180, 119},
	{27.4, 227, 1800, 1.3, 6_870, 5, 400 * time.Millisecond, 300 * time.Millisecond, 155, 341},
}

var engineFigures = emulator.EngineConfig{
	Slots: 64, Step: 4230 * time.Microsecond, PerContext: 9 * time.Microsecond,
	ReadPerMs: 64.2, PairsPerM: 647 * time.Microsecond, Chunk: 2048, Stride: 5, CacheTokens: 490_000,
}

// load is engines, the instances that choose among them, and what became of requests.
type load struct {
	world   *emulator.World
	engines map[string]*emulator.Engine
	pools   []*placement.Pool
	rng     *rand.Rand
	apart   bool
	// late and all count streams by whether they are long.
	late, all map[bool]int
}

const (
	loadEngines, loadInstances = 12, 4
	loadFor                    = 60 * time.Second
	// longTokens tells the largest requests apart in the result only.
	longTokens = 25_000
)

func newLoad(seed uint64, apart bool) *load {
	l := &load{
		world:   &emulator.World{},
		engines: map[string]*emulator.Engine{},
		rng:     rand.New(rand.NewPCG(seed, 5)),
		apart:   apart,
		late:    map[bool]int{},
		all:     map[bool]int{},
	}
	var list []registry.Upstream
	for n := range loadEngines {
		id := fmt.Sprintf("e%02d", n)
		l.engines[id] = &emulator.Engine{EngineConfig: engineFigures}
		list = append(list, registry.Upstream{ID: id, Domain: string(rune('a' + n%4))})
	}
	clock := func() time.Time { return time.Unix(1000, 0).Add(l.world.Now()) }
	for n := range loadInstances {
		p := placement.NewPool(string(rune('a'+n)), clock)
		p.Update(list, true)
		l.pools = append(l.pools, p)
	}
	return l
}

func (l *load) play() {
	for _, k := range kinds {
		l.arrive(k, 0)
	}
	for at := time.Duration(0); at < loadFor; at += time.Second {
		l.world.At(at, l.tell)
	}
	l.world.Run()
}

// tell has the instances exchange what they have learned, as heartbeats do.
func (l *load) tell() {
	for n, from := range l.pools {
		for m, to := range l.pools {
			if n != m {
				to.Learn(fmt.Sprint(n), from.Reading())
			}
		}
	}
}

// arrive plays the arrivals of one kind, at random times. Three of five clients are at the
// first instance.
func (l *load) arrive(k kind, at time.Duration) {
	at += time.Duration(l.rng.ExpFloat64() / k.perSecond * float64(time.Second))
	if at >= loadFor {
		return
	}
	l.world.At(at, func() {
		l.send(k)
		l.arrive(k, at)
	})
}

func (l *load) send(k kind) {
	session := 1 + l.rng.Uint64N(k.sessions)
	own := float64(k.own) * math.Exp(k.spread*l.rng.NormFloat64()-k.spread*k.spread/2)
	parts := []placement.Part{
		{ID: k.template, Tokens: int64(k.template)},
		{ID: k.template<<32 + session, Tokens: k.shared},
		{ID: l.rng.Uint64(), Tokens: min(max(int64(own), 16), k.most)},
	}
	want := &placement.Want{Parts: parts}
	for _, part := range parts {
		want.PromptTokens += part.Tokens
	}
	if l.apart {
		want.Pause, want.TokensPerEvent = k.pause, engineFigures.Stride
	}
	instance := max(l.rng.IntN(10)-6, 0)
	l.run(k, want, l.pools[instance%loadInstances].Choose(want))
}

func (l *load) run(k kind, want *placement.Want, place *placement.Place) {
	engine := l.engines[place.ID]
	r := &emulator.Request{Prompt: want.PromptTokens, Events: k.events}
	for _, part := range want.Parts[:2] {
		r.Shared = append(r.Shared, emulator.Part(part))
	}
	r.OnFirst = func() {
		place.Report(engine.Load())
		place.FirstEvent()
	}
	r.OnEnd = func() {
		place.Done(placement.Succeeded)
		long := want.PromptTokens > longTokens
		l.all[long]++
		if r.FirstAfter > k.objective || r.LongestPause > k.pause {
			l.late[long]++
		}
	}
	l.world.Send(engine, r)
}

// An assistant's load: many short questions, and summaries of histories of which one in
// twenty has more than 25,000 tokens. While one of these is read, the streams beside it stop
// for longer than their clients allow. The choice by cached parts and load alone spreads
// them over all engines, and streams everywhere are late; kept to engines of their own, in
// proportion to their part of the reading, they leave at least a third fewer late.
func TestLongPromptsKeepToEnginesOfTheirOwn(t *testing.T) {
	late := map[bool]int{}
	all, longLate := 0, map[bool]int{}
	for seed := uint64(1); seed <= 3; seed++ {
		for _, apart := range []bool{false, true} {
			l := newLoad(seed, apart)
			l.play()
			late[apart] += l.late[false]
			longLate[apart] += l.late[true]
			all += l.all[false]
		}
	}
	t.Logf("of %d other streams %d are late without, %d with engines apart; long ones %d and %d",
		all/2, late[false], late[true], longLate[false], longLate[true])
	if late[true]*3 > late[false]*2 {
		t.Errorf("%d streams were late, %d where long prompts go anywhere", late[true], late[false])
	}
}

// No prompt takes long to read. No engine is set apart: all serve everybody.
func TestNoEngineIsSetApartWithoutLongPrompts(t *testing.T) {
	saved := kinds
	defer func() { kinds = saved }()
	kinds = saved[1:]
	l := newLoad(4, true)
	l.play()
	for _, p := range l.pools {
		if r := p.Reading(); r.Long > 0 {
			t.Errorf("%.0f of %.0f count as long", r.Long, r.All)
		}
	}
}
