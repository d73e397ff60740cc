package coldlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// engineBound is the bound of the users' model engines.
var engineBound = Bound{PerSecond: 12, Overage: 1.5, Slack: 5}

// simulation is a fleet in virtual time that sends to one cold upstream as fast as it is allowed to.
type simulation struct {
	now    time.Time
	rng    *rand.Rand
	limits []*Limit
	// sides holds the side of the partition of each instance. Only instances on the same side know
	// each other.
	sides       []int
	namesBySide map[int][]string
	sent        []time.Time
}

func newSimulation(size int, seed uint64) *simulation {
	h := &simulation{now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), sides: make([]int, size)}
	h.partition(func(int) int { return 0 })
	for n := range size {
		h.limits = append(h.limits, h.start(n))
	}
	h.observe()
	return h
}

// observe makes all instances record which instances are live, as they do regularly.
func (h *simulation) observe() {
	for _, l := range h.limits {
		l.Observe()
	}
}

// start returns the limit of an instance that has just started and knows no other instances yet.
func (h *simulation) start(n int) *Limit {
	return New(fmt.Sprint("i", n), func() []string { return h.knownNames(n) }, func() time.Time { return h.now })
}

func (h *simulation) knownNames(n int) []string { return h.namesBySide[h.sides[n]] }

// partition makes the instances know only those on their own side.
func (h *simulation) partition(sideOf func(n int) int) {
	h.namesBySide = map[int][]string{}
	for n := range h.sides {
		h.sides[n] = sideOf(n)
		h.namesBySide[h.sides[n]] = append(h.namesBySide[h.sides[n]], fmt.Sprint("i", n))
	}
}

// run sends requests from randomly chosen instances for a time.
func (h *simulation) run(duration time.Duration, perSecond int) {
	pause := time.Second / time.Duration(perSecond)
	for range int(duration / pause) {
		h.now = h.now.Add(pause)
		l := h.limits[h.rng.IntN(len(h.limits))]
		if l.Allows("cold", engineBound) {
			l.Sent("cold")
			h.sent = append(h.sent, h.now.Add(time.Duration(h.rng.Int64N(int64(20*time.Millisecond)))))
		}
	}
}

// worstSecond returns the maximum number of requests that arrived within a second.
func (h *simulation) worstSecond() int {
	worst := 0
	slices.SortFunc(h.sent, time.Time.Compare)
	first := 0
	for i, at := range h.sent {
		for at.Sub(h.sent[first]) >= time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// Guards against instances that each stay within their share but together exceed the bound, under
// partitions with up to maxSides sides, loss of all instances and restarts without knowledge of the
// others, and at a load many times the bound.
func TestAllInstancesTogetherStayWithinTheBound(t *testing.T) {
	for _, size := range []int{1, 2, 7, 90, 300} {
		worst := 0
		for seed := range uint64(20) {
			h := newSimulation(size, seed)
			h.run(time.Second, 400)
			for range 3 {
				numSides := 1 + h.rng.IntN(maxSides)
				h.partition(func(int) int { return h.rng.IntN(numSides) })
				if h.rng.IntN(2) == 0 {
					for n := range h.limits {
						h.limits[n] = h.start(n) // all instances restart and know only their side
					}
				}
				h.observe()
				h.run(time.Duration(500+h.rng.IntN(1500))*time.Millisecond, 1000)
			}
			worst = max(worst, h.worstSecond())
		}
		if worst > engineBound.MaxRequests() {
			t.Errorf("%d instances: %d requests in a second, %d allowed", size, worst, engineBound.MaxRequests())
		}
		t.Logf("%d instances: %d requests in the worst second", size, worst)
	}
}

// Guards against a bound of which hardly anything is used: a cold upstream must receive part of its load
// all the time.
func TestColdUpstreamGetsWork(t *testing.T) {
	for _, size := range []int{1, 7, 90, 300} {
		h := newSimulation(size, 1)
		h.run(10*time.Second, 2000)
		if len(h.sent) < 50 {
			t.Errorf("%d instances: %d requests in 10 s", size, len(h.sent))
		}
	}
}

// Guards against an instance that loses its rank when it is no longer seen: the sides of a partition
// would then choose different senders.
func TestSilentInstancesKeepTheirRank(t *testing.T) {
	h := newSimulation(90, 1)
	h.run(2*time.Second, 400)
	h.partition(func(n int) int { return n }) // no instance sees any other
	before := len(h.sent)
	h.run(time.Second, 4000)
	if got := len(h.sent) - before; got > engineBound.MaxRequests()/maxSides+1 {
		t.Errorf("%d requests in the second after the partition", got)
	}
}

func TestNoBoundAllowsEverything(t *testing.T) {
	l := New("a", func() []string { return nil }, time.Now)
	for range 1000 {
		if !l.Allows("u", Bound{}) {
			t.Fatal("request refused without a bound")
		}
		l.Sent("u")
	}
}

func BenchmarkAllows(b *testing.B) {
	h := newSimulation(300, 1)
	for b.Loop() {
		h.limits[0].Allows("cold", engineBound)
	}
}
