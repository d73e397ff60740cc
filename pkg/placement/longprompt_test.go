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

// requestKind is one kind of request of the simulated load: an assistant that drafts summaries
// of long histories, answers short questions and tags documents. The figures are those that its
// operators published; sizes follow a log-normal distribution, as theirs have a long tail.
type requestKind struct {
	perSecond           float64
	shared, own         int64 // tokens
	spread              float64
	maxOwn              int64
	events              int
	objective, maxPause time.Duration
	sessions, template  uint64
}

var requestKinds = []requestKind{
	{14.1, 4870, 6610, 1.4, 54_600, 76, time.Second, 300 * time.Millisecond, 53, 512},
	{47.8, 79, 628, 1.0, 3_310, 58, 400 * time.Millisecond, 300 * time.Millisecond, 180, 119},
	{27.4, 227, 1800, 1.3, 6_870, 5, 400 * time.Millisecond, 300 * time.Millisecond, 155, 341},
}

var engineConfig = emulator.EngineConfig{
	MaxRunning: 64, MinStepTime: 4230 * time.Microsecond, StepTimePerKToken: 9 * time.Microsecond,
	PrefillTokensPerMs: 64.2, TimePerMPairs: 647 * time.Microsecond, MaxChunkTokens: 2048,
	TokensPerEvent: 5, CacheTokens: 490_000,
}

// simulation runs engines and the instances that choose among them, and counts late streams.
type simulation struct {
	simulator *emulator.Simulator
	engines   map[string]*emulator.Engine
	pools     []*placement.Pool
	rng       *rand.Rand
	dedicated bool
	// late and total count streams by whether their prompts are long.
	late, total map[bool]int
}

const (
	numEngines, numInstances = 12, 4
	simulatedTime            = 60 * time.Second
	// longTokens is the size above which the results count a prompt as long.
	longTokens = 25_000
)

func newSimulation(seed uint64, dedicated bool) *simulation {
	l := &simulation{
		simulator: &emulator.Simulator{},
		engines:   map[string]*emulator.Engine{},
		rng:       rand.New(rand.NewPCG(seed, 5)),
		dedicated: dedicated,
		late:      map[bool]int{},
		total:     map[bool]int{},
	}
	var list []registry.Upstream
	for n := range numEngines {
		id := fmt.Sprintf("e%02d", n)
		l.engines[id] = &emulator.Engine{EngineConfig: engineConfig}
		list = append(list, registry.Upstream{ID: id, Domain: string(rune('a' + n%4))})
	}
	clock := func() time.Time { return time.Unix(1000, 0).Add(l.simulator.Now()) }
	for n := range numInstances {
		p := placement.NewPool(string(rune('a'+n)), clock)
		p.Update(list, true)
		l.pools = append(l.pools, p)
	}
	return l
}

func (l *simulation) run() {
	for _, k := range requestKinds {
		l.scheduleArrivals(k, 0)
	}
	for at := time.Duration(0); at < simulatedTime; at += time.Second {
		l.simulator.Schedule(at, l.exchangeStats)
	}
	l.simulator.Run()
}

// exchangeStats sends each instance's statistics to all others, as heartbeats do.
func (l *simulation) exchangeStats() {
	for n, from := range l.pools {
		for m, to := range l.pools {
			if n != m {
				to.RecordPeerStats(fmt.Sprint(n), from.PrefillStats())
			}
		}
	}
}

// scheduleArrivals schedules the requests of one kind as a Poisson process.
func (l *simulation) scheduleArrivals(k requestKind, at time.Duration) {
	at += time.Duration(l.rng.ExpFloat64() / k.perSecond * float64(time.Second))
	if at >= simulatedTime {
		return
	}
	l.simulator.Schedule(at, func() {
		l.send(k)
		l.scheduleArrivals(k, at)
	})
}

func (l *simulation) send(k requestKind) {
	session := 1 + l.rng.Uint64N(k.sessions)
	own := float64(k.own) * math.Exp(k.spread*l.rng.NormFloat64()-k.spread*k.spread/2)
	parts := []placement.Part{
		{ID: k.template, Tokens: int64(k.template)},
		{ID: k.template<<32 + session, Tokens: k.shared},
		{ID: l.rng.Uint64(), Tokens: min(max(int64(own), 16), k.maxOwn)},
	}
	req := &placement.Request{Parts: parts}
	for _, part := range parts {
		req.PromptTokens += part.Tokens
	}
	if l.dedicated {
		req.MaxPause, req.TokensPerEvent = k.maxPause, engineConfig.TokensPerEvent
	}
	instance := max(l.rng.IntN(10)-6, 0) // seven of ten requests arrive at the first instance
	l.start(k, req, l.pools[instance%numInstances].Choose(req))
}

func (l *simulation) start(k requestKind, req *placement.Request, lease *placement.Lease) {
	engine := l.engines[lease.ID]
	r := &emulator.Request{PromptTokens: req.PromptTokens, NumEvents: k.events}
	for _, part := range req.Parts[:2] {
		r.SharedParts = append(r.SharedParts, emulator.Part(part))
	}
	r.OnFirstEvent = func() {
		lease.ReportLoad(engine.Load())
		lease.ReportFirstEvent()
	}
	r.OnEnd = func() {
		lease.Done(placement.Succeeded)
		long := req.PromptTokens > longTokens
		l.total[long]++
		if r.TimeToFirstEvent > k.objective || r.LongestPause > k.maxPause {
			l.late[long]++
		}
	}
	l.simulator.Send(engine, r)
}

// The load is that of an assistant: many short questions, and summaries of histories, one in
// twenty of which has more than 25,000 tokens. While an engine prefills one of these, its other
// streams pause for longer than their clients allow. Without dedicated engines, long prompts
// spread over all engines and delay streams everywhere. With dedicated engines, in proportion
// to the long prompts' share of the prefill work, at least a third fewer streams must be late.
func TestLongPromptsKeepToEnginesOfTheirOwn(t *testing.T) {
	late := map[bool]int{}
	total, longLate := 0, map[bool]int{}
	for seed := uint64(1); seed <= 3; seed++ {
		for _, dedicated := range []bool{false, true} {
			l := newSimulation(seed, dedicated)
			l.run()
			late[dedicated] += l.late[false]
			longLate[dedicated] += l.late[true]
			total += l.total[false]
		}
	}
	t.Logf("late of %d streams with shorter prompts: %d without and %d with dedicated engines; late with long prompts: %d and %d",
		total/2, late[false], late[true], longLate[false], longLate[true])
	if late[true]*3 > late[false]*2 {
		t.Errorf("%d streams were late with dedicated engines, %d without; want at least a third fewer", late[true], late[false])
	}
}

// No prompt counts as long, so no engine may be dedicated to long prompts.
func TestNoEngineIsSetApartWithoutLongPrompts(t *testing.T) {
	saved := requestKinds
	defer func() { requestKinds = saved }()
	requestKinds = saved[1:]
	l := newSimulation(4, true)
	l.run()
	for _, p := range l.pools {
		if r := p.PrefillStats(); r.LongTokens > 0 {
			t.Errorf("%.0f of %.0f tokens count as long", r.LongTokens, r.TotalTokens)
		}
	}
}
