package experiment

import (
	"math/rand/v2"
	"time"
)

// faults is what the baselines' worlds share: who can reach whom, and the store.
type faults struct {
	instances  int
	cuts       map[[2]int]bool
	storeDown  bool
	storeSlow  bool
	storeCalls int64
	now        time.Duration
}

func newFaults(d Deployment) faults {
	return faults{instances: d.Instances, cuts: map[[2]int]bool{}}
}

func (f *faults) tick(now time.Duration)     { f.now = now }
func (f *faults) pause(int, bool)            {}
func (f *faults) cut(from, to int, cut bool) { f.cuts[[2]int{from, to}] = cut }
func (f *faults) calls() int64               { return f.storeCalls }
func (f *faults) reach(a, b int) bool        { return !f.cuts[[2]int{a, b}] && !f.cuts[[2]int{b, a}] }
func (f *faults) inDoubt() int64             { return 0 }
func (f *faults) store(d, s bool, _ float64) { f.storeDown, f.storeSlow = d, s }
func (f *faults) storeAnswers() bool         { return !f.storeDown && !f.storeSlow }

// held is a reservation of a baseline.
type held struct {
	account, place int
	bound          int64
}

// split gives each instance a fixed equal part of each budget. A crash strands
// the part, since nobody knows how much of it was spent.
type split struct {
	faults
	prepaid  []int64
	parts    [][]int64
	stranded []int64
	restarts []int
}

func newSplit(d Deployment, prepaid []int64, _ *rand.Rand) system {
	s := &split{
		faults:   newFaults(d),
		prepaid:  append([]int64(nil), prepaid...),
		stranded: make([]int64, len(prepaid)),
		restarts: make([]int, d.Instances),
	}
	for range d.Instances {
		part := make([]int64, len(prepaid))
		for n, tokens := range prepaid {
			part[n] = tokens / int64(d.Instances)
		}
		s.parts = append(s.parts, part)
	}
	return s
}

type splitAdmission struct {
	held
	restart int
}

func (s *split) reserve(instance, n int, bound int64) (admission, bool) {
	if s.parts[instance][n] < bound {
		return nil, false
	}
	s.parts[instance][n] -= bound
	return splitAdmission{held{account: n, place: instance, bound: bound}, s.restarts[instance]}, true
}

func (s *split) settle(_ int, t admission, used int64) {
	h := t.(splitAdmission)
	if s.restarts[h.place] == h.restart {
		s.parts[h.place][h.account] += h.bound - used
	}
}

func (s *split) topUp(prepaid []int64) {
	for n, tokens := range prepaid {
		more := (tokens - s.prepaid[n]) / int64(s.instances)
		for _, part := range s.parts {
			part[n] += more
		}
		s.prepaid[n] = tokens
	}
}

func (s *split) crash(instance int) {
	s.restarts[instance]++
	for n, rest := range s.parts[instance] {
		s.stranded[n] += rest
		s.parts[instance][n] = 0
	}
}

func (s *split) inDoubt() int64 {
	var doubt int64
	for _, tokens := range s.stranded {
		doubt += tokens
	}
	return doubt
}

// perRequest reserves each request by a write to the store. A crash strands the
// open reservations only.
type perRequest struct {
	faults
	free []int64
	used []int64
}

func newPerRequest(d Deployment, prepaid []int64, _ *rand.Rand) system {
	return &perRequest{
		faults: newFaults(d),
		free:   append([]int64(nil), prepaid...),
		used:   append([]int64(nil), prepaid...),
	}
}

func (p *perRequest) reserve(_, n int, bound int64) (admission, bool) {
	p.storeCalls += 2
	if !p.storeAnswers() || p.free[n] < bound {
		return nil, false
	}
	p.free[n] -= bound
	return held{account: n, bound: bound}, true
}

func (p *perRequest) settle(_ int, t admission, used int64) {
	p.storeCalls += 2
	h := t.(held)
	p.free[h.account] += h.bound - used // flattered: written even in an outage
}

func (p *perRequest) topUp(prepaid []int64) {
	for n, tokens := range prepaid {
		p.free[n] += tokens - p.used[n]
		p.used[n] = tokens
	}
}

func (p *perRequest) crash(int) {}

// homeAway is how long an account's home is away after a crash; its state is
// recovered perfectly then, which flatters this baseline.
const homeAway = 10 * time.Second

// home keeps each account's budget at one instance in memory.
type home struct {
	faults
	free  []int64
	known []int64
	away  []time.Duration
	down  []bool
}

func newHome(d Deployment, prepaid []int64, _ *rand.Rand) system {
	return &home{
		faults: newFaults(d),
		free:   append([]int64(nil), prepaid...),
		known:  append([]int64(nil), prepaid...),
		away:   make([]time.Duration, d.Instances),
		down:   make([]bool, d.Instances),
	}
}

func (h *home) reserve(instance, n int, bound int64) (admission, bool) {
	at := n % h.instances
	if h.down[at] || h.now < h.away[at] || !h.reach(instance, at) || h.free[n] < bound {
		return nil, false
	}
	h.free[n] -= bound
	return held{account: n, bound: bound}, true
}

func (h *home) settle(_ int, t admission, used int64) {
	r := t.(held)
	h.free[r.account] += r.bound - used
}

func (h *home) topUp(prepaid []int64) {
	for n, tokens := range prepaid {
		h.free[n] += tokens - h.known[n]
		h.known[n] = tokens
	}
}

func (h *home) crash(instance int)              { h.away[instance] = h.now + homeAway }
func (h *home) pause(instance int, paused bool) { h.down[instance] = paused }

// shareEvery is how often instances that count afterwards tell each other.
const shareEvery = 5 * time.Second

// afterwards admits while the known total is below what was prepaid, and counts
// what a request cost when it is over, as the known gateways do.
type afterwards struct {
	faults
	prepaid []int64
	own     [][]int64   // by instance and account
	seen    [][][]int64 // by reader, writer and account
	shared  time.Duration
}

func newAfterwards(d Deployment, prepaid []int64, _ *rand.Rand) system {
	a := &afterwards{faults: newFaults(d), prepaid: append([]int64(nil), prepaid...)}
	for range d.Instances {
		a.own = append(a.own, make([]int64, len(prepaid)))
		var seen [][]int64
		for range d.Instances {
			seen = append(seen, make([]int64, len(prepaid)))
		}
		a.seen = append(a.seen, seen)
	}
	return a
}

func (a *afterwards) reserve(instance, n int, bound int64) (admission, bool) {
	total := a.own[instance][n]
	for other := range a.own {
		if other != instance {
			total += a.seen[instance][other][n]
		}
	}
	return held{account: n, place: instance, bound: bound}, total < a.prepaid[n]
}

func (a *afterwards) settle(_ int, t admission, used int64) {
	h := t.(held)
	a.own[h.place][h.account] += used
}

func (a *afterwards) tick(now time.Duration) {
	a.faults.tick(now)
	if now-a.shared < shareEvery {
		return
	}
	a.shared = now
	for reader := range a.own {
		for writer := range a.own {
			if a.reach(reader, writer) {
				copy(a.seen[reader][writer], a.own[writer])
			}
		}
	}
}

func (a *afterwards) topUp(prepaid []int64) { a.prepaid = append([]int64(nil), prepaid...) }
func (a *afterwards) crash(int)             {}
