package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Result holds the outcome of one run.
type Result struct {
	// Requests is the number of requests that arrived; FalseRefusals the number refused although
	// the account had the tokens that they would really have cost.
	Requests, FalseRefusals int64
	// Overspent is the number of tokens spent beyond the prepaid ones, summed over the accounts.
	Overspent int64
	// Prepaid is the number of tokens prepaid at the end, summed over the accounts.
	Prepaid int64
	// MaxInDoubt is the largest number of tokens in doubt at any second; InDoubtAtEnd is the
	// number at the end.
	MaxInDoubt, InDoubtAtEnd int64
	// StoreCalls is the number of calls to the store.
	StoreCalls int64
	// Duration is the virtual time of the run.
	Duration time.Duration
}

// simulation runs one policy under one scenario.
type simulation struct {
	deployment  Deployment
	fleet       fleet
	duration    time.Duration
	now         time.Duration
	prepaid     []int64
	spent       []int64 // by account: real cost of all admitted requests, running ones included
	paused      []bool
	restarts    []int
	running     runningHeap
	partitioned bool
	toppedUp    bool
	crashes     int
	result      Result
}

// runningRequest is an admitted request. restarts is the restart count of its instance when it was
// admitted; a different count at its end means that the instance has crashed since.
type runningRequest struct {
	endsAt      time.Duration
	instance    int
	restarts    int
	reservation reservation
	cost        int64
}

// runningHeap is a heap of running requests, the one that ends first on top.
type runningHeap []runningRequest

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)        { *h = append(*h, x.(runningRequest)) }
func (h *runningHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Run simulates one seeded workload and scenario under a policy.
func Run(d Deployment, p Policy, s Scenario, duration time.Duration, seed uint64) Result {
	w := newWorkload(d, duration, seed)
	r := &simulation{
		deployment: d,
		fleet:      p.newFleet(d, w.prepaid, rand.New(rand.NewPCG(seed, 5))),
		duration:   duration,
		prepaid:    append([]int64(nil), w.prepaid...),
		spent:      make([]int64, len(w.prepaid)),
		paused:     make([]bool, d.Instances),
		restarts:   make([]int, d.Instances),
	}
	for _, request := range w.requests {
		r.advance(s, request.at)
		r.admit(request)
	}
	r.advance(s, duration)
	return r.collectResult()
}

// advance moves the virtual time forward to a time. Until then it ends requests that are due, and
// each second applies the scenario and ticks the fleet.
func (r *simulation) advance(s Scenario, to time.Duration) {
	for next := r.now.Truncate(time.Second) + time.Second; next <= to; next += time.Second {
		r.endRequestsUntil(next)
		r.now = next
		s.apply(r, float64(next)/float64(r.duration))
		r.fleet.tick(next)
		r.result.MaxInDoubt = max(r.result.MaxInDoubt, r.fleet.inDoubt())
	}
	r.endRequestsUntil(to)
	r.now = to
}

// endRequestsUntil ends the requests that are due. Those of a paused instance end once it resumes.
// Those of a crashed instance are never settled there, although their engines spent the tokens.
func (r *simulation) endRequestsUntil(to time.Duration) {
	var stillPaused []runningRequest
	for len(r.running) > 0 && r.running[0].endsAt <= to {
		done := heap.Pop(&r.running).(runningRequest)
		switch {
		case done.restarts != r.restarts[done.instance]:
		case r.paused[done.instance]:
			done.endsAt = to + time.Second
			stillPaused = append(stillPaused, done)
		default:
			r.fleet.settle(done.instance, done.reservation, done.cost)
		}
	}
	for _, f := range stillPaused {
		heap.Push(&r.running, f)
	}
}

// admit sends a request to an instance and counts it as running or refused.
func (r *simulation) admit(q request) {
	instance := r.pickInstance(q.instanceDraw)
	r.result.Requests++
	res, admitted := r.fleet.reserve(instance, q.account, q.maxTokens)
	if !admitted {
		if r.spent[q.account]+q.cost <= r.prepaid[q.account] {
			r.result.FalseRefusals++
		}
		return
	}
	r.spent[q.account] += q.cost
	heap.Push(&r.running, runningRequest{
		endsAt:      r.now + q.duration,
		instance:    instance,
		restarts:    r.restarts[instance],
		reservation: res,
		cost:        q.cost,
	})
}

// pickInstance chooses among the instances that are not paused, as a load balancer does; x is a
// draw in [0, 1).
func (r *simulation) pickInstance(x float64) int {
	var up []int
	for instance, paused := range r.paused {
		if !paused {
			up = append(up, instance)
		}
	}
	return up[int(x*float64(len(up)))]
}

func (r *simulation) crash(instance int) {
	r.restarts[instance]++
	r.fleet.crash(instance)
}

// pauseOnly pauses one instance, if paused is set, and resumes all others.
func (r *simulation) pauseOnly(instance int, paused bool) {
	for other := range r.paused {
		want := paused && other == instance
		if r.paused[other] != want {
			r.paused[other] = want
			r.fleet.setPaused(other, want)
		}
	}
}

func (r *simulation) collectResult() Result {
	for n, spent := range r.spent {
		r.result.Overspent += max(spent-r.prepaid[n], 0)
		r.result.Prepaid += r.prepaid[n]
	}
	r.result.InDoubtAtEnd = r.fleet.inDoubt()
	r.result.StoreCalls = r.fleet.numStoreCalls()
	r.result.Duration = r.duration
	return r.result
}
