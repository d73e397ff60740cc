// Package emulator simulates model engines in virtual time, without network or wall clock, so
// that the choice of upstreams can be tested under load. The same inputs always give the same
// results.
package emulator

import "time"

// EngineConfig holds the performance figures of an engine, as deployments publish them.
type EngineConfig struct {
	// MaxRunning is the number of requests that run at once; others wait.
	MaxRunning int
	// MinStepTime is the duration of a step without context. Each running request adds
	// StepTimePerKToken for each 1,000 tokens of its context.
	MinStepTime, StepTimePerKToken time.Duration
	// PrefillTokensPerMs is the number of prompt tokens prefilled in a millisecond at the start
	// of a prompt. Each pair of a prefilled token and one before it takes additional time:
	// TimePerMPairs is the time for a million pairs.
	PrefillTokensPerMs float64
	TimePerMPairs      time.Duration
	// MaxChunkTokens is the most prompt tokens prefilled in one step, TokensPerEvent the number
	// of output tokens in one event.
	MaxChunkTokens, TokensPerEvent int64
	// CacheTokens is the number of tokens of shared parts that the cache holds. The least
	// recently used parts are evicted first.
	CacheTokens int64
}

// Part is a part of a prompt that several requests share.
type Part struct {
	ID     uint64
	Tokens int64
}

// Request is one request at an engine.
type Request struct {
	// SharedParts are the leading parts of the prompt that other requests may share, in order.
	// PromptTokens is the length of the whole prompt, NumEvents the number of events in the
	// answer.
	SharedParts  []Part
	PromptTokens int64
	NumEvents    int

	// SentAt is when the request was sent, TimeToFirstEvent the time from then to its first
	// event, and LongestPause the longest time between two events. The simulation sets them.
	SentAt                         time.Duration
	TimeToFirstEvent, LongestPause time.Duration
	// OnFirstEvent is called at the first event, OnEnd at the end of the answer, if they are
	// not nil.
	OnFirstEvent, OnEnd func()

	prefilled, generated int64
	lastEvent            time.Duration
	emitted              int
}

// Engine batches requests continuously: in each step, every running request whose prompt has
// been prefilled generates a token, and one chunk of the first other running request is
// prefilled.
type Engine struct {
	EngineConfig
	// PrefilledTokens is the number of prompt tokens that the engine has prefilled.
	PrefilledTokens int64

	waiting, running []*Request
	cache            []Part // least recently used first
}

// Load returns the numbers of running and waiting requests.
func (e *Engine) Load() (running, waiting int) { return len(e.running), len(e.waiting) }

// hasWork reports whether any request is running or waiting.
func (e *Engine) hasWork() bool { return len(e.running)+len(e.waiting) > 0 }

// admit starts waiting requests while fewer than MaxRunning run.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.MaxRunning {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.prefilled = min(e.cachedTokens(r), r.PromptTokens-1)
		e.running = append(e.running, r)
	}
}

// cachedTokens returns the number of leading prompt tokens that are in the cache, and marks
// their parts as used.
func (e *Engine) cachedTokens(r *Request) int64 {
	var cached int64
	for _, part := range r.SharedParts {
		if !e.useCached(part.ID) {
			break
		}
		cached += part.Tokens
	}
	return cached
}

// useCached reports whether the part is in the cache, and makes it the most recently used one.
func (e *Engine) useCached(id uint64) bool {
	for i, part := range e.cache {
		if part.ID == id {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), part)
			return true
		}
	}
	return false
}

func (e *Engine) addToCache(parts []Part) {
	for _, part := range parts {
		if !e.useCached(part.ID) {
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

// planStep starts waiting requests and plans one step. It returns the duration of the step, the
// request to prefill, or nil, and the tokens to prefill for it. finishStep applies the step.
func (e *Engine) planStep() (duration time.Duration, prefilling *Request, chunk int64) {
	e.admit()
	duration = e.MinStepTime
	var contextTokens int64
	for _, r := range e.running {
		contextTokens += r.prefilled + r.generated
		if prefilling == nil && r.prefilled < r.PromptTokens {
			prefilling = r
		}
	}
	duration += time.Duration(float64(e.StepTimePerKToken) * float64(contextTokens) / 1000)
	if prefilling == nil {
		return duration, nil, 0
	}
	chunk = min(e.MaxChunkTokens, prefilling.PromptTokens-prefilling.prefilled)
	duration += time.Duration(float64(chunk) / e.PrefillTokensPerMs * float64(time.Millisecond))
	pairs := float64(chunk) * (float64(prefilling.prefilled) + float64(chunk)/2)
	duration += time.Duration(pairs / 1e6 * float64(e.TimePerMPairs))
	return duration, prefilling, chunk
}

// finishStep applies a step that ends now.
func (e *Engine) finishStep(now time.Duration, prefilling *Request, chunk int64) {
	unfinished := e.running[:0]
	for _, r := range e.running {
		if r == prefilling {
			r.prefilled += chunk
			e.PrefilledTokens += chunk
			if r.prefilled == r.PromptTokens {
				e.addToCache(r.SharedParts)
			}
		}
		if r.prefilled == r.PromptTokens {
			r.generated++
			if r.generated%e.TokensPerEvent == 0 {
				r.emitEvent(now)
			}
		}
		if r.emitted < r.NumEvents {
			unfinished = append(unfinished, r)
		} else if r.OnEnd != nil {
			r.OnEnd()
		}
	}
	e.running = unfinished
}

func (r *Request) emitEvent(now time.Duration) {
	r.emitted++
	if r.emitted == 1 {
		r.TimeToFirstEvent = now - r.SentAt
		if r.OnFirstEvent != nil {
			r.OnFirstEvent()
		}
	} else {
		r.LongestPause = max(r.LongestPause, now-r.lastEvent)
	}
	r.lastEvent = now
}
