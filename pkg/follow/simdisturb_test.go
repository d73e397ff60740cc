package follow

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// disturbance disturbs a simulation and returns when that is over.
type disturbance func(*simulation)

// runDisturbances applies two to four of the given disturbances, in sequence or overlapping, while
// changes are made.
func (sim *simulation) runDisturbances(disturbances []disturbance) {
	ctx, cancel := context.WithCancel(sim.ctx)
	sim.running.Go(func() { sim.changeRouting(ctx) })
	sim.running.Go(func() { sim.changeUpstreams(ctx) })
	sim.running.Go(func() { sim.changeEmptied(ctx) })
	ended := make(chan struct{})
	count := 2 + sim.randomIntN(3)
	for range count {
		pause.For(ctx, sim.randomDuration(0, 6*time.Second))
		disturb := disturbances[sim.randomIntN(len(disturbances))]
		go func() {
			disturb(sim)
			ended <- struct{}{}
		}()
	}
	for range count {
		<-ended
	}
	pause.For(ctx, simContactTime+2*simBound)
	cancel()
}

// changeRouting changes the configuration at random times, sometimes many times in a row.
func (sim *simulation) changeRouting(ctx context.Context) {
	size := sim.randomConfigSize()
	for pause.For(ctx, sim.randomDuration(500*time.Millisecond, 4*time.Second)) {
		changes := 1
		if sim.randomIntN(4) == 0 {
			changes = 15
		}
		for range changes {
			sim.write(simRouting, "main", sim.randomBytes(size))
			if !pause.For(ctx, sim.randomDuration(150*time.Millisecond, 400*time.Millisecond)+writeTime(size)) {
				return
			}
		}
	}
}

// writeTime is how long the store takes to receive an object of a compressed size from one writer.
func writeTime(size int) time.Duration {
	return seconds(float64(size*simCompressionRatio) / simWriteRate)
}

// changeUpstreams makes upstreams leave, start and disappear.
func (sim *simulation) changeUpstreams(ctx context.Context) {
	for n := 0; pause.For(ctx, sim.randomDuration(50*time.Millisecond, 2*time.Second)); n++ {
		name := fmt.Sprint("u", sim.randomIntN(100))
		sim.write(simUpstreams, name, sim.randomBytes(25))
		if sim.randomIntN(3) == 0 {
			sim.write(simUpstreams, name, nil)
			sim.write(simUpstreams, fmt.Sprint("v", n), sim.randomBytes(25))
		}
	}
}

func (sim *simulation) changeEmptied(ctx context.Context) {
	for pause.For(ctx, sim.randomDuration(3*time.Second, 12*time.Second)) {
		sim.write(simEmptied, "a", sim.randomBytes(1))
		pause.For(sim.ctx, sim.randomDuration(time.Second, 5*time.Second))
		sim.write(simEmptied, "a", nil)
	}
}

// simDisturbances are the disturbances that histories are drawn from.
var simDisturbances = []disturbance{
	(*simulation).refuseSome, (*simulation).refuseSome,
	(*simulation).disturbStore, (*simulation).disturbStore,
	(*simulation).partitionSome, (*simulation).partitionAll,
	(*simulation).killSome, (*simulation).killFirst, (*simulation).killAll,
	(*simulation).loseSome, (*simulation).dropHistory,
}

// randomInstances draws a percentage of the instances; readers puts those that publish first.
func (sim *simulation) randomInstances(percent int, readers bool) []*simInstance {
	instances := slices.Clone(sim.instances)
	sim.mu.Lock()
	sim.random.Shuffle(len(instances), func(a, b int) { instances[a], instances[b] = instances[b], instances[a] })
	sim.mu.Unlock()
	if readers {
		slices.SortStableFunc(instances, func(a, b *simInstance) int {
			return min(a.index, simNumReaders) - min(b.index, simNumReaders)
		})
	}
	return instances[:max(1, len(instances)*percent/100)]
}

// disturbInstances disturbs some instances, which are not in contact meanwhile.
func (sim *simulation) disturbInstances(instances []*simInstance, span time.Duration, set func(i *simInstance, on bool)) {
	from := time.Now()
	for _, i := range instances {
		i.mu.Lock()
		set(i, true)
		i.mu.Unlock()
	}
	pause.For(sim.ctx, span)
	for _, i := range instances {
		i.mu.Lock()
		set(i, false)
		i.mu.Unlock()
		i.recordDisturbance(from)
	}
}

// recordDisturbance records that an instance was disturbed from a moment until now.
func (i *simInstance) recordDisturbance(from time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbed = append(i.disturbed, span{from, time.Now()})
}

func (sim *simulation) refuseSome() {
	instances := sim.randomInstances(30+sim.randomIntN(45), sim.randomIntN(3) > 0)
	behavior := []storeBehavior{storeRefuses, storeThrottles, storeResets, storeSilent}[sim.randomIntN(4)]
	from := time.Now()
	for _, i := range instances {
		i.mu.Lock()
		i.refusal = behavior
		i.mu.Unlock()
	}
	pause.For(sim.ctx, sim.randomDuration(4*time.Second, 10*time.Second))
	for _, i := range instances {
		i.mu.Lock()
		i.refusal = storeAnswers
		i.mu.Unlock()
	}
	sim.recordStoreDisturbance(&sim.storeRefusing, from)
}

func (sim *simulation) recordStoreDisturbance(spans *[]span, from time.Time) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	*spans = append(*spans, span{from, time.Now()})
}

func (sim *simulation) disturbStore() {
	from := time.Now()
	sim.store.setBehavior([]storeBehavior{storeRefuses, storeThrottles, storeResets, storeSilent, storeSlow, storeLossy}[sim.randomIntN(6)])
	pause.For(sim.ctx, sim.randomDuration(time.Second, 7*time.Second))
	sim.store.setBehavior(storeAnswers)
	sim.recordStoreDisturbance(&sim.storeDisturbed, from)
}

func (sim *simulation) dropHistory() {
	from := time.Now()
	sim.store.dropHistory(sim.ctx)
	sim.recordStoreDisturbance(&sim.storeDisturbed, from)
}

func (sim *simulation) partitionSome() {
	sim.disturbInstances(sim.randomInstances(5+sim.randomIntN(35), sim.randomIntN(2) == 0), sim.randomDuration(3*time.Second, 9*time.Second), setPartitioned)
}

func (sim *simulation) partitionAll() {
	sim.disturbInstances(sim.instances, sim.randomDuration(3*time.Second, 9*time.Second), setPartitioned)
}

func setPartitioned(i *simInstance, on bool) { i.partitioned = on }

func (sim *simulation) loseSome() {
	sim.disturbInstances(sim.randomInstances(20, false), sim.randomDuration(3*time.Second, 6*time.Second), func(i *simInstance, on bool) {
		i.lossPercent = 0
		if on {
			i.lossPercent = 3
		}
	})
}

// suspendSome stops the processors and links of some instances for a while. What they are about to
// send or receive is delayed by that time.
func (sim *simulation) suspendSome() {
	suspended := sim.randomDuration(500*time.Millisecond, 4*time.Second)
	instances := sim.randomInstances(5+sim.randomIntN(10), sim.randomIntN(2) == 0)
	sim.disturbInstances(instances, suspended, func(i *simInstance, on bool) {
		for _, q := range []*queue{&i.in, &i.out, &i.cpu} {
			if on {
				q.reserve(suspended)
			}
		}
	})
}

func (sim *simulation) killSome()  { sim.kill(sim.randomInstances(16, sim.randomIntN(2) == 0)) }
func (sim *simulation) killFirst() { sim.kill(sim.instances[:1]) }
func (sim *simulation) killAll()   { sim.kill(sim.instances) }

func (sim *simulation) kill(instances []*simInstance) {
	from := time.Now()
	var killed []*simInstance
	for _, i := range instances {
		if reached, _, _ := i.state(); reached {
			i.kill()
			killed = append(killed, i)
		}
	}
	pause.For(sim.ctx, sim.randomDuration(500*time.Millisecond, 4*time.Second))
	for _, i := range killed {
		i.start()
		i.recordDisturbance(from)
	}
}
