package blame

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

// Sizes are the fleet sizes that the policies are compared at.
var Sizes = []Size{{Instances: 7, Upstreams: 16}, {Instances: 63, Upstreams: 48}}

// NamedPolicy is a policy and its name in tables; a nil policy means no quarantine.
type NamedPolicy struct {
	Name   string
	Policy *quarantine.Policy
}

// Policies are the policies that are compared.
var Policies = []NamedPolicy{
	{"none", nil},
	{"three crashes", &quarantine.Policy{}},
	{"three, suspects one at a time", &quarantine.Policy{Trials: true}},
	{"and judged by what else crashes", &quarantine.DefaultPolicy},
}

// Scenarios are the scenarios that the policies are compared in.
var Scenarios = []Scenario{
	{Name: "one fatal body, 0.2 a second", CrashingBodies: 1, CrashingPerSecond: 0.2},
	{Name: "one, 5 a second", CrashingBodies: 1, CrashingPerSecond: 5},
	{Name: "one, 50 a second", CrashingBodies: 1, CrashingPerSecond: 50},
	{Name: "five, 5 a second each", CrashingBodies: 5, CrashingPerSecond: 5},
	{Name: "a domain at once, three times", OtherCrashes: crashDomains},
	{Name: "half at once, each 2.5 s", OtherCrashes: crashHalves},
	{Name: "a release, one each second", OtherCrashes: crashInTurn(time.Second)},
	{Name: "a tenth each ten seconds, one by one", OtherCrashes: crashTenths},
	{Name: "two fatal ones in a release", CrashingBodies: 2, CrashingPerSecond: 5, OtherCrashes: crashInTurn(time.Second)},
}

// firstCrashAt is the virtual time of the first crash that is not caused by a crashing request.
const firstCrashAt = 5 * time.Second

// crashDomains crashes a quarter of the upstreams at once, three times.
func crashDomains(w *simulation) {
	for n := range 3 {
		w.after(firstCrashAt+time.Duration(n)*8*time.Second, func() {
			for k, u := range w.upstreams {
				if k%4 == n {
					w.crashUpstream(u)
				}
			}
		})
	}
}

// crashHalves crashes a random half of the upstreams at once, every 2.5 seconds.
func crashHalves(w *simulation) {
	for at := firstCrashAt; at < historyDuration; at += 2500 * time.Millisecond {
		w.after(at, func() {
			for _, n := range w.rng.Perm(len(w.upstreams))[:len(w.upstreams)/2] {
				w.crashUpstream(w.upstreams[n])
			}
		})
	}
}

// crashInTurn crashes one upstream after the other, one each interval.
func crashInTurn(interval time.Duration) func(w *simulation) {
	return func(w *simulation) {
		for n := 0; firstCrashAt+time.Duration(n)*interval < historyDuration; n++ {
			w.after(firstCrashAt+time.Duration(n)*interval, func() { w.crashUpstream(w.upstreams[n%len(w.upstreams)]) })
		}
	}
}

// crashTenths crashes a tenth of the upstreams, one by one, in every ten seconds.
func crashTenths(w *simulation) {
	interval := 10 * time.Second / time.Duration(max(len(w.upstreams)/10, 1))
	crashInTurn(interval)(w)
}

// sortAttempts returns attempts in an order that is the same in every run.
func sortAttempts(attempts map[*attempt]bool) []*attempt {
	out := make([]*attempt, 0, len(attempts))
	for a := range attempts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.request.body, b.request.body), cmp.Compare(a.instance, b.instance), cmp.Compare(a.attemptsLeft, b.attemptsLeft))
	})
	return out
}

// PartPolicies are the policies that are compared on prompts.
var PartPolicies = []NamedPolicy{
	{"none", nil},
	{"three crashes of a part", &quarantine.Policy{Trials: true, DiscountConcurrent: true, Parts: quarantine.CountParts}},
	{"the part that explains most", &quarantine.Policy{Trials: true, DiscountConcurrent: true, Parts: quarantine.JudgeByCover}},
	{"and answers before", &quarantine.Policy{Trials: true, DiscountConcurrent: true, Parts: quarantine.JudgeByAnswers}},
	{"and suspects one at a time", &quarantine.DefaultPolicy},
}

// PartScenarios are the scenarios that the policies are compared in on prompts.
var PartScenarios = []Scenario{
	{Name: "one part, 0.5 a second", Prompts: &Prompts{CrashingParts: 1, PerSecond: 0.5, StartAt: firstCrashAt}},
	{Name: "one part, 6 a second", Prompts: &Prompts{CrashingParts: 1, PerSecond: 6, StartAt: firstCrashAt}},
	{Name: "one part, 20 a second", Prompts: &Prompts{CrashingParts: 1, PerSecond: 20, StartAt: firstCrashAt}},
	{Name: "one part, 100 a second", Prompts: &Prompts{CrashingParts: 1, PerSecond: 100, StartAt: firstCrashAt}},
	{Name: "the same, from the start", Prompts: &Prompts{CrashingParts: 1, PerSecond: 20}},
	{Name: "the same, 5 harmless a second", Prompts: &Prompts{CrashingParts: 1, PerSecond: 20, StartAt: firstCrashAt, HarmlessPerSecond: 5}},
	{Name: "two parts, 20 a second each", Prompts: &Prompts{CrashingParts: 2, PerSecond: 20, StartAt: firstCrashAt}},
	{
		Name: "one part, a release of one each 0.7 s", OtherCrashes: crashInTurn(releaseInterval),
		Prompts: &Prompts{CrashingParts: 1, PerSecond: 20, StartAt: firstCrashAt},
	},
	{Name: "a release of one each 0.7 s", OtherCrashes: crashInTurn(releaseInterval), Prompts: &Prompts{}},
	{Name: "a release, 5 harmless a second", OtherCrashes: crashInTurn(releaseInterval), Prompts: &Prompts{HarmlessPerSecond: 5}},
	{Name: "a release, a new part in all", OtherCrashes: crashInTurn(releaseInterval), Prompts: &Prompts{NewPart: systemPart + 1}},
	{Name: "half at once, each 2.5 s", OtherCrashes: crashHalves, Prompts: &Prompts{}},
	{Name: "half at once, a new part in all", OtherCrashes: crashHalves, Prompts: &Prompts{NewPart: systemPart + 1}},
	{Name: "a domain at once, a new part in all", OtherCrashes: crashDomains, Prompts: &Prompts{NewPart: systemPart + 1}},
}

// releaseInterval is the time between two upstreams that a release replaces.
const releaseInterval = 700 * time.Millisecond
