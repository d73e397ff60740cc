package experiment

import "time"

// Scenario is a sequence of faults over a run. Its times are fractions of the run's duration, so
// that short runs have the same sequence.
type Scenario struct {
	// Name is the scenario's name in tables.
	Name string
	// apply is called each second with the fraction of the run that has elapsed.
	apply func(r *simulation, elapsed float64)
}

// Window of the long faults and default time of a top-up, as fractions of the run. The window is
// 40 of 60 minutes.
const (
	faultStart   = 1.0 / 6
	faultEnd     = 5.0 / 6
	topUpElapsed = 0.5
)

// inFaultWindow reports whether the long faults are present.
func inFaultWindow(elapsed float64) bool { return elapsed >= faultStart && elapsed < faultEnd }

// Scenarios are the scenarios that policies are compared in.
var Scenarios = []Scenario{
	{"no fault", func(*simulation, float64) {}},
	{"partition in halves", func(r *simulation, elapsed float64) { r.setPartition(elapsed, inFirstHalf, true) }},
	{"one-way partition", func(r *simulation, elapsed float64) { r.setPartition(elapsed, inFirstHalf, false) }},
	{"one instance alone", func(r *simulation, elapsed float64) { r.setPartition(elapsed, isFirst, true) }},
	{"store outage", func(r *simulation, elapsed float64) { r.fleet.setStoreFaults(inFaultWindow(elapsed), false, 0) }},
	{"slow store", func(r *simulation, elapsed float64) { r.fleet.setStoreFaults(false, inFaultWindow(elapsed), 0) }},
	{"lost answers", func(r *simulation, elapsed float64) { r.fleet.setStoreFaults(false, false, answerLossRate(elapsed)) }},
	{"three crashes", func(r *simulation, elapsed float64) { r.crashInstancesAt(elapsed, 0.3, 0.5, 0.7) }},
	{"pauses", func(r *simulation, elapsed float64) { r.pauseInTurn(elapsed) }},
	{"partition, top-up", func(r *simulation, elapsed float64) {
		r.setPartition(elapsed, inFirstHalf, true)
		r.topUpAt(elapsed, topUpElapsed)
	}},
	{"store outage, top-up", func(r *simulation, elapsed float64) {
		r.fleet.setStoreFaults(inFaultWindow(elapsed), false, 0)
		r.topUpAt(elapsed, topUpElapsed)
	}},
	{"crashes, top-up", func(r *simulation, elapsed float64) {
		r.crashInstancesAt(elapsed, 0.3, 0.5, 0.7)
		r.topUpAt(elapsed, 0.6)
	}},
}

// answerLossRate returns the probability that the answer to a store write is lost.
func answerLossRate(elapsed float64) float64 {
	if inFaultWindow(elapsed) {
		return 0.3
	}
	return 0
}

// Sides of a partition.
func inFirstHalf(r *simulation, instance int) bool { return instance < r.deployment.Instances/2 }
func isFirst(_ *simulation, instance int) bool     { return instance == 0 }

// setPartition starts or ends the partition of the fleet at the bounds of the fault window. It cuts
// the links from the instances on one side to all others; if both is set, it also cuts the links in the
// opposite direction.
func (r *simulation) setPartition(elapsed float64, side func(*simulation, int) bool, both bool) {
	cut := inFaultWindow(elapsed)
	if cut == r.partitioned {
		return
	}
	r.partitioned = cut
	for a := range r.deployment.Instances {
		for b := range r.deployment.Instances {
			if side(r, a) && !side(r, b) {
				r.fleet.setLinkDown(a, b, cut)
				if both {
					r.fleet.setLinkDown(b, a, cut)
				}
			}
		}
	}
}

// crashInstancesAt crashes one instance at each of the times, which are fractions of the run.
func (r *simulation) crashInstancesAt(elapsed float64, times ...float64) {
	for n, at := range times {
		if elapsed >= at && r.crashes == n {
			r.crashes++
			r.crash((n*4 + 1) % r.deployment.Instances)
		}
	}
}

// pauseDuration is how long pauseInTurn pauses an instance, and the time between two pauses.
const pauseDuration = time.Minute

// pauseInTurn pauses one instance after the other within the fault window.
func (r *simulation) pauseInTurn(elapsed float64) {
	second := int(r.now / time.Second)
	slot := second / int(2*pauseDuration/time.Second)
	instance := slot % r.deployment.Instances
	paused := inFaultWindow(elapsed) && second%int(2*pauseDuration/time.Second) < int(pauseDuration/time.Second)
	r.pauseOnly(instance, paused)
}

// topUpShare is the number of tokens that a top-up adds, as a fraction of the prepaid ones.
const topUpShare = 0.15

// topUpAt tops up all accounts once the elapsed fraction reaches at.
func (r *simulation) topUpAt(elapsed, at float64) {
	if elapsed < at || r.toppedUp {
		return
	}
	r.toppedUp = true
	for n := range r.prepaid {
		r.prepaid[n] += int64(topUpShare * float64(r.prepaid[n]))
	}
	r.fleet.topUp(append([]int64(nil), r.prepaid...))
}
