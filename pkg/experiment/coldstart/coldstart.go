// Package coldstart compares, in virtual time, policies that bound how many requests a fleet sends
// to one cold upstream: one that has just started and crashes above a number of requests in a
// second.
package coldstart

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/coldlimit"
)

// Parameters of a history.
const (
	// historyDuration is the virtual time of a history. The upstream is cold from coldStart on, for
	// coldDuration.
	historyDuration = 6 * time.Second
	coldStart       = 2 * time.Second
	coldDuration    = 3 * time.Second
	// usualPerSecond is the usual request rate of one upstream. The rate here is loadFactor times
	// that; in half of the histories, one hot session adds hotSessionFactor times as much again.
	usualPerSecond   = 6
	loadFactor       = 4
	hotSessionFactor = 3
	// maxLearnDelay bounds the delay after which an instance knows that the upstream is cold.
	maxLearnDelay = time.Second
	// maxSides is the largest number of sides of a partition of the fleet.
	maxSides = 3
	// In one of restartOneIn histories, all instances restart at a random time and lose their state.
	restartOneIn = 4
)

// coldBound is the bound of the upstream while it is cold.
var coldBound = coldlimit.Bound{PerSecond: 12, Overage: 1.5, Slack: 5}

// Sizes are the numbers of instances that the policies are compared at.
var Sizes = []int{7, 90, 300}

// Policy is a way to bound the requests that a fleet sends to a cold upstream.
type Policy struct {
	Name string
	// newLimiter returns the limiter of an instance that starts.
	newLimiter func(self string, names func() []string, now func() time.Time) limiter
}

// limiter bounds the requests that one instance sends to cold upstreams; see coldlimit.Limit.
type limiter interface {
	Allows(upstream string, bound coldlimit.Bound) bool
	Sent(upstream string) (at time.Time)
	Observe()
}

// Policies are the policies that are compared. The last one is the policy that instances use.
var Policies = []Policy{
	{"none", func(string, func() []string, func() time.Time) limiter { return unlimited{} }},
	{"an equal share each", func(_ string, names func() []string, now func() time.Time) limiter {
		return &equalShare{names: names, now: now}
	}},
	{"few senders", func(self string, names func() []string, now func() time.Time) limiter {
		return coldlimit.New(self, names, now)
	}},
}

// unlimited allows every request.
type unlimited struct{}

func (unlimited) Allows(string, coldlimit.Bound) bool { return true }
func (unlimited) Sent(string) (at time.Time)          { return at }
func (unlimited) Observe()                            {}

// equalShare allows an instance one request in each span of time in which all instances that it
// knows may send one each without exceeding the bound.
type equalShare struct {
	names func() []string
	now   func() time.Time
	last  time.Time
}

func (e *equalShare) Allows(_ string, b coldlimit.Bound) bool {
	span := time.Second * time.Duration(len(e.names())) / time.Duration(b.MaxRequests())
	return e.last.IsZero() || e.now().Sub(e.last) >= span
}

func (e *equalShare) Sent(string) (at time.Time) {
	e.last = e.now()
	return e.last
}

func (e *equalShare) Observe() {}

// Result holds the outcome of a history.
type Result struct {
	// MaxPerSecond is the largest number of requests that arrived in any second while the upstream
	// was cold; MaxPerSecondInformed counts only those of instances that knew that it was cold.
	MaxPerSecond, MaxPerSecondInformed int
	// Offered is the number of requests meant for the upstream while it was cold; Sent is the
	// number of them that were sent.
	Offered, Sent int
}

// simulation is one history.
type simulation struct {
	rng         *rand.Rand
	now         time.Time
	start       time.Time
	policy      Policy
	limiters    []limiter
	learnsAt    []time.Time
	sideOf      []int
	namesBySide map[int][]string
}

// newLimiter returns the limiter of instance n after a start. The limiter knows the names of the
// instances on its side of the partition.
func (w *simulation) newLimiter(n int) limiter {
	return w.policy.newLimiter(instanceName(n), func() []string { return w.namesBySide[w.sideOf[n]] }, func() time.Time { return w.now })
}

func instanceName(n int) string { return fmt.Sprint("i", n) }

// partition assigns each instance to a random one of numSides sides.
func (w *simulation) partition(numSides int) {
	w.namesBySide = map[int][]string{}
	for n := range w.sideOf {
		w.sideOf[n] = w.rng.IntN(numSides)
		w.namesBySide[w.sideOf[n]] = append(w.namesBySide[w.sideOf[n]], instanceName(n))
	}
}

// Simulate simulates one history.
func Simulate(size int, policy Policy, seed uint64) Result {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, uint64(size))), start: time.Unix(1_000_000, 0), policy: policy}
	w.now = w.start
	w.sideOf, w.learnsAt, w.limiters = make([]int, size), make([]time.Time, size), make([]limiter, size)
	w.partition(1)
	for n := range w.limiters {
		w.limiters[n] = w.newLimiter(n)
		w.limiters[n].Observe()
		w.learnsAt[n] = w.start.Add(coldStart + time.Duration(w.rng.Int64N(int64(maxLearnDelay))))
	}
	rate := usualPerSecond * loadFactor
	if w.rng.IntN(2) == 0 {
		rate += usualPerSecond * loadFactor * hotSessionFactor
	}
	partitionAt, restartAt := w.drawTime(), w.drawTime()
	if w.rng.IntN(restartOneIn) != 0 {
		restartAt = w.start.Add(2 * historyDuration)
	}
	return w.run(rate, partitionAt, restartAt)
}

// drawTime draws a time within the history.
func (w *simulation) drawTime() time.Time {
	return w.start.Add(time.Duration(w.rng.Int64N(int64(historyDuration))))
}

func (w *simulation) run(rate int, partitionAt, restartAt time.Time) Result {
	var all, informed []time.Time
	result := Result{}
	for w.now.Before(w.start.Add(historyDuration)) {
		w.now = w.now.Add(time.Duration(w.rng.ExpFloat64() * float64(time.Second) / float64(rate)))
		if w.now.After(partitionAt) {
			w.partition(1 + w.rng.IntN(maxSides))
			partitionAt = w.start.Add(2 * historyDuration)
		}
		if w.now.After(restartAt) {
			for n := range w.limiters {
				w.limiters[n] = w.newLimiter(n)
			}
			restartAt = w.start.Add(2 * historyDuration)
		}
		n := w.rng.IntN(len(w.limiters))
		cold := w.now.After(w.start.Add(coldStart)) && w.now.Before(w.start.Add(coldStart+coldDuration))
		if !cold {
			continue
		}
		result.Offered++
		isInformed := w.now.After(w.learnsAt[n])
		if isInformed && !w.limiters[n].Allows("cold", coldBound) {
			continue
		}
		result.Sent++
		all = append(all, w.now)
		if isInformed {
			w.limiters[n].Sent("cold")
			informed = append(informed, w.now)
		}
	}
	result.MaxPerSecond, result.MaxPerSecondInformed = maxInOneSecond(all), maxInOneSecond(informed)
	return result
}

// maxInOneSecond returns the largest number of times within one second; times are in order.
func maxInOneSecond(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Compare simulates all policies at all sizes on the same seeds and prints a table.
func Compare(out io.Writer, seeds int) error {
	_, err := fmt.Fprintf(out, "%d histories a cell, %d allowed in any second\n\n"+
		"| instances | policy | worst second of those that know: median, most | over the bound | with those that do not know yet: most | sent of what came |\n"+
		"|---:|---|---:|---:|---:|---:|\n", seeds, coldBound.MaxRequests())
	for _, size := range Sizes {
		for _, policy := range Policies {
			if err == nil {
				_, err = fmt.Fprintln(out, formatRow(size, policy, seeds))
			}
		}
	}
	return err
}

func formatRow(size int, policy Policy, seeds int) string {
	var worst []int
	over, most, offered, sent := 0, 0, 0, 0
	for seed := range uint64(seeds) {
		r := Simulate(size, policy, seed)
		worst = append(worst, r.MaxPerSecondInformed)
		if r.MaxPerSecondInformed > coldBound.MaxRequests() {
			over++
		}
		most = max(most, r.MaxPerSecond)
		offered, sent = offered+r.Offered, sent+r.Sent
	}
	slices.Sort(worst)
	return fmt.Sprintf("| %d | %s | %d, %d | %d | %d | %.0f in 100 |", size, policy.Name,
		worst[len(worst)/2], worst[len(worst)-1], over, most, 100*float64(sent)/float64(max(offered, 1)))
}
