package owndelay

import (
	"context"
	"errors"
	"math"
	"testing"
	"testing/synctest"
	"time"
)

const testTimeout = 300 * time.Millisecond

// Guards against an instance that gives others up at the usual time although it is late itself: the delay that it
// has when the time is over extends the wait, up to a bound.
func TestWaitIsExtendedByTheOwnDelay(t *testing.T) {
	cases := []struct {
		description string
		delays      map[time.Duration]time.Duration // by when they are measured
		want        time.Duration
	}{
		{"never measured", nil, testTimeout},
		{"not busy", map[time.Duration]time.Duration{0: minDelay}, testTimeout},
		{"busy from the beginning", map[time.Duration]time.Duration{0: 20 * time.Millisecond}, testTimeout + turns*20*time.Millisecond},
		{"busy after the beginning", map[time.Duration]time.Duration{250 * time.Millisecond: 20 * time.Millisecond}, testTimeout + turns*20*time.Millisecond},
		{"the longest delay counts", map[time.Duration]time.Duration{0: 20 * time.Millisecond, time.Millisecond: 6 * time.Millisecond}, testTimeout + turns*20*time.Millisecond},
		{"very busy", map[time.Duration]time.Duration{0: time.Second}, maxFactor * testTimeout},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, began := &Meter{}, time.Now()
				ctx, cancel := m.WithTimeout(t.Context(), testTimeout)
				defer cancel()
				for after, delay := range c.delays {
					time.AfterFunc(after, func() { m.Observe(delay) })
				}
				if c.want == maxFactor*testTimeout {
					keepBusy(ctx, m)
				}
				<-ctx.Done()
				if got := time.Since(began); got != c.want || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
					t.Errorf("waited %s, want %s; error %v", got, c.want, ctx.Err())
				}
				time.Sleep(lifetime) // keepBusy ends
			})
		})
	}
}

// keepBusy measures a delay of a second again and again until ctx ends.
func keepBusy(ctx context.Context, m *Meter) {
	go func() {
		for ctx.Err() == nil {
			m.Observe(time.Second)
			time.Sleep(lifetime / 10)
		}
	}()
}

// Guards against instances that wait too long for the rest of their time because they were busy once.
func TestDelaysAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Meter{}
		m.Observe(time.Second)
		time.Sleep(lifetime + time.Millisecond)
		if m.Delay() != 0 || m.Extend(testTimeout) != testTimeout {
			t.Errorf("the delay is still %s", m.Delay())
		}
	})
}

// Guards against a context that goes on after its caller has left, or that takes a cancellation for a timeout.
func TestEndedWaitStaysEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parent, leave := context.WithCancel(t.Context())
		m := &Meter{}
		left, cancel := m.WithTimeout(parent, testTimeout)
		defer cancel()
		done, stop := m.WithTimeout(t.Context(), testTimeout)
		leave()
		stop()
		synctest.Wait()
		for _, ctx := range []context.Context{left, done} {
			if !errors.Is(ctx.Err(), context.Canceled) {
				t.Errorf("got error %v, want context.Canceled", ctx.Err())
			}
		}
		time.Sleep(2 * testTimeout)
		if !errors.Is(left.Err(), context.Canceled) {
			t.Errorf("later, the error is %v", left.Err())
		}
	})
}

// Guards against delays that are not measured, or that a few goroutines make up.
func TestLatencyIsExceededByFew(t *testing.T) {
	buckets := []float64{0, 0.001, 0.01, 0.1, math.Inf(1)}
	cases := []struct {
		counts []uint64
		want   time.Duration
	}{
		{[]uint64{0, 0, 0, 0}, 0},
		{[]uint64{100, 0, 0, 0}, 0},
		{[]uint64{95, 0, 5, 0}, 10 * time.Millisecond},
		{[]uint64{97, 0, 3, 0}, 0},
		{[]uint64{50, 44, 3, 3}, 10 * time.Millisecond},
		{[]uint64{0, 0, 0, 7}, 100 * time.Millisecond},
	}
	for _, c := range cases {
		if got := exceededByFew(c.counts, buckets); got != c.want {
			t.Errorf("%v: got %s, want %s", c.counts, got, c.want)
		}
	}
	if l := newLatencies(); l.sample[0].Value.Float64Histogram() == nil || len(l.counts) == 0 {
		t.Error("the runtime measures no latencies")
	}
}
