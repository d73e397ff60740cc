package experiment

import (
	"math/rand/v2"
	"time"
)

// faultState is the part that the baselines share: the network links that are down, the faults of
// the store, and the virtual time.
type faultState struct {
	instances  int
	linksDown  map[[2]int]bool
	storeDown  bool
	storeSlow  bool
	storeCalls int64
	now        time.Duration
}

func newFaults(d Deployment) faultState {
	return faultState{instances: d.Instances, linksDown: map[[2]int]bool{}}
}

func (f *faultState) tick(now time.Duration)              { f.now = now }
func (f *faultState) setPaused(int, bool)                 {}
func (f *faultState) setLinkDown(from, to int, down bool) { f.linksDown[[2]int{from, to}] = down }
func (f *faultState) numStoreCalls() int64                { return f.storeCalls }
func (f *faultState) connected(a, b int) bool {
	return !f.linksDown[[2]int{a, b}] && !f.linksDown[[2]int{b, a}]
}
func (f *faultState) inDoubt() int64 { return 0 }
func (f *faultState) setStoreFaults(down, slow bool, _ float64) {
	f.storeDown, f.storeSlow = down, slow
}
func (f *faultState) storeAvailable() bool { return !f.storeDown && !f.storeSlow }

// baselineReservation is a reservation of a baseline policy.
type baselineReservation struct {
	account, instance int
	maxTokens         int64
}

// equalSplit gives each instance a fixed, equal share of each budget. A crash strands the share,
// since nobody knows how much of it was spent.
type equalSplit struct {
	faultState
	prepaid  []int64
	shares   [][]int64
	stranded []int64
	restarts []int
}

func newEqualSplit(d Deployment, prepaid []int64, _ *rand.Rand) fleet {
	s := &equalSplit{
		faultState: newFaults(d),
		prepaid:    append([]int64(nil), prepaid...),
		stranded:   make([]int64, len(prepaid)),
		restarts:   make([]int, d.Instances),
	}
	for range d.Instances {
		share := make([]int64, len(prepaid))
		for n, tokens := range prepaid {
			share[n] = tokens / int64(d.Instances)
		}
		s.shares = append(s.shares, share)
	}
	return s
}

type splitReservation struct {
	baselineReservation
	restarts int
}

func (s *equalSplit) reserve(instance, n int, maxTokens int64) (reservation, bool) {
	if s.shares[instance][n] < maxTokens {
		return nil, false
	}
	s.shares[instance][n] -= maxTokens
	return splitReservation{baselineReservation{account: n, instance: instance, maxTokens: maxTokens}, s.restarts[instance]}, true
}

func (s *equalSplit) settle(_ int, res reservation, used int64) {
	h := res.(splitReservation)
	if s.restarts[h.instance] == h.restarts {
		s.shares[h.instance][h.account] += h.maxTokens - used
	}
}

func (s *equalSplit) topUp(prepaid []int64) {
	for n, tokens := range prepaid {
		more := (tokens - s.prepaid[n]) / int64(s.instances)
		for _, share := range s.shares {
			share[n] += more
		}
		s.prepaid[n] = tokens
	}
}

func (s *equalSplit) crash(instance int) {
	s.restarts[instance]++
	for n, rest := range s.shares[instance] {
		s.stranded[n] += rest
		s.shares[instance][n] = 0
	}
}

func (s *equalSplit) inDoubt() int64 {
	var doubt int64
	for _, tokens := range s.stranded {
		doubt += tokens
	}
	return doubt
}

// perRequest reserves tokens for each request by a write to the store. A crash strands only the
// reservations of running requests.
type perRequest struct {
	faultState
	free    []int64
	prepaid []int64
}

func newPerRequest(d Deployment, prepaid []int64, _ *rand.Rand) fleet {
	return &perRequest{
		faultState: newFaults(d),
		free:       append([]int64(nil), prepaid...),
		prepaid:    append([]int64(nil), prepaid...),
	}
}

func (p *perRequest) reserve(_, n int, maxTokens int64) (reservation, bool) {
	p.storeCalls += 2
	if !p.storeAvailable() || p.free[n] < maxTokens {
		return nil, false
	}
	p.free[n] -= maxTokens
	return baselineReservation{account: n, maxTokens: maxTokens}, true
}

func (p *perRequest) settle(_ int, res reservation, used int64) {
	p.storeCalls += 2
	h := res.(baselineReservation)
	p.free[h.account] += h.maxTokens - used // succeeds even in a store outage, which favors this baseline
}

func (p *perRequest) topUp(prepaid []int64) {
	for n, tokens := range prepaid {
		p.free[n] += tokens - p.prepaid[n]
		p.prepaid[n] = tokens
	}
}

func (p *perRequest) crash(int) {}

// homeRecoveryTime is how long an account's home instance is unavailable after a crash. Its state
// is then recovered completely, which favors this baseline.
const homeRecoveryTime = 10 * time.Second

// home keeps each account's budget in the memory of one instance.
type home struct {
	faultState
	free        []int64
	prepaid     []int64
	recoveredAt []time.Duration
	paused      []bool
}

func newHome(d Deployment, prepaid []int64, _ *rand.Rand) fleet {
	return &home{
		faultState:  newFaults(d),
		free:        append([]int64(nil), prepaid...),
		prepaid:     append([]int64(nil), prepaid...),
		recoveredAt: make([]time.Duration, d.Instances),
		paused:      make([]bool, d.Instances),
	}
}

func (h *home) reserve(instance, n int, maxTokens int64) (reservation, bool) {
	at := n % h.instances
	if h.paused[at] || h.now < h.recoveredAt[at] || !h.connected(instance, at) || h.free[n] < maxTokens {
		return nil, false
	}
	h.free[n] -= maxTokens
	return baselineReservation{account: n, maxTokens: maxTokens}, true
}

func (h *home) settle(_ int, res reservation, used int64) {
	r := res.(baselineReservation)
	h.free[r.account] += r.maxTokens - used
}

func (h *home) topUp(prepaid []int64) {
	for n, tokens := range prepaid {
		h.free[n] += tokens - h.prepaid[n]
		h.prepaid[n] = tokens
	}
}

func (h *home) crash(instance int)                  { h.recoveredAt[instance] = h.now + homeRecoveryTime }
func (h *home) setPaused(instance int, paused bool) { h.paused[instance] = paused }

// shareInterval is how often the instances of countAfterwards exchange their usage.
const shareInterval = 5 * time.Second

// countAfterwards admits requests while the known usage is below the prepaid tokens, and counts
// the cost of a request when it has ended, as existing gateways do.
type countAfterwards struct {
	faultState
	prepaid    []int64
	ownUsage   [][]int64   // by instance and account
	seenUsage  [][][]int64 // by reader, writer and account
	lastShared time.Duration
}

func newCountAfterwards(d Deployment, prepaid []int64, _ *rand.Rand) fleet {
	a := &countAfterwards{faultState: newFaults(d), prepaid: append([]int64(nil), prepaid...)}
	for range d.Instances {
		a.ownUsage = append(a.ownUsage, make([]int64, len(prepaid)))
		var seen [][]int64
		for range d.Instances {
			seen = append(seen, make([]int64, len(prepaid)))
		}
		a.seenUsage = append(a.seenUsage, seen)
	}
	return a
}

func (a *countAfterwards) reserve(instance, n int, maxTokens int64) (reservation, bool) {
	total := a.ownUsage[instance][n]
	for other := range a.ownUsage {
		if other != instance {
			total += a.seenUsage[instance][other][n]
		}
	}
	return baselineReservation{account: n, instance: instance, maxTokens: maxTokens}, total < a.prepaid[n]
}

func (a *countAfterwards) settle(_ int, res reservation, used int64) {
	h := res.(baselineReservation)
	a.ownUsage[h.instance][h.account] += used
}

func (a *countAfterwards) tick(now time.Duration) {
	a.faultState.tick(now)
	if now-a.lastShared < shareInterval {
		return
	}
	a.lastShared = now
	for reader := range a.ownUsage {
		for writer := range a.ownUsage {
			if a.connected(reader, writer) {
				copy(a.seenUsage[reader][writer], a.ownUsage[writer])
			}
		}
	}
}

func (a *countAfterwards) topUp(prepaid []int64) { a.prepaid = append([]int64(nil), prepaid...) }
func (a *countAfterwards) crash(int)             {}
