// Package emulator plays model engines in virtual time, without network and without a wall
// clock, so that decisions on where requests go can be tested under load. One seed always
// plays the same.
package emulator

import "time"

// EngineConfig is the figures of an engine, as deployments publish them.
type EngineConfig struct {
	// Slots is how many requests run at once; others wait.
	Slots int
	// Step is a step's least time; each running request adds PerContext for each 1,000
	// tokens of its context.
	Step, PerContext time.Duration
	// ReadPerMs is how many prompt tokens are read in a millisecond at a prompt's beginning.
	// Each pair of a token read and one before it adds to that: PairsPerM is the time for a
	// million of them.
	ReadPerMs float64
	PairsPerM time.Duration
	// Chunk is the most prompt tokens read in one step, Stride the tokens in one event.
	Chunk, Stride int64
	// CacheTokens is how many tokens of shared parts are kept, the last used ones.
	CacheTokens int64
}

// Part is a shared part of a prompt.
type Part struct {
	ID     uint64
	Tokens int64
}

// Request is one request at an engine.
type Request struct {
	// Shared are the prompt's parts that others may have, in order; Prompt is the length of
	// the whole, Events how many events its answer has.
	Shared []Part
	Prompt int64
	Events int

	// SentAt is when it came; FirstAfter how long its first event took, LongestPause the
	// longest time between two. They are set as it runs.
	SentAt                   time.Duration
	FirstAfter, LongestPause time.Duration
	// OnFirst, if set, is called at its first event, OnEnd at its end.
	OnFirst, OnEnd func()

	read, made int64
	lastEvent  time.Duration
	events     int
}

// Engine batches requests continuously: in each step every request that has been read makes
// a token, and one chunk of the first that has not is read.
type Engine struct {
	EngineConfig
	// Read counts the prompt tokens that were read.
	Read int64

	waiting, running []*Request
	cache            []Part // the last used at the end
}

// Load returns how many requests run and wait.
func (e *Engine) Load() (running, waiting int) { return len(e.running), len(e.waiting) }

// busy reports that there is something to do.
func (e *Engine) busy() bool { return len(e.running)+len(e.waiting) > 0 }

// admit starts what waits while there are slots.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.read = min(e.cachedOf(r), r.Prompt-1)
		e.running = append(e.running, r)
	}
}

// cachedOf is how much of a prompt's beginning is kept here.
func (e *Engine) cachedOf(r *Request) int64 {
	var known int64
	for _, part := range r.Shared {
		if !e.touch(part.ID) {
			break
		}
		known += part.Tokens
	}
	return known
}

// touch makes a kept part the last used one, and reports whether it is kept.
func (e *Engine) touch(id uint64) bool {
	for i, part := range e.cache {
		if part.ID == id {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), part)
			return true
		}
	}
	return false
}

func (e *Engine) keep(parts []Part) {
	for _, part := range parts {
		if !e.touch(part.ID) {
			e.cache = append(e.cache, part)
		}
	}
	var sum int64
	for i := len(e.cache) - 1; i >= 0; i-- {
		if sum += e.cache[i].Tokens; sum > e.CacheTokens {
			e.cache = e.cache[i+1:]
			return
		}
	}
}

// step plans one step and returns how long it takes; its effects come with finish.
func (e *Engine) step() (took time.Duration, reader *Request, chunk int64) {
	e.admit()
	took = e.Step
	var context int64
	for _, r := range e.running {
		context += r.read + r.made
		if reader == nil && r.read < r.Prompt {
			reader = r
		}
	}
	took += time.Duration(float64(e.PerContext) * float64(context) / 1000)
	if reader == nil {
		return took, nil, 0
	}
	chunk = min(e.Chunk, reader.Prompt-reader.read)
	took += time.Duration(float64(chunk) / e.ReadPerMs * float64(time.Millisecond))
	pairs := float64(chunk) * (float64(reader.read) + float64(chunk)/2)
	took += time.Duration(pairs / 1e6 * float64(e.PairsPerM))
	return took, reader, chunk
}

// finish applies a step that ended at a time.
func (e *Engine) finish(now time.Duration, reader *Request, chunk int64) {
	left := e.running[:0]
	for _, r := range e.running {
		if r == reader {
			r.read += chunk
			e.Read += chunk
			if r.read == r.Prompt {
				e.keep(r.Shared)
			}
		}
		if r.read == r.Prompt {
			r.made++
			if r.made%e.Stride == 0 {
				r.event(now)
			}
		}
		if r.events < r.Events {
			left = append(left, r)
		} else if r.OnEnd != nil {
			r.OnEnd()
		}
	}
	e.running = left
}

func (r *Request) event(now time.Duration) {
	r.events++
	if r.events == 1 {
		r.FirstAfter = now - r.SentAt
		if r.OnFirst != nil {
			r.OnFirst()
		}
	} else {
		r.LongestPause = max(r.LongestPause, now-r.lastEvent)
	}
	r.lastEvent = now
}
