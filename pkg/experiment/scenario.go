package experiment

import "time"

// Scenario is a course of faults over a run. The windows are parts of the run's
// length, so that short runs have the same course.
type Scenario struct {
	// Name is the scenario's name in tables.
	Name string
	// act is called each second with the part of the run that is over.
	act func(r *run, part float64)
}

// Windows of the long faults, as parts of the run: 40 of 60 minutes.
const (
	faultFrom = 1.0 / 6
	faultTo   = 5.0 / 6
	topUpAt   = 0.5
)

func inFault(part float64) bool { return part >= faultFrom && part < faultTo }

// Scenarios are the courses that policies are compared on.
var Scenarios = []Scenario{
	{"no fault", func(*run, float64) {}},
	{"partition in halves", func(r *run, part float64) { r.partition(part, sideHalf, true) }},
	{"one-way partition", func(r *run, part float64) { r.partition(part, sideHalf, false) }},
	{"one instance alone", func(r *run, part float64) { r.partition(part, sideAlone, true) }},
	{"store outage", func(r *run, part float64) { r.system.store(inFault(part), false, 0) }},
	{"slow store", func(r *run, part float64) { r.system.store(false, inFault(part), 0) }},
	{"lost answers", func(r *run, part float64) { r.system.store(false, false, lossIn(part)) }},
	{"three crashes", func(r *run, part float64) { r.crashAt(part, 0.3, 0.5, 0.7) }},
	{"pauses", func(r *run, part float64) { r.pauses(part) }},
	{"partition, top-up", func(r *run, part float64) {
		r.partition(part, sideHalf, true)
		r.topUpAt(part, topUpAt)
	}},
	{"store outage, top-up", func(r *run, part float64) {
		r.system.store(inFault(part), false, 0)
		r.topUpAt(part, topUpAt)
	}},
	{"crashes, top-up", func(r *run, part float64) {
		r.crashAt(part, 0.3, 0.5, 0.7)
		r.topUpAt(part, 0.6)
	}},
}

func lossIn(part float64) float64 {
	if inFault(part) {
		return 0.3
	}
	return 0
}

// sides of a partition.
func sideHalf(r *run, instance int) bool  { return instance < r.deployment.Instances/2 }
func sideAlone(_ *run, instance int) bool { return instance == 0 }

// partition cuts the two sides from each other, in one or both directions.
func (r *run) partition(part float64, side func(*run, int) bool, both bool) {
	cut := inFault(part)
	if cut == r.partitioned {
		return
	}
	r.partitioned = cut
	for a := range r.deployment.Instances {
		for b := range r.deployment.Instances {
			if side(r, a) && !side(r, b) {
				r.system.cut(a, b, cut)
				if both {
					r.system.cut(b, a, cut)
				}
			}
		}
	}
}

func (r *run) crashAt(part float64, times ...float64) {
	for n, at := range times {
		if part >= at && r.crashes == n {
			r.crashes++
			r.crash((n*4 + 1) % r.deployment.Instances)
		}
	}
}

// Pauses freeze one instance after the other, for a minute each.
const pauseFor = time.Minute

func (r *run) pauses(part float64) {
	second := int(r.now / time.Second)
	slot := second / int(2*pauseFor/time.Second)
	instance := slot % r.deployment.Instances
	paused := inFault(part) && second%int(2*pauseFor/time.Second) < int(pauseFor/time.Second)
	r.setPaused(instance, paused)
}

// topUpShare is how much a top-up adds, as a part of what was prepaid.
const topUpShare = 0.15

func (r *run) topUpAt(part, at float64) {
	if part < at || r.toppedUp {
		return
	}
	r.toppedUp = true
	for n := range r.prepaid {
		r.prepaid[n] += int64(topUpShare * float64(r.prepaid[n]))
	}
	r.system.topUp(append([]int64(nil), r.prepaid...))
}
