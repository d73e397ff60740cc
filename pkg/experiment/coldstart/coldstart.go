// Package coldstart compares, in virtual time, ways to bound what a fleet sends to one upstream that
// has just started and crashes above a number of requests in a second.
package coldstart

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/coldlimit"
)

// Figures of a history.
const (
	// length is that of a history; the upstream is cold from coldAt on.
	length  = 6 * time.Second
	coldAt  = 2 * time.Second
	coldFor = 3 * time.Second
	// perSecond is the usual load of one upstream, loadFactor times it comes here, and as much again
	// times hotFactor in every second history, for one hot session.
	perSecond  = 6
	loadFactor = 4
	hotFactor  = 3
	// lateNews bounds the time after which an instance knows that the upstream is cold.
	lateNews = time.Second
	// sides is into how many parts the fleet may be cut.
	sides = 3
	// lossIn is in one of how many histories all instances are lost at a drawn time.
	lossIn = 4
)

// bound is that of the upstream.
var bound = coldlimit.Bound{PerSecond: 12, Overage: 1.5, Slack: 5}

// Sizes are the fleets that are compared.
var Sizes = []int{7, 90, 300}

// Policy is a way to bound what is sent.
type Policy struct {
	Name string
	// start returns the limit of an instance that starts.
	start func(self string, names func() []string, now func() time.Time) limit
}

type limit interface {
	Allows(upstream string, bound coldlimit.Bound) bool
	Sent(upstream string)
	Observe()
}

// Policies are those that are compared, the one in force last.
var Policies = []Policy{
	{"none", func(string, func() []string, func() time.Time) limit { return unlimited{} }},
	{"an equal share each", func(_ string, names func() []string, now func() time.Time) limit {
		return &equalShare{names: names, now: now}
	}},
	{"few senders", func(self string, names func() []string, now func() time.Time) limit {
		return coldlimit.New(self, names, now)
	}},
}

// unlimited sends whatever comes.
type unlimited struct{}

func (unlimited) Allows(string, coldlimit.Bound) bool { return true }
func (unlimited) Sent(string)                         {}
func (unlimited) Observe()                            {}

// equalShare sends one request in each span in which all known together may send the bound's.
type equalShare struct {
	names func() []string
	now   func() time.Time
	last  time.Time
}

func (e *equalShare) Allows(_ string, b coldlimit.Bound) bool {
	span := time.Second * time.Duration(len(e.names())) / time.Duration(b.MaxRequests())
	return e.last.IsZero() || e.now().Sub(e.last) >= span
}

func (e *equalShare) Sent(string) { e.last = e.now() }
func (e *equalShare) Observe()    {}

// Result is what a history showed.
type Result struct {
	// Worst is the most that arrived in any second while the upstream was cold, WorstKnown the same
	// of instances that knew.
	Worst, WorstKnown int
	// Offered, Sent are requests that would have gone there while it was cold, and did.
	Offered, Sent int
}

// world is one history.
type world struct {
	rng    *rand.Rand
	now    time.Time
	began  time.Time
	policy Policy
	limits []limit
	knows  []time.Time
	side   []int
	bySide map[int][]string
}

func (w *world) start(n int) limit {
	return w.policy.start(name(n), func() []string { return w.bySide[w.side[n]] }, func() time.Time { return w.now })
}

func name(n int) string { return fmt.Sprint("i", n) }

func (w *world) cut(parts int) {
	w.bySide = map[int][]string{}
	for n := range w.side {
		w.side[n] = w.rng.IntN(parts)
		w.bySide[w.side[n]] = append(w.bySide[w.side[n]], name(n))
	}
}

// Play plays one history.
func Play(size int, policy Policy, seed uint64) Result {
	w := &world{rng: rand.New(rand.NewPCG(seed, uint64(size))), began: time.Unix(1_000_000, 0), policy: policy}
	w.now = w.began
	w.side, w.knows, w.limits = make([]int, size), make([]time.Time, size), make([]limit, size)
	w.cut(1)
	for n := range w.limits {
		w.limits[n] = w.start(n)
		w.limits[n].Observe()
		w.knows[n] = w.began.Add(coldAt + time.Duration(w.rng.Int64N(int64(lateNews))))
	}
	rate := perSecond * loadFactor
	if w.rng.IntN(2) == 0 {
		rate += perSecond * loadFactor * hotFactor
	}
	cutAt, lossAt := w.drawn(), w.drawn()
	if w.rng.IntN(lossIn) != 0 {
		lossAt = w.began.Add(2 * length)
	}
	return w.run(rate, cutAt, lossAt)
}

func (w *world) drawn() time.Time { return w.began.Add(time.Duration(w.rng.Int64N(int64(length)))) }

func (w *world) run(rate int, cutAt, lossAt time.Time) Result {
	var all, known []time.Time
	result := Result{}
	for w.now.Before(w.began.Add(length)) {
		w.now = w.now.Add(time.Duration(w.rng.ExpFloat64() * float64(time.Second) / float64(rate)))
		if w.now.After(cutAt) {
			w.cut(1 + w.rng.IntN(sides))
			cutAt = w.began.Add(2 * length)
		}
		if w.now.After(lossAt) {
			for n := range w.limits {
				w.limits[n] = w.start(n)
			}
			lossAt = w.began.Add(2 * length)
		}
		n := w.rng.IntN(len(w.limits))
		cold := w.now.After(w.began.Add(coldAt)) && w.now.Before(w.began.Add(coldAt+coldFor))
		if !cold {
			continue
		}
		result.Offered++
		knows := w.now.After(w.knows[n])
		if knows && !w.limits[n].Allows("cold", bound) {
			continue
		}
		result.Sent++
		all = append(all, w.now)
		if knows {
			w.limits[n].Sent("cold")
			known = append(known, w.now)
		}
	}
	result.Worst, result.WorstKnown = worstSecond(all), worstSecond(known)
	return result
}

func worstSecond(times []time.Time) int {
	worst, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// Compare plays all policies at all sizes on the same seeds and prints a table.
func Compare(out io.Writer, seeds int) error {
	_, err := fmt.Fprintf(out, "%d histories a cell, %d allowed in any second\n\n"+
		"| instances | policy | worst second of those that know: median, most | over the bound | with those that do not know yet: most | sent of what came |\n"+
		"|---:|---|---:|---:|---:|---:|\n", seeds, bound.MaxRequests())
	for _, size := range Sizes {
		for _, policy := range Policies {
			if err == nil {
				_, err = fmt.Fprintln(out, row(size, policy, seeds))
			}
		}
	}
	return err
}

func row(size int, policy Policy, seeds int) string {
	var worst []int
	over, most, offered, sent := 0, 0, 0, 0
	for seed := range uint64(seeds) {
		r := Play(size, policy, seed)
		worst = append(worst, r.WorstKnown)
		if r.WorstKnown > bound.MaxRequests() {
			over++
		}
		most = max(most, r.Worst)
		offered, sent = offered+r.Offered, sent+r.Sent
	}
	slices.Sort(worst)
	return fmt.Sprintf("| %d | %s | %d, %d | %d | %d | %.0f in 100 |", size, policy.Name,
		worst[len(worst)/2], worst[len(worst)-1], over, most, 100*float64(sent)/float64(max(offered, 1)))
}
