package owndelay

import (
	"context"
	"runtime/metrics"
	"time"
)

const (
	// interval is the time between two measurements.
	interval = 25 * time.Millisecond
	// latencyMetric is the distribution of the time that goroutines were ready to run and did not run yet.
	latencyMetric = "/sched/latencies:seconds"
	// usualDivisor: one in usualDivisor goroutines waits longer than the measured delay.
	usualDivisor = 20
)

// Run measures the delays until ctx ends: how late it is itself, and how long goroutines wait for a processor.
func (m *Meter) Run(ctx context.Context) {
	latencies := newLatencies()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		due := time.Now().Add(interval)
		timer.Reset(interval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			m.Observe(max(time.Since(due), latencies.sinceLast()))
		}
	}
}

// latencies reads the latency metric.
type latencies struct {
	sample []metrics.Sample
	// counts holds the counts of the last reading.
	counts []uint64
}

func newLatencies() *latencies {
	l := &latencies{sample: []metrics.Sample{{Name: latencyMetric}}}
	l.sinceLast()
	return l
}

// sinceLast returns the latency of goroutines since it was last called; 0 if it is not known.
func (l *latencies) sinceLast() time.Duration {
	metrics.Read(l.sample)
	if l.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // this version of the runtime does not measure it
	}
	now := l.sample[0].Value.Float64Histogram()
	added := make([]uint64, len(now.Counts))
	for n, count := range now.Counts {
		added[n] = count
		if n < len(l.counts) {
			added[n] -= l.counts[n]
		}
	}
	l.counts = append(l.counts[:0], now.Counts...)
	return exceededByFew(added, now.Buckets)
}

// exceededByFew returns the lower bound of the highest bucket that, with those above it, holds one in usualDivisor
// of the counts. buckets holds the bounds in seconds, one more than counts.
func exceededByFew(counts []uint64, buckets []float64) time.Duration {
	var total, above uint64
	for _, count := range counts {
		total += count
	}
	for n := len(counts) - 1; n > 0; n-- {
		if above += counts[n]; above*usualDivisor >= total && above > 0 {
			return time.Duration(buckets[n] * float64(time.Second))
		}
	}
	return 0
}
