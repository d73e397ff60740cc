package follow

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Flags of a long run: go test ./pkg/follow -run TestDrawnHistories -histories 1000 -size 295.
var (
	numHistories = flag.Int("histories", 0, "how many histories to draw; 0 for the short run")
	fleetSize    = flag.Int("size", 295, "instances in each history, with -histories")
	firstSeed    = flag.Uint64("first", 1, "seed of the first history, with -histories")
	trace        = flag.Bool("trace", false, "print the trace of the instance with the latest change, on failure")
)

// Bounds of a deployment with hundreds of instances.
const (
	simBound       = 4 * time.Second
	simContactTime = 5 * time.Second
	// simRefusalAllowance is added to the bound while the store refuses some instances.
	simRefusalAllowance = 8 * time.Second
	// simSettleTime is how long after the last disturbance all copies are checked.
	simSettleTime = simContactTime + simBound
	// simNumReaders is the number of instances that make most of the reads of the store.
	simNumReaders = 3
	// simWarmup is the time before the first disturbance.
	simWarmup = 5 * time.Second
)

// delayReport holds the delays with which changes came into force at instances in contact.
type delayReport struct {
	// undisturbed holds a delay for each change and instance while the store was available to all,
	// withRefusals those while it refused some instances.
	undisturbed, withRefusals []time.Duration
	// worst describes the longest delay relative to its bound; worstInstance is the index of its
	// instance.
	worst         string
	worstInstance int
	// mismatches describes copies that differ from the store at the end.
	mismatches []string
	calls      int
	// statements holds what was checked of the statements between instances.
	statements statementChecks
	// worstTrace is the trace of that instance, with -trace.
	worstTrace []string
}

// runHistory simulates the random history of a seed, with disturbances drawn from the given ones.
func runHistory(ctx context.Context, seed uint64, instances int, disturbances []disturbance) delayReport {
	random := rand.New(rand.NewPCG(seed, uint64(instances)))
	sim := newSimulation(ctx, random, instances, simBound)
	sim.populate()
	sim.start()
	pause.For(ctx, simWarmup)
	sim.runDisturbances(disturbances)
	pause.For(ctx, simSettleTime)
	out := sim.propagationDelays()
	out.calls, out.worstTrace = sim.store.count(), sim.instances[out.worstInstance].trace
	for _, i := range sim.instances {
		for kind, copied := range i.copies {
			if diff := copied.difference(); diff != "" {
				out.mismatches = append(out.mismatches, fmt.Sprintf("instance %d, %s: %s", i.index, kind, diff))
			}
		}
	}
	sim.end()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	out.statements = sim.statements
	return out
}

// populate writes the objects that exist before the disturbances start.
func (sim *simulation) populate() {
	sim.write(simRouting, "main", sim.randomBytes(sim.randomConfigSize()))
	for n := range 100 {
		sim.write(simUpstreams, fmt.Sprint("u", n), sim.randomBytes(25))
	}
}

// randomConfigSize draws the compressed size of a configuration; some are the largest that a store
// holds.
func (sim *simulation) randomConfigSize() int {
	return []int{2_000, 6_000, 20_000, 45_000, 100_000}[sim.randomIntN(5)]
}

// randomBytes returns incompressible bytes.
func (sim *simulation) randomBytes(size int) []byte {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	text := make([]byte, size)
	for n := range text {
		text[n] = byte(sim.random.Uint32())
	}
	return text
}

// lastInContact returns the last moment before until at which an instance was in contact, and
// whether it is after from.
func lastInContact(disturbed []span, from, until time.Time) (time.Time, bool) {
	// An instance is in contact if it was undisturbed for the last simContactTime. The loop moves
	// until back over every disturbed span, extended by simContactTime, that contains it.
	for moved := true; moved; {
		moved = false
		for _, s := range disturbed {
			if s.from.Before(until) && until.Before(s.to.Add(simContactTime)) {
				until, moved = s.from, true
			}
		}
	}
	return until, from.Before(until)
}

// propagationDelays returns the delays of changes at instances in contact.
func (sim *simulation) propagationDelays() delayReport {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out delayReport
	worst := 0.0
	reverted := sim.revertedAt()
	note := func(into *[]time.Duration, a arrival, disturbed []span, bound time.Duration) {
		written := sim.writtenAt[a.change]
		until := a.appliedAt
		if revertedAt, ok := reverted[a.change]; ok && revertedAt.Before(until) {
			until = revertedAt
		}
		at, in := lastInContact(disturbed, later(written, a.startedAt), until)
		if !in {
			return
		}
		late := at.Sub(written)
		*into = append(*into, late)
		if ratio := late.Seconds() / bound.Seconds(); ratio > worst {
			worst, out.worstInstance = ratio, a.instance
			out.worst = fmt.Sprintf("%s at instance %d, written at %v, in force %v later, of these %v in contact, bound %v",
				a.kind, a.instance, written.Format("05.000"), a.appliedAt.Sub(written), late, bound)
		}
	}
	for _, a := range sim.arrivals {
		own := sim.instances[a.instance].disturbed
		note(&out.undisturbed, a, slices.Concat(own, sim.storeDisturbed, sim.storeRefusing), sim.bound)
		if len(sim.storeRefusing) > 0 {
			note(&out.withRefusals, a, slices.Concat(own, sim.storeDisturbed), sim.bound+simRefusalAllowance)
		}
	}
	return out
}

// revertedAt returns, for each change that created an object, when the object was deleted again:
// from then on, a copy without it lacks nothing. sim.mu must be held.
func (sim *simulation) revertedAt() map[store.Position]time.Time {
	reverted := map[store.Position]time.Time{}
	for _, changes := range sim.store.changes {
		created, exists := map[string]store.Position{}, map[string]bool{}
		for _, change := range changes {
			key := change.Object.Key
			if at, fresh := created[key]; fresh && change.Deleted {
				reverted[at] = sim.writtenAt[change.Object.Position]
			}
			delete(created, key)
			if !change.Deleted && !exists[key] {
				created[key] = change.Object.Position
			}
			exists[key] = !change.Deleted
		}
	}
	return reverted
}

// Guards against a change that comes into force late at a few of hundreds of instances, which then
// serve a dropped route or use an upstream that has left. The histories combine the causes of
// delay: the store refuses the instances that read it first, changes are superseded before they
// have spread, and meanwhile instances start, crash and are partitioned.
func TestDrawnHistoriesBringEachChangeInTime(t *testing.T) {
	count, instances, from := 6, min(63, largeFleet), uint64(1)
	if *numHistories > 0 {
		count, instances, from = *numHistories, *fleetSize, *firstSeed
	}
	var undisturbed, withRefusals []time.Duration
	calls := 0
	for seed := from; seed < from+uint64(count); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				report := runHistory(t.Context(), seed, instances, simDisturbances)
				undisturbed, withRefusals = append(undisturbed, report.undisturbed...), append(withRefusals, report.withRefusals...)
				calls += report.calls
				if late := longest(report.undisturbed); late > simBound {
					t.Errorf("a change came into force %v late: %s", late, report.worst)
				}
				if late := longest(report.withRefusals); late > simBound+simRefusalAllowance {
					t.Errorf("while the store refused some instances a change came into force %v late: %s", late, report.worst)
				}
				if t.Failed() {
					for _, line := range report.worstTrace {
						t.Log(line)
					}
				}
				for _, mismatch := range report.mismatches[:min(3, len(report.mismatches))] {
					t.Errorf("at the end of seed %d: %s (%d in all)", seed, mismatch, len(report.mismatches))
				}
			})
		})
	}
	t.Logf("%d histories of %d instances, %d calls each; while the store serves all: %s; while it refuses some: %s",
		count, instances, calls/count, distribution(undisturbed), distribution(withRefusals))
}

func longest(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return slices.Max(times)
}

// distribution formats quantiles of times.
func distribution(times []time.Duration) string {
	if len(times) == 0 {
		return "none"
	}
	slices.Sort(times)
	at := func(share float64) time.Duration {
		return times[int(share*float64(len(times)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("median %v, 99th %v, 99.9th %v, worst %v", at(0.5), at(0.99), at(0.999), at(1))
}
