package blame

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

// Sizes are those that the policies are compared at.
var Sizes = []Size{{Instances: 7, Upstreams: 16}, {Instances: 63, Upstreams: 48}}

// NamedPolicy is a policy in a table; nil is no quarantine.
type NamedPolicy struct {
	Name   string
	Policy *quarantine.Policy
}

// Policies are what is compared.
var Policies = []NamedPolicy{
	{"none", nil},
	{"three crashes", &quarantine.Policy{}},
	{"three, suspects one at a time", &quarantine.Policy{Trials: true}},
	{"and judged by what else crashes", &quarantine.DefaultPolicy},
}

// Scenarios are the histories.
var Scenarios = []Scenario{
	{Name: "one fatal body, 0.2 a second", Fatal: 1, FatalPerSecond: 0.2},
	{Name: "one, 5 a second", Fatal: 1, FatalPerSecond: 5},
	{Name: "one, 50 a second", Fatal: 1, FatalPerSecond: 50},
	{Name: "five, 5 a second each", Fatal: 5, FatalPerSecond: 5},
	{Name: "a domain at once, three times", Others: domains},
	{Name: "half at once, each 2.5 s", Others: halves},
	{Name: "a release, one each second", Others: inTurn(time.Second)},
	{Name: "a tenth each ten seconds, one by one", Others: tenths},
	{Name: "two fatal ones in a release", Fatal: 2, FatalPerSecond: 5, Others: inTurn(time.Second)},
}

// from is when crashes of other causes begin.
const from = 5 * time.Second

// domains crashes a quarter of the upstreams at once, three times.
func domains(w *world) {
	for n := range 3 {
		w.after(from+time.Duration(n)*8*time.Second, func() {
			for k, u := range w.upstreams {
				if k%4 == n {
					w.crash(u)
				}
			}
		})
	}
}

// halves crashes half of the upstreams at once, again and again.
func halves(w *world) {
	for at := from; at < length; at += 2500 * time.Millisecond {
		w.after(at, func() {
			for _, n := range w.rng.Perm(len(w.upstreams))[:len(w.upstreams)/2] {
				w.crash(w.upstreams[n])
			}
		})
	}
}

// inTurn crashes one upstream after the other.
func inTurn(every time.Duration) func(w *world) {
	return func(w *world) {
		for n := 0; from+time.Duration(n)*every < length; n++ {
			w.after(from+time.Duration(n)*every, func() { w.crash(w.upstreams[n%len(w.upstreams)]) })
		}
	}
}

// tenths crashes a tenth of the upstreams one by one within each ten seconds.
func tenths(w *world) {
	every := 10 * time.Second / time.Duration(max(len(w.upstreams)/10, 1))
	inTurn(every)(w)
}

// ordered returns attempts in an order that does not change from run to run.
func ordered(attempts map[*attempt]bool) []*attempt {
	out := make([]*attempt, 0, len(attempts))
	for a := range attempts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.request.body, b.request.body), cmp.Compare(a.at, b.at), cmp.Compare(a.left, b.left))
	})
	return out
}
