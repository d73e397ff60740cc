package emulator

import (
	"container/heap"
	"time"
)

// Simulator runs engines and scheduled functions in virtual time. The zero value is ready
// to use.
type Simulator struct {
	now          time.Duration
	events       eventHeap
	lastSequence int
}

type event struct {
	at       time.Duration
	sequence int // orders events of the same time
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// Now returns the virtual time since the start.
func (s *Simulator) Now() time.Duration { return s.now }

// Schedule schedules a function at a virtual time, or now if that time has passed.
func (s *Simulator) Schedule(at time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.events, event{at: max(at, s.now), sequence: s.lastSequence, run: run})
}

// Run runs events in order of time until none is left.
func (s *Simulator) Run() {
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

// Send sends a request to an engine.
func (s *Simulator) Send(e *Engine, r *Request) {
	r.SentAt = s.now
	idle := !e.hasWork()
	e.waiting = append(e.waiting, r)
	if idle {
		s.runSteps(e)
	}
}

// runSteps runs an engine's steps while it has requests.
func (s *Simulator) runSteps(e *Engine) {
	if !e.hasWork() {
		return
	}
	duration, prefilling, chunk := e.planStep()
	s.Schedule(s.now+duration, func() {
		e.finishStep(s.now, prefilling, chunk)
		s.runSteps(e)
	})
}
