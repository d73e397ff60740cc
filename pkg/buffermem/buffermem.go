// Package buffermem bounds the memory in which an instance buffers answers of upstreams, all of them
// together.
//
// A part of an upstream's answer is kept until it can be delivered. Upstreams that send without end would fill
// the memory, and a process that exceeds its memory ends with all its requests. When the memory is full, the
// largest answer that is still being read is given up for the one that needs room: an answer without end
// grows until it is the largest, whereas a sound small one beside any number of them is served. The largest itself
// waits as long as it would find room once the answers that have been read completely are delivered.
package buffermem

import (
	"context"
	"errors"
	"sync"
)

// ErrShort means that an answer was given up: the memory is full, and it was the largest that is still being
// read.
var ErrShort = errors.New("answer given up as the largest: the memory for answers is full")

// ErrFull means that answers waiting for their clients took the memory until the request's context ended.
var ErrFull = errors.New("memory for answers is full of answers that wait for their clients")

// sparedBytes is the size up to which an answer is never given up for another: streams keep such a buffer
// between their events.
const sparedBytes = 32 << 10

// Pool is the memory for answers. It is safe for concurrent use.
type Pool struct {
	capacity, spared int

	mu   sync.Mutex
	used int
	// growing holds the answers that are still being read and hold anything.
	growing map[*Hold]struct{}
	// wholeBytes is what answers hold that have been read completely.
	wholeBytes int
	// freed is closed when an answer is given up or memory is returned; nil if nobody waits.
	freed chan struct{}
}

// NewPool returns a pool of a size in bytes.
func NewPool(capacity int) *Pool {
	return &Pool{capacity: capacity, spared: sparedBytes, growing: map[*Hold]struct{}{}}
}

// Used returns how many bytes are held.
func (p *Pool) Used() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Hold is what one answer holds of a pool. A Hold must not be used concurrently.
type Hold struct {
	pool      *Pool
	ctx       context.Context
	onGivenUp func()
	// The pool's lock protects the following fields.
	held    int
	givenUp bool
	whole   bool
}

// NewHold returns a hold of nothing. ctx ends with the request. onGivenUp is called at most once, from any
// goroutine, when the answer is given up while it is being read: it must end the reading, after which the
// answer's memory is free.
func (p *Pool) NewHold(ctx context.Context, onGivenUp func()) *Hold {
	return &Hold{pool: p, ctx: ctx, onGivenUp: onGivenUp}
}

// Resize changes what is held to a number of bytes; other answers may be given up for it. A decrease always
// succeeds at once; an increase may wait. Errors: ErrShort, ErrFull; then the answer must be discarded.
func (h *Hold) Resize(bytes int) error {
	for {
		victims, freed, err := h.pool.resize(h, bytes)
		for _, victim := range victims {
			victim.onGivenUp()
		}
		if freed == nil {
			return err
		}
		select {
		case <-freed:
		case <-h.ctx.Done():
			return errors.Join(ErrFull, context.Cause(h.ctx))
		}
	}
}

// IsGivenUp reports whether the answer was given up for another.
func (h *Hold) IsGivenUp() bool {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return h.givenUp
}

// MarkWhole says that the answer has been read completely. From now on it is not given up. The error is ErrShort
// if it was before.
func (h *Hold) MarkWhole() error {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if h.givenUp {
		return ErrShort
	}
	h.whole = true
	h.pool.wholeBytes += h.held
	delete(h.pool.growing, h)
	return nil
}

// Release returns all that is held. It may be called more than once, and on nil.
func (h *Hold) Release() {
	if h != nil {
		_ = h.Resize(0) // fails only if nothing is held any more
	}
}

// resize changes what h holds and returns the answers that it gave up for that. It returns a channel instead if the
// caller must try again after that is closed.
func (p *Pool) resize(h *Hold, bytes int) (victims []*Hold, freed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.givenUp {
		return nil, nil, ErrShort
	}
	for bytes > h.held && p.used+bytes-h.held > p.capacity {
		victim := p.largestAbove(bytes)
		if victim == nil && p.used+bytes-h.held-p.wholeBytes <= p.capacity {
			return victims, p.awaitFreed(), nil
		}
		if victim == nil {
			return victims, nil, ErrShort
		}
		victim.givenUp = true
		p.set(victim, 0)
		victims = append(victims, victim)
	}
	p.set(h, bytes)
	return victims, nil, nil
}

// awaitFreed returns the channel that is closed when memory is returned.
func (p *Pool) awaitFreed() <-chan struct{} {
	if p.freed == nil {
		p.freed = make(chan struct{})
	}
	return p.freed
}

// largestAbove returns the largest answer being read that holds more than a number of bytes and is not spared;
// nil if there is none.
func (p *Pool) largestAbove(bytes int) *Hold {
	bytes = max(bytes, p.spared)
	var largest *Hold
	for h := range p.growing {
		if h.held > bytes {
			largest, bytes = h, h.held
		}
	}
	return largest
}

// set changes what an answer holds.
func (p *Pool) set(h *Hold, bytes int) {
	p.used += bytes - h.held
	if h.whole {
		p.wholeBytes += bytes - h.held
	}
	if bytes < h.held && p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
	h.held = bytes
	if bytes == 0 || h.whole {
		delete(p.growing, h)
		return
	}
	p.growing[h] = struct{}{}
}
