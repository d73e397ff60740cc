package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// Parameters of the histories in which instances act on their copies.
const (
	// actContactTime is how long an instance must have been undisturbed for the bound to hold.
	actContactTime = 3 * time.Second
	// actInterval is how often each instance acts.
	actInterval = 20 * time.Millisecond
	// actDisturbance is how long a disturbance lasts, actSettling how long the instances act after it.
	actDisturbance = 7 * time.Second
	actSettling    = 3 * time.Second
)

// actReport counts what instances did by one policy.
type actReport struct {
	// late counts actions on a copy that lacked a change for longer than the bound, by instances in contact.
	late int
	// refused counts the other cases in which the policy did not act, out of all.
	refused, all int
}

// refusedPercent returns how many of a hundred actions were refused.
func (r actReport) refusedPercent() float64 { return 100 * float64(r.refused) / float64(max(r.all, 1)) }

// lacksLate reports whether a copy lacks a change that was made longer ago than the bound.
func (i *simInstance) lacksLate(kind string) bool {
	i.mu.Lock()
	copied := i.copies[kind]
	i.mu.Unlock()
	copied.mu.Lock()
	position := copied.position
	copied.mu.Unlock()
	i.sim.store.mu.Lock()
	defer i.sim.store.mu.Unlock()
	i.sim.mu.Lock()
	defer i.sim.mu.Unlock()
	for _, change := range i.sim.store.changes[kind] {
		at := change.Object.Position
		if position.Before(at) && time.Since(i.sim.writtenAt[at]) > i.sim.bound-requestTime {
			return true
		}
	}
	return false
}

// isInContact reports whether neither the instance nor the store was disturbed lately.
func (i *simInstance) isInContact(disturbedUntil time.Time, disturbed bool) bool {
	return !disturbed && time.Since(disturbedUntil) > actContactTime
}

// actHistory is a history in which one disturbance strikes.
type actHistory struct {
	description string
	// strike disturbs the fleet until its end is called; it returns whether an instance counts as disturbed.
	strike func(sim *simulation) (disturbed func(i *simInstance) bool, end func())
	// maxRefused is the largest percentage of actions that may be refused by instances that can know enough.
	maxRefused float64
	// unsure reports whether the instances with slow links cannot know enough for a bound; nil if all can.
	unsure func(bound time.Duration) bool
}

// slowPercent is the percentage of instances with slow links.
const slowPercent = 10

// answersSlowerThan returns a function that reports whether what others reply is too old when it arrives: it was
// confirmed up to maxWatchTimeout before, is on its way for twice a delay, and is asked for each queryInterval.
func answersSlowerThan(delay time.Duration) func(time.Duration) bool {
	return func(bound time.Duration) bool { return maxWatchTimeout+2*delay+queryInterval > usableTime(bound) }
}

func always(time.Duration) bool { return true }

// allowedPercent returns the largest percentage of actions that may be refused in a fleet.
func (h *actHistory) allowedPercent(size int, bound time.Duration) float64 {
	if h.unsure == nil || !h.unsure(bound) {
		return h.maxRefused
	}
	slow := max(1, size*slowPercent/100)
	return h.maxRefused + 100*float64(slow)/float64(size)*actDisturbance.Seconds()/(actDisturbance+actSettling).Seconds()
}

// storeTreatsAll lets the store treat all instances in a way.
func storeTreatsAll(behavior storeBehavior) func(sim *simulation) (func(*simInstance) bool, func()) {
	return func(sim *simulation) (func(*simInstance) bool, func()) {
		sim.store.setBehavior(behavior)
		return func(*simInstance) bool { return true }, func() { sim.store.setBehavior(storeAnswers) }
	}
}

// changeSome changes a percentage of the instances; disturbs says whether they count as disturbed.
func changeSome(percent int, disturbs bool, set func(i *simInstance, on bool)) func(sim *simulation) (func(*simInstance) bool, func()) {
	return func(sim *simulation) (func(*simInstance) bool, func()) {
		chosen := map[*simInstance]bool{}
		setAll := func(on bool) {
			for i := range chosen {
				i.mu.Lock()
				set(i, on)
				i.mu.Unlock()
			}
		}
		for _, i := range sim.randomInstances(percent, false) {
			chosen[i] = true
		}
		setAll(true)
		return func(i *simInstance) bool { return disturbs && chosen[i] }, func() { setAll(false) }
	}
}

// saturated delays all messages of some instances in each direction. They count as in contact, unless no answer comes
// before the copies expire: then a saturated link cannot be told from a lost one.
func saturated(delay time.Duration) func(sim *simulation) (func(*simInstance) bool, func()) {
	return func(sim *simulation) (func(*simInstance) bool, func()) {
		answeredBy := quietTime + hearingInterval + 2*delay
		return changeSome(slowPercent, answeredBy > usableTime(sim.bound), func(i *simInstance, on bool) {
			i.delay = 0
			if on {
				i.delay = delay
			}
		})(sim)
	}
}

// both combines two disturbances.
func both(a, b func(sim *simulation) (func(*simInstance) bool, func())) func(sim *simulation) (func(*simInstance) bool, func()) {
	return func(sim *simulation) (func(*simInstance) bool, func()) {
		disturbedA, endA := a(sim)
		disturbedB, endB := b(sim)
		return func(i *simInstance) bool { return disturbedA(i) || disturbedB(i) }, func() { endA(); endB() }
	}
}

// actHistories are the histories; each allows the refusals of 0.3 s, in which it is found out what others know, and
// those of instances that cannot know enough.
var actHistories = []actHistory{
	{"undisturbed", saturated(0), 0, nil},
	{"store silent", storeTreatsAll(storeSilent), 3, nil},
	{"store refusing", storeTreatsAll(storeRefuses), 3, nil},
	{"store slow", storeTreatsAll(storeSlow), 3, nil},
	{"store silent for some", changeSome(30, false, func(i *simInstance, on bool) {
		i.refusal = storeAnswers
		if on {
			i.refusal = storeSilent
		}
	}), 3, nil},
	{"partition of all", changeSome(100, true, setPartitioned), 3, nil},
	{"partition of some", changeSome(20, true, setPartitioned), 3, nil},
	{"slow links of 200 ms", saturated(200 * time.Millisecond), 3, answersSlowerThan(200 * time.Millisecond)},
	{"slow links of 500 ms", saturated(500 * time.Millisecond), 3, answersSlowerThan(500 * time.Millisecond)},
	{"slow links of 900 ms", saturated(900 * time.Millisecond), 3, answersSlowerThan(900 * time.Millisecond)},
	{"slow links of 1.5 s", saturated(1500 * time.Millisecond), 3, answersSlowerThan(1500 * time.Millisecond)},
	{"slow links beside a silent store", both(saturated(500*time.Millisecond), storeTreatsAll(storeSilent)), 3, always},
}

// runActHistory lets the instances act by three policies: always, by the age of the copies alone, and by Validity.
func runActHistory(ctx context.Context, seed uint64, size int, bound time.Duration, h actHistory) (acting, byAge, valid actReport) {
	sim := newSimulation(ctx, rand.New(rand.NewPCG(seed, uint64(size))), size, bound)
	sim.populate()
	sim.start()
	defer sim.end()
	changing, stopChanging := context.WithCancel(ctx)
	defer stopChanging()
	sim.running.Go(func() { sim.sendHeartbeats(changing) })
	pause.For(ctx, simWarmup)
	sim.running.Go(func() { sim.changeUpstreams(changing) })
	disturbed, end := h.strike(sim)
	began := time.Now()
	sim.write(simUpstreams, "u0", sim.randomBytes(25)) // none of the messages before it tells of it
	ended := false
	disturbedUntil := map[*simInstance]time.Time{}
	for time.Since(began) < actDisturbance+actSettling {
		if !ended && time.Since(began) >= actDisturbance {
			end()
			ended = true
		}
		for _, i := range sim.instances {
			now := !ended && disturbed(i)
			if now {
				disturbedUntil[i] = time.Now()
			}
			late := i.isInContact(disturbedUntil[i], now) && i.lacksLate(simUpstreams)
			age, _ := i.publisher.followers[simUpstreams].Age()
			acting.count(true, late)
			byAge.count(age <= usableTime(bound), late)
			valid.count(i.validity.Check() == nil, late)
		}
		time.Sleep(actInterval)
	}
	return acting, byAge, valid
}

func (r *actReport) count(acts, late bool) {
	r.all++
	switch {
	case acts && late:
		r.late++
	case !acts:
		r.refused++
	}
}

// Guards against two failures at once: instances that act on what they cannot know any more, and instances that refuse
// their clients although nobody knows more. No instance in contact may act on a copy that lacks a change for longer
// than the bound, whatever its own link does.
func TestCopiesAreActedUponWhileTheyAreValid(t *testing.T) {
	for _, h := range actHistories {
		for n, size := range []int{9, 9, min(63, largeFleet)} {
			bound := []time.Duration{2 * time.Second, 3 * time.Second, 3 * time.Second}[n]
			t.Run(fmt.Sprintf("%s, %d instances, bound %v", h.description, size, bound), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					acting, byAge, valid := runActHistory(t.Context(), 1, size, bound, h)
					t.Logf("late of %d: always acting %d, by age %d, valid %d; refused in 100: by age %.1f, valid %.1f",
						valid.all, acting.late, byAge.late, valid.late, byAge.refusedPercent(), valid.refusedPercent())
					if valid.late > 0 {
						t.Errorf("%d of %d actions were late", valid.late, valid.all)
					}
					if allowed := h.allowedPercent(size, bound); valid.refusedPercent() > allowed {
						t.Errorf("%.1f of 100 actions were refused, at most %.1f allowed", valid.refusedPercent(), allowed)
					}
				})
			})
		}
	}
}
