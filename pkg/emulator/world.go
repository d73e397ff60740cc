package emulator

import (
	"container/heap"
	"time"
)

// World plays engines and what happens around them in virtual time.
type World struct {
	now    time.Duration
	queue  happenings
	serial int
}

type happening struct {
	at     time.Duration
	serial int // keeps the order of what happens at the same time
	do     func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].serial < h[j].serial)
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *happenings) Push(x any) { *h = append(*h, x.(happening)) }

// Pop implements heap.Interface.
func (h *happenings) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// Now is the time since the beginning.
func (w *World) Now() time.Duration { return w.now }

// At has something happen at a time.
func (w *World) At(at time.Duration, do func()) {
	w.serial++
	heap.Push(&w.queue, happening{at: max(at, w.now), serial: w.serial, do: do})
}

// Run plays until nothing is left to happen.
func (w *World) Run() {
	for len(w.queue) > 0 {
		next := heap.Pop(&w.queue).(happening)
		w.now = next.at
		next.do()
	}
}

// Send gives a request to an engine.
func (w *World) Send(e *Engine, r *Request) {
	r.SentAt = w.now
	idle := !e.busy()
	e.waiting = append(e.waiting, r)
	if idle {
		w.turn(e)
	}
}

// turn plays an engine's steps while it has something to do.
func (w *World) turn(e *Engine) {
	if !e.busy() {
		return
	}
	took, reader, chunk := e.step()
	w.At(w.now+took, func() {
		e.finish(w.now, reader, chunk)
		w.turn(e)
	})
}
