// Package owndelay measures how late an instance gets to its own work, because its machine is busy, and
// extends the time that others get to answer by it. Otherwise the instance takes its own delay for a lost link.
package owndelay

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Parameters of the extension.
const (
	// lifetime is how long a measured delay counts.
	lifetime = 500 * time.Millisecond
	// minDelay is the delay up to which an instance is not busy: it is usual, and extends nothing.
	minDelay = 5 * time.Millisecond
	// turns is how often the work for one answer waits for a processor: each message is read, handed on and
	// written by another goroutine.
	turns = 10
	// maxFactor times a timeout is the longest time that is waited.
	maxFactor = 5
)

// Meter holds the delays of the last moment. It is safe for concurrent use. A nil meter has no delay.
type Meter struct {
	mu sync.Mutex
	// delays holds the measured delays, oldest first.
	delays []measured
}

type measured struct {
	at    time.Time
	delay time.Duration
}

// Observe records a delay.
func (m *Meter) Observe(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget()
	m.delays = append(m.delays, measured{time.Now(), delay})
}

// forget removes the delays that do not count any more. m.mu must be held.
func (m *Meter) forget() {
	for len(m.delays) > 0 && time.Since(m.delays[0].at) > lifetime {
		m.delays = m.delays[1:]
	}
}

// Delay returns the longest delay of the last moment; 0 if the instance is not busy.
func (m *Meter) Delay() time.Duration {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget()
	var longest time.Duration
	for _, d := range m.delays {
		longest = max(longest, d.delay)
	}
	if longest <= minDelay {
		return 0
	}
	return longest
}

// Extend returns a timeout extended by the instance's own delay.
func (m *Meter) Extend(timeout time.Duration) time.Duration {
	return min(timeout+turns*m.Delay(), maxFactor*timeout)
}

// WithTimeout is like context.WithTimeout, but when the time is over it is extended by the delay that the instance
// has then. The context's Deadline is that of its parent.
func (m *Meter) WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if m == nil {
		return context.WithTimeout(parent, timeout)
	}
	ctx, cancel := context.WithCancelCause(parent)
	w := &wait{meter: m, timeout: timeout, began: time.Now(), cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.expire)
	return timeoutContext{ctx}, w.stop
}

// wait is the time until a context ends.
type wait struct {
	meter   *Meter
	timeout time.Duration
	began   time.Time
	cancel  context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
}

// expire ends the context, or extends the wait.
func (w *wait) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	remaining := w.meter.Extend(w.timeout) - time.Since(w.began)
	if remaining <= 0 {
		w.cancel(context.DeadlineExceeded)
		return
	}
	w.timer.Reset(remaining)
}

func (w *wait) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// timeoutContext has the error of a timeout if it was ended by one.
type timeoutContext struct{ context.Context }

// Err implements context.Context.
func (c timeoutContext) Err() error {
	err := c.Context.Err()
	if err != nil && errors.Is(context.Cause(c.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
}
