package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/platform"
)

// Idle is what one instance of a fleet costs without a request, on average.
type Idle struct {
	Instances int
	// Processor is in percent of a core; Memory in bytes resident.
	Processor, Memory float64
	// PeerBytes and StoreBytes are a second, both directions together.
	PeerBytes, StoreBytes float64
	// Reads, Writes and Watches are calls to the store a second, of the whole
	// fleet.
	Reads, Writes, Watches float64
	// Spread is the time in which an accepted document came into force at the
	// median and the last instance.
	SpreadMedian, SpreadLast time.Duration
}

// Fleets holds the measurements over fleet sizes.
type Fleets struct {
	Runs []Idle
	// Heartbeats and so on are the lines through them, over instances.
	Processor, Memory, PeerBytes, StoreBytes, Calls Line
}

// Lengths of one fleet's measurement.
const (
	settleTime  = 6 * time.Second
	measureTime = 15 * time.Second
	spreadLimit = 10 * time.Second
)

// MeasureFleets runs fleets of the given sizes one after the other.
func MeasureFleets(binaries string, sizes []int) (Fleets, error) {
	var f Fleets
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

func (f *Fleets) fitLines() {
	line := func(value func(Idle) float64) Line {
		var xs, ys []float64
		for _, run := range f.Runs {
			xs = append(xs, float64(run.Instances))
			ys = append(ys, value(run))
		}
		return fit(xs, ys)
	}
	f.Processor = line(func(r Idle) float64 { return r.Processor })
	f.Memory = line(func(r Idle) float64 { return r.Memory })
	f.PeerBytes = line(func(r Idle) float64 { return r.PeerBytes })
	f.StoreBytes = line(func(r Idle) float64 { return r.StoreBytes })
	f.Calls = line(func(r Idle) float64 { return r.Reads + r.Writes + r.Watches })
}

func measureFleet(binaries string, n int) (Idle, error) {
	b, err := newBench(binaries)
	if err != nil {
		return Idle{}, err
	}
	defer b.close()
	time.Sleep(500 * time.Millisecond)
	for i := range n {
		if err := b.startInstance(i); err != nil {
			return Idle{}, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return Idle{}, err
	}
	time.Sleep(settleTime)
	run, err := b.idle()
	if err != nil {
		return run, err
	}
	run.SpreadMedian, run.SpreadLast, err = b.spread()
	return run, err
}

// sum is the fleet's counters at one moment.
type sum struct {
	processor                           time.Duration
	memory                              float64
	peers, stored, reads, writes, waits float64
}

func (b *bench) sum() (sum, error) {
	var s sum
	for _, c := range b.instances {
		processor, memory, err := c.usage()
		if err != nil {
			return s, err
		}
		counters, err := c.counters()
		if err != nil {
			return s, err
		}
		s.processor += processor
		s.memory += memory
		s.peers += counters["peers.bytes_in"] + counters["peers.bytes_out"]
		s.stored += counters["store.bytes"]
		s.reads += counters["store.reads"]
		s.writes += counters["store.writes"]
		s.waits += counters["store.watches"]
	}
	return s, nil
}

func (b *bench) idle() (Idle, error) {
	before, err := b.sum()
	if err != nil {
		return Idle{}, err
	}
	start := time.Now()
	time.Sleep(measureTime)
	after, err := b.sum()
	seconds := time.Since(start).Seconds()
	n := float64(len(b.instances))
	return Idle{
		Instances:  len(b.instances),
		Processor:  100 * (after.processor - before.processor).Seconds() / seconds / n,
		Memory:     after.memory / n,
		PeerBytes:  (after.peers - before.peers) / seconds / n,
		StoreBytes: (after.stored - before.stored) / seconds / n,
		Reads:      (after.reads - before.reads) / seconds,
		Writes:     (after.writes - before.writes) / seconds,
		Watches:    (after.waits - before.waits) / seconds,
	}, err
}

// spread writes a document and watches it come into force at every instance, by
// the number of services that each says it works for.
func (b *bench) spread() (median, last time.Duration, err error) {
	client := platform.NewClient(b.platform, 5*time.Second, nil)
	text := acceptedOf(10).Text
	start := time.Now()
	if _, err := client.Put(context.Background(), configsync.DocumentPrefix+"s", text, store.NoPosition); err != nil {
		return 0, 0, err
	}
	var times []time.Duration
	waiting := append([]*child(nil), b.instances...)
	for len(waiting) > 0 && time.Since(start) < spreadLimit {
		kept := waiting[:0]
		for _, c := range waiting {
			counters, err := c.counters()
			if err == nil && counters["config.services"] > 0 {
				times = append(times, time.Since(start))
				continue
			}
			kept = append(kept, c)
		}
		waiting = kept
		time.Sleep(10 * time.Millisecond)
	}
	if len(waiting) > 0 {
		return 0, 0, fmt.Errorf("%d instances did not apply the document within %v", len(waiting), spreadLimit)
	}
	return times[len(times)/2], times[len(times)-1], nil
}
