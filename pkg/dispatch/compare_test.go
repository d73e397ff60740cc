package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/document"
)

// Parameters of the simulation. The numbers of instances and engines are those of the
// deployment in Betuwe-Oost.
const (
	simInstances          = 8
	simEngines            = 20
	simSlots              = 8
	simDomains            = 4
	simRequests           = 20_000
	simPrefixes           = 60
	simReportInterval     = 200 * time.Millisecond
	simFirstTokenDeadline = 10 * time.Second
	// simNoFirstToken is recorded for a request that never got its first token.
	simNoFirstToken = time.Hour
	// pollsPerSecond is the number of engines that an instance queries for their load per second.
	pollsPerSecond = 16
	// simPrefill and simCachedPrefill are the times to the first token without and with a cached prefix.
	simPrefill           = 400 * time.Millisecond
	simCachedPrefill     = 100 * time.Millisecond
	simMaxCachedPrefixes = 8 // per engine
)

// chooser chooses the engine for a request at an instance.
type chooser interface {
	choose(s *simulation, instance int, prefix uint64) int
	reportLoad(s *simulation, instance, engine int)
	done(s *simulation, instance, engine int, failed bool)
}

// simEngine simulates an engine with slots, a queue and a prefix cache.
type simEngine struct {
	running      int
	queue        []*simRequest
	cached       []uint64
	slowdown     float64
	crashed      bool
	reportedLoad int
}

type simRequest struct {
	arrived  time.Duration
	instance int
	engine   int
	prefix   uint64
	work     time.Duration
	attempts int
}

type simEvent struct {
	at  time.Duration
	run func()
	seq int
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation runs one chooser on one seeded workload in virtual time.
type simulation struct {
	now             time.Duration
	events          simEvents
	seq             int
	engines         []*simEngine
	chooser         chooser
	firstTokenTimes []time.Duration
	numLate         int
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + delay, run: run, seq: s.seq})
}

func (s *simulation) run() {
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
}

// send sends a request to the chosen engine. A crashed engine fails it after 50 ms, and the
// instance tries again, five times in all.
func (s *simulation) send(r *simRequest) {
	r.engine = s.chooser.choose(s, r.instance, r.prefix)
	e := s.engines[r.engine]
	if e.crashed {
		s.after(50*time.Millisecond, func() {
			s.chooser.done(s, r.instance, r.engine, true)
			if r.attempts++; r.attempts < 5 {
				s.send(r)
				return
			}
			s.numLate++
			s.firstTokenTimes = append(s.firstTokenTimes, simNoFirstToken)
		})
		return
	}
	if e.running == simSlots {
		e.queue = append(e.queue, r)
		return
	}
	s.start(e, r)
}

func (s *simulation) start(e *simEngine, r *simRequest) {
	e.running++
	prefill := simPrefill
	if e.useCached(r.prefix) {
		prefill = simCachedPrefill
	}
	prefill = time.Duration(float64(prefill) * e.slowdown)
	work := time.Duration(float64(r.work) * e.slowdown)
	s.chooser.reportLoad(s, r.instance, r.engine)
	s.after(prefill, func() {
		firstTokenTime := s.now - r.arrived
		s.firstTokenTimes = append(s.firstTokenTimes, firstTokenTime)
		if firstTokenTime > simFirstTokenDeadline {
			s.numLate++
		}
	})
	s.after(prefill+work, func() {
		e.running--
		s.chooser.done(s, r.instance, r.engine, false)
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			s.start(e, next)
		}
	})
}

// useCached reports whether the engine has the prefix in its cache, and makes it the most
// recently used entry.
func (e *simEngine) useCached(prefix uint64) bool {
	for i, cached := range e.cached {
		if cached == prefix {
			e.cached = append(append(e.cached[:i:i], e.cached[i+1:]...), prefix)
			return true
		}
	}
	e.cached = append(e.cached, prefix)
	if len(e.cached) > simMaxCachedPrefixes {
		e.cached = e.cached[1:]
	}
	return false
}

// randomChoice and leastReported are the baselines: a random engine, and the engine with
// the least reported load.
type randomChoice struct{ rng *rand.Rand }

func (c randomChoice) choose(*simulation, int, uint64) int { return c.rng.IntN(simEngines) }
func (c randomChoice) reportLoad(*simulation, int, int)    {}
func (c randomChoice) done(*simulation, int, int, bool)    {}

type leastReported struct{ rng *rand.Rand }

func (c leastReported) choose(s *simulation, _ int, _ uint64) int {
	best, start := -1, c.rng.IntN(simEngines)
	for i := range simEngines {
		n := (start + i) % simEngines
		if best < 0 || s.engines[n].reportedLoad < s.engines[best].reportedLoad {
			best = n
		}
	}
	return best
}
func (c leastReported) reportLoad(*simulation, int, int) {}
func (c leastReported) done(*simulation, int, int, bool) {}

// poolChooser runs the code under test, a Pool for each instance.
type poolChooser struct {
	pools  []*Pool
	leases map[[2]int][]*Lease
}

func newPoolChooser(s *simulation, seed uint64) *poolChooser {
	c := &poolChooser{leases: map[[2]int][]*Lease{}}
	epoch := time.Unix(0, 0)
	doc := &document.Pool{MaxConcurrent: 1 << 20}
	for n := range simEngines {
		doc.Upstreams = append(doc.Upstreams, document.Upstream{
			Name: fmt.Sprint(n), Domain: domainName(n), State: document.StateInService,
		})
	}
	for i := range simInstances {
		p := NewPool(domainName(i), func() time.Time { return epoch.Add(s.now) })
		p.rng = rand.New(rand.NewPCG(seed, uint64(i)))
		p.Update(doc)
		c.pools = append(c.pools, p)
	}
	return c
}

func domainName(n int) string { return string(rune('a' + n%simDomains)) }

func (c *poolChooser) choose(_ *simulation, instance int, prefix uint64) int {
	_, lease, err := c.pools[instance].tryAcquire(Request{Prefix: prefix, StartBy: time.Unix(1<<40, 0)})
	if err != nil || lease == nil {
		panic("Pool granted no lease though the simulation sets no limit")
	}
	engine := 0
	_, _ = fmt.Sscan(lease.Upstream.Name, &engine)
	key := [2]int{instance, engine}
	c.leases[key] = append(c.leases[key], lease)
	return engine
}

func (c *poolChooser) reportLoad(s *simulation, instance, engine int) {
	key := [2]int{instance, engine}
	c.leases[key][0].ReportLoad(float64(s.engines[engine].reportedLoad))
}

// poll reports the load of one engine, each in turn, to all instances.
func (c *poolChooser) poll(s *simulation, n int) {
	engine := n % simEngines
	if s.engines[engine].crashed {
		return
	}
	for _, p := range c.pools {
		p.ReportLoad(fmt.Sprint(engine), float64(s.engines[engine].reportedLoad))
	}
}

func (c *poolChooser) done(s *simulation, instance, engine int, failed bool) {
	key := [2]int{instance, engine}
	lease := c.leases[key][0]
	c.leases[key] = c.leases[key][1:]
	load := float64(s.engines[engine].reportedLoad)
	if failed {
		load = -1
	}
	lease.Done(Result{Failed: failed, Load: load})
}

// simulate runs one workload at the load, given as a fraction of the engines' capacity.
func simulate(load float64, faults bool, seed uint64, newChooser func(*simulation) chooser) *simulation {
	s := &simulation{}
	for range simEngines {
		s.engines = append(s.engines, &simEngine{slowdown: 1})
	}
	capacity := float64(simEngines * simSlots)
	if faults {
		s.engines[3].slowdown = 4
		s.engines[7].crashed = true
		capacity -= simSlots * 1.75
	}
	s.chooser = newChooser(s)
	rng := rand.New(rand.NewPCG(seed, 11))
	const meanWork = 0.75*1.5 + 0.25*8 + 0.25 // seconds, including about 0.25 of prefill
	rate := load * capacity / meanWork
	at := time.Duration(0)
	for range simRequests {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		work := 1.5
		if rng.Float64() < 0.25 {
			work = 8
		}
		r := &simRequest{
			arrived:  at,
			instance: rng.IntN(simInstances),
			prefix:   1 + uint64(rng.IntN(simPrefixes))*0x9E3779B97F4A7C15,
			work:     time.Duration(work * (0.5 + rng.Float64()) * float64(time.Second)),
		}
		s.after(at, func() { s.send(r) })
	}
	s.scheduleReports(at)
	if c, ok := s.chooser.(*poolChooser); ok {
		n := 0
		for poll := time.Duration(0); poll < at; poll += time.Second / pollsPerSecond {
			s.after(poll, func() { c.poll(s, n); n++ })
		}
	}
	s.run()
	return s
}

// scheduleReports schedules the engines' load reports, one every simReportInterval.
func (s *simulation) scheduleReports(end time.Duration) {
	for at := time.Duration(0); at < end; at += simReportInterval {
		s.after(at, func() {
			for _, e := range s.engines {
				e.reportedLoad = e.running + len(e.queue)
			}
		})
	}
}

func (s *simulation) quantile(q float64) time.Duration {
	sorted := append([]time.Duration(nil), s.firstTokenTimes...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(q*float64(len(sorted)-1))]
}

// Users wait for the first token. On the same seeded workload, Pool must keep the 95th
// percentile of that time well below two baselines: random choice, and least reported
// load, which sends all requests to the engine that was idle at the last report. This must
// also hold with one slow and one crashed engine. Virtual time and fixed seeds make the result
// reproducible.
func TestFirstTokenAgainstBaselines(t *testing.T) {
	for _, c := range []struct {
		description string
		load        float64
		faults      bool
	}{
		{"half load", 0.5, false},
		{"90 % load", 0.9, false},
		{"90 % load, one slow, one dead", 0.9, true},
		{"110 % load", 1.1, false},
	} {
		t.Run(c.description, func(t *testing.T) {
			pool := simulate(c.load, c.faults, 1, func(s *simulation) chooser { return newPoolChooser(s, 1) })
			random := simulate(c.load, c.faults, 1, func(*simulation) chooser { return randomChoice{rand.New(rand.NewPCG(1, 1))} })
			least := simulate(c.load, c.faults, 1, func(*simulation) chooser { return leastReported{rand.New(rand.NewPCG(1, 1))} })
			for name, s := range map[string]*simulation{"Pool": pool, "random": random, "least reported": least} {
				t.Logf("%-15s p50 %7v p95 %7v p99 %7v late %d", name, s.quantile(0.5).Round(time.Millisecond),
					s.quantile(0.95).Round(time.Millisecond), s.quantile(0.99).Round(time.Millisecond), s.numLate)
			}
			baseline := min(random.quantile(0.95), least.quantile(0.95))
			if c.load == 0.9 && float64(pool.quantile(0.95)) > 0.8*float64(baseline) {
				t.Errorf("p95 is %v, that of the better baseline %v; want at most 80 %% of it", pool.quantile(0.95), baseline)
			}
		})
	}
}
