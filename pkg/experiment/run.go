package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Result is what one run gave.
type Result struct {
	// Requests is how many requests came; FalseRefusals how many were refused
	// although the account had the tokens that they would really have cost.
	Requests, FalseRefusals int64
	// Overspent is the sum over the accounts of tokens spent beyond prepaid.
	Overspent int64
	// Prepaid is the sum of what was prepaid at the end.
	Prepaid int64
	// InDoubt is the most tokens that were in doubt at once, and InDoubtAtEnd
	// what was left.
	InDoubt, InDoubtAtEnd int64
	// StoreCalls is the number of calls to the store.
	StoreCalls int64
	// Length is the run's virtual time.
	Length time.Duration
}

// run is one policy under one scenario.
type run struct {
	deployment  Deployment
	system      system
	length      time.Duration
	now         time.Duration
	prepaid     []int64
	spent       []int64 // by account: real costs of what ended or runs
	paused      []bool
	restarts    []int
	open        openHeap
	partitioned bool
	toppedUp    bool
	crashes     int
	result      Result
}

// running is an admitted request.
type running struct {
	ends      time.Duration
	instance  int
	restart   int
	admission admission
	cost      int64
}

type openHeap []running

func (h openHeap) Len() int           { return len(h) }
func (h openHeap) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h openHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *openHeap) Push(x any)        { *h = append(*h, x.(running)) }
func (h *openHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Run plays one seeded workload and scenario with a policy.
func Run(d Deployment, p Policy, s Scenario, length time.Duration, seed uint64) Result {
	w := newWorkload(d, length, seed)
	r := &run{
		deployment: d,
		system:     p.make(d, w.prepaid, rand.New(rand.NewPCG(seed, 5))),
		length:     length,
		prepaid:    append([]int64(nil), w.prepaid...),
		spent:      make([]int64, len(w.prepaid)),
		paused:     make([]bool, d.Instances),
		restarts:   make([]int, d.Instances),
	}
	for _, request := range w.requests {
		r.advance(s, request.at)
		r.serve(request)
	}
	r.advance(s, length)
	return r.finish()
}

// advance moves to a time, ending requests and ticking each second on the way.
func (r *run) advance(s Scenario, to time.Duration) {
	for next := r.now.Truncate(time.Second) + time.Second; next <= to; next += time.Second {
		r.endUntil(next)
		r.now = next
		s.act(r, float64(next)/float64(r.length))
		r.system.tick(next)
		r.result.InDoubt = max(r.result.InDoubt, r.system.inDoubt())
	}
	r.endUntil(to)
	r.now = to
}

// endUntil ends requests that are due. Those of a frozen instance end when it
// wakes; those of a crashed one never end there, though their engines spent.
func (r *run) endUntil(to time.Duration) {
	var frozen []running
	for len(r.open) > 0 && r.open[0].ends <= to {
		done := heap.Pop(&r.open).(running)
		switch {
		case done.restart != r.restarts[done.instance]:
		case r.paused[done.instance]:
			done.ends = to + time.Second
			frozen = append(frozen, done)
		default:
			r.system.settle(done.instance, done.admission, done.cost)
		}
	}
	for _, f := range frozen {
		heap.Push(&r.open, f)
	}
}

func (r *run) serve(q request) {
	instance := r.pick(q.pick)
	r.result.Requests++
	t, admitted := r.system.reserve(instance, q.account, q.bound)
	if !admitted {
		if r.spent[q.account]+q.cost <= r.prepaid[q.account] {
			r.result.FalseRefusals++
		}
		return
	}
	r.spent[q.account] += q.cost
	heap.Push(&r.open, running{
		ends:      r.now + q.duration,
		instance:  instance,
		restart:   r.restarts[instance],
		admission: t,
		cost:      q.cost,
	})
}

// pick chooses among the instances that are up, as the balancer does.
func (r *run) pick(x float64) int {
	var up []int
	for instance, paused := range r.paused {
		if !paused {
			up = append(up, instance)
		}
	}
	return up[int(x*float64(len(up)))]
}

func (r *run) crash(instance int) {
	r.restarts[instance]++
	r.system.crash(instance)
}

// setPaused freezes one instance and wakes all others.
func (r *run) setPaused(instance int, paused bool) {
	for other := range r.paused {
		want := paused && other == instance
		if r.paused[other] != want {
			r.paused[other] = want
			r.system.pause(other, want)
		}
	}
}

func (r *run) finish() Result {
	for n, spent := range r.spent {
		r.result.Overspent += max(spent-r.prepaid[n], 0)
		r.result.Prepaid += r.prepaid[n]
	}
	r.result.InDoubtAtEnd = r.system.inDoubt()
	r.result.StoreCalls = r.system.calls()
	r.result.Length = r.length
	return r.result
}
