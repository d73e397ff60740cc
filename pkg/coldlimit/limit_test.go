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
	s := &simulation{now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), sides: make([]int, size)}
	s.partition(func(int) int { return 0 })
	for n := range size {
		s.limits = append(s.limits, s.start(n))
	}
	s.observe()
	return s
}

// observe makes all instances record which instances are live, as they do regularly.
func (s *simulation) observe() {
	for _, l := range s.limits {
		l.Observe()
	}
}

// start returns the limit of an instance that has just started and knows no other instances yet.
func (s *simulation) start(n int) *Limit {
	return New(fmt.Sprint("i", n), func() []string { return s.knownNames(n) }, func() time.Time { return s.now })
}

func (s *simulation) knownNames(n int) []string { return s.namesBySide[s.sides[n]] }

// partition makes the instances know only those on their own side.
func (s *simulation) partition(sideOf func(n int) int) {
	s.namesBySide = map[int][]string{}
	for n := range s.sides {
		s.sides[n] = sideOf(n)
		s.namesBySide[s.sides[n]] = append(s.namesBySide[s.sides[n]], fmt.Sprint("i", n))
	}
}

// run sends requests from randomly chosen instances for a time.
func (s *simulation) run(duration time.Duration, perSecond int) {
	pause := time.Second / time.Duration(perSecond)
	for range int(duration / pause) {
		s.now = s.now.Add(pause)
		l := s.limits[s.rng.IntN(len(s.limits))]
		if l.Allows("cold", engineBound) {
			l.Sent("cold")
			s.sent = append(s.sent, s.now.Add(time.Duration(s.rng.Int64N(int64(20*time.Millisecond)))))
		}
	}
}

// worstSecond returns the maximum number of requests that arrived within a second.
func (s *simulation) worstSecond() int {
	worst := 0
	slices.SortFunc(s.sent, time.Time.Compare)
	first := 0
	for i, at := range s.sent {
		for at.Sub(s.sent[first]) >= time.Second {
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
			s := newSimulation(size, seed)
			s.run(time.Second, 400)
			for range 3 {
				numSides := 1 + s.rng.IntN(maxSides)
				s.partition(func(int) int { return s.rng.IntN(numSides) })
				if s.rng.IntN(2) == 0 {
					for n := range s.limits {
						s.limits[n] = s.start(n) // all instances restart and know only their side
					}
				}
				s.observe()
				s.run(time.Duration(500+s.rng.IntN(1500))*time.Millisecond, 1000)
			}
			worst = max(worst, s.worstSecond())
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
		s := newSimulation(size, 1)
		s.run(10*time.Second, 2000)
		if len(s.sent) < 50 {
			t.Errorf("%d instances: %d requests in 10 s", size, len(s.sent))
		}
	}
}

// Guards against an instance that loses its rank when it is no longer seen: the sides of a partition
// would then choose different senders.
func TestSilentInstancesKeepTheirRank(t *testing.T) {
	s := newSimulation(90, 1)
	s.run(2*time.Second, 400)
	s.partition(func(n int) int { return n }) // no instance sees any other
	before := len(s.sent)
	s.run(time.Second, 4000)
	if got := len(s.sent) - before; got > engineBound.MaxRequests()/maxSides+1 {
		t.Errorf("%d requests in the second after the partition", got)
	}
}

// Guards against a share that is used up by requests of which nothing was sent, and against taking back another
// request than the one that was not sent.
func TestWhatWasNotSentIsTakenBack(t *testing.T) {
	s := newSimulation(7, 1)
	s.now = s.now.Add(time.Minute)
	l := s.limits[0]
	unsent := l.Sent("cold")
	l.NotSent("cold", unsent)
	if !l.Allows("cold", engineBound) {
		t.Error("what was not sent is counted")
	}
	s.now = s.now.Add(time.Millisecond)
	l.Sent("cold")
	l.NotSent("cold", unsent)
	l.NotSent("other", unsent)
	if l.Allows("cold", engineBound) {
		t.Error("another request was taken back")
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
	s := newSimulation(300, 1)
	for b.Loop() {
		s.limits[0].Allows("cold", engineBound)
	}
}
