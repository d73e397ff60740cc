package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/platform"
)

// IdleCost is the average cost of one instance of a fleet without requests.
type IdleCost struct {
	Instances int
	// ProcessorPercent is in percent of a core; MemoryBytes is the resident memory.
	ProcessorPercent, MemoryBytes float64
	// PeerByteRate and StoreByteRate are bytes a second, both directions together.
	PeerByteRate, StoreByteRate float64
	// ReadRate, WriteRate and WatchRate are calls a second of the whole fleet to the store.
	ReadRate, WriteRate, WatchRate float64
	// SpreadMedian and SpreadLast are the times after which a written document was in force at
	// half of the instances and at the last one.
	SpreadMedian, SpreadLast time.Duration
}

// FleetCosts holds the measurements over fleet sizes.
type FleetCosts struct {
	Runs []IdleCost
	// The lines are fitted to Runs, over the number of instances.
	ProcessorPercent, MemoryBytes, PeerByteRate, StoreByteRate, StoreCallRate Line
}

// Durations of the measurement of one fleet. settleDuration is the time between its start and the
// measurement.
const (
	settleDuration  = 6 * time.Second
	measureDuration = 15 * time.Second
	spreadTimeout   = 10 * time.Second
)

// MeasureFleets starts and measures fleets of the given sizes, one after the other. The programs
// are those in the folder binaries.
func MeasureFleets(binaries string, sizes []int) (FleetCosts, error) {
	var f FleetCosts
	for _, n := range sizes {
		run, err := measureFleet(binaries, n)
		if err != nil {
			return f, fmt.Errorf("fleet of %d: %w", n, err)
		}
		f.Runs = append(f.Runs, run)
	}
	f.fitLines()
	return f, nil
}

func (f *FleetCosts) fitLines() {
	line := func(value func(IdleCost) float64) Line {
		var xs, ys []float64
		for _, run := range f.Runs {
			xs = append(xs, float64(run.Instances))
			ys = append(ys, value(run))
		}
		return fit(xs, ys)
	}
	f.ProcessorPercent = line(func(r IdleCost) float64 { return r.ProcessorPercent })
	f.MemoryBytes = line(func(r IdleCost) float64 { return r.MemoryBytes })
	f.PeerByteRate = line(func(r IdleCost) float64 { return r.PeerByteRate })
	f.StoreByteRate = line(func(r IdleCost) float64 { return r.StoreByteRate })
	f.StoreCallRate = line(func(r IdleCost) float64 { return r.ReadRate + r.WriteRate + r.WatchRate })
}

func measureFleet(binaries string, n int) (IdleCost, error) {
	f, err := newTestFleet(binaries)
	if err != nil {
		return IdleCost{}, err
	}
	defer f.close()
	time.Sleep(500 * time.Millisecond)
	for i := range n {
		if err := f.startInstance(i); err != nil {
			return IdleCost{}, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return IdleCost{}, err
	}
	time.Sleep(settleDuration)
	run, err := f.measureIdle()
	if err != nil {
		return run, err
	}
	run.SpreadMedian, run.SpreadLast, err = f.measureSpread()
	return run, err
}

// fleetCounters holds the resident memory and the counters of all instances of a fleet, summed. The
// counters count since the start of the instances.
type fleetCounters struct {
	processor                                     time.Duration
	memoryBytes                                   float64
	peerBytes, storeBytes, reads, writes, watches float64
}

func (f *testFleet) readCounters() (fleetCounters, error) {
	var s fleetCounters
	for _, p := range f.instances {
		processor, memory, err := p.readUsage()
		if err != nil {
			return s, err
		}
		counters, err := p.readCounters()
		if err != nil {
			return s, err
		}
		s.processor += processor
		s.memoryBytes += memory
		s.peerBytes += counters["peers.bytes_in"] + counters["peers.bytes_out"]
		s.storeBytes += counters["store.bytes"]
		s.reads += counters["store.reads"]
		s.writes += counters["store.writes"]
		s.watches += counters["store.watches"]
	}
	return s, nil
}

// measureIdle measures the cost of the instances over measureDuration.
func (f *testFleet) measureIdle() (IdleCost, error) {
	before, err := f.readCounters()
	if err != nil {
		return IdleCost{}, err
	}
	start := time.Now()
	time.Sleep(measureDuration)
	after, err := f.readCounters()
	seconds := time.Since(start).Seconds()
	n := float64(len(f.instances))
	return IdleCost{
		Instances:        len(f.instances),
		ProcessorPercent: 100 * (after.processor - before.processor).Seconds() / seconds / n,
		MemoryBytes:      after.memoryBytes / n,
		PeerByteRate:     (after.peerBytes - before.peerBytes) / seconds / n,
		StoreByteRate:    (after.storeBytes - before.storeBytes) / seconds / n,
		ReadRate:         (after.reads - before.reads) / seconds,
		WriteRate:        (after.writes - before.writes) / seconds,
		WatchRate:        (after.watches - before.watches) / seconds,
	}, err
}

// measureSpread writes a document and measures when it is in force at each instance: when the
// instance's metrics count a service.
func (f *testFleet) measureSpread() (median, last time.Duration, err error) {
	client := platform.NewClient(f.platformAddress, 5*time.Second, nil)
	text := acceptedDocument(10).Text
	start := time.Now()
	if _, err := client.Put(context.Background(), configsync.DocumentPrefix+"s", text, store.NoPosition); err != nil {
		return 0, 0, err
	}
	var times []time.Duration
	waiting := append([]*process(nil), f.instances...)
	for len(waiting) > 0 && time.Since(start) < spreadTimeout {
		kept := waiting[:0]
		for _, p := range waiting {
			counters, err := p.readCounters()
			if err == nil && counters["config.services"] > 0 {
				times = append(times, time.Since(start))
				continue
			}
			kept = append(kept, p)
		}
		waiting = kept
		time.Sleep(10 * time.Millisecond)
	}
	if len(waiting) > 0 {
		return 0, 0, fmt.Errorf("%d of %d instances did not apply the document within %v", len(waiting), len(f.instances), spreadTimeout)
	}
	return times[len(times)/2], times[len(times)-1], nil
}
