// Package buffermem bounds the memory in which an instance buffers messages while it reads them: the answers of
// upstreams in one pool, the requests of clients in another, all of a kind together.
//
// A message is kept until it can be passed on. Senders that send without end would fill the memory, and a process
// that exceeds its memory ends with all its requests. Memory is therefore taken before it is filled. When a pool is
// full, the largest message that is still being read is given up for the one that needs room: a message without end
// grows until it is the largest, whereas a sound small one beside any number of them is read. The largest itself may
// wait as long as it would find room once the messages that have been read completely are passed on.
package buffermem

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// ErrShort means that a message was given up: the memory is full, and it was the largest that is still being
// read, or had stalled.
var ErrShort = errors.New("message given up as the largest: the memory for buffers is full")

// ErrFull means that messages that have been read completely take the memory.
var ErrFull = errors.New("memory for buffers is full of messages that wait to be passed on")

const (
	// sparedBytes is the size up to which an answer is never given up for another: streams keep such a buffer
	// between their events.
	sparedBytes = 32 << 10
	// stallTime is how long a request may not progress before it is given up ahead of others, whatever its size.
	stallTime = time.Second
)

// Pool is the memory for messages of one kind. It is safe for concurrent use.
type Pool struct {
	capacity, spared int
	// stallTime is how long a message may not progress before it is given up ahead of others; 0 for any time.
	stallTime time.Duration
	now       func() time.Time
	createdAt time.Time

	mu   sync.Mutex
	used int
	// growing holds the messages that are still being read and hold anything.
	growing map[*Hold]struct{}
	// wholeBytes is what messages hold that have been read completely.
	wholeBytes int
	// freed is closed when a message is given up or memory is returned; nil if nobody waits.
	freed chan struct{}
}

// NewPool returns a pool for answers, of a size in bytes.
func NewPool(capacity int) *Pool {
	return &Pool{capacity: capacity, spared: sparedBytes, growing: map[*Hold]struct{}{}}
}

// NewRequestPool returns a pool for requests, of a size in bytes. A client may keep a request incomplete for as long
// as it may send, so requests that have stalled are given up before those that progress, and none is spared.
func NewRequestPool(capacity int, now func() time.Time) *Pool {
	return &Pool{capacity: capacity, stallTime: stallTime, now: now, createdAt: now(), growing: map[*Hold]struct{}{}}
}

// age returns the time since the pool was created, which does not jump with the time of day.
func (p *Pool) age() time.Duration { return p.now().Sub(p.createdAt) }

// Used returns how many bytes are held.
func (p *Pool) Used() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Hold is what one message holds of a pool. A Hold must not be used concurrently.
type Hold struct {
	pool      *Pool
	ctx       context.Context
	onGivenUp func()
	// progressedAt is when something of the message was received last, in nanoseconds since the pool was created.
	progressedAt atomic.Int64
	// The pool's lock protects the following fields.
	held    int
	givenUp bool
	whole   bool
}

// NewHold returns a hold of nothing. ctx ends with the request. onGivenUp is called at most once, from any
// goroutine, when the message is given up while it is being read: it must end the reading, after which the
// message's memory is free.
func (p *Pool) NewHold(ctx context.Context, onGivenUp func()) *Hold {
	return &Hold{pool: p, ctx: ctx, onGivenUp: onGivenUp}
}

// NoteProgress records that something of the message has been received.
func (h *Hold) NoteProgress() {
	if h.pool.stallTime > 0 {
		h.progressedAt.Store(int64(h.pool.age()))
	}
}

// TryResize changes what is held to a number of bytes, as Resize does, and never waits. Errors: ErrShort, ErrFull;
// then the message must be discarded.
func (h *Hold) TryResize(bytes int) error {
	freed, err := h.resizeOnce(bytes)
	if freed != nil {
		return ErrFull
	}
	return err
}

// resizeOnce changes what is held, or returns a channel that is closed when the caller may try again.
func (h *Hold) resizeOnce(bytes int) (freed <-chan struct{}, err error) {
	victims, freed, err := h.pool.resize(h, bytes)
	for _, victim := range victims {
		victim.onGivenUp()
	}
	return freed, err
}

// Resize changes what is held to a number of bytes; other messages may be given up for it. A decrease always
// succeeds at once; an increase may wait. Errors: ErrShort, ErrFull; then the message must be discarded.
func (h *Hold) Resize(bytes int) error {
	for {
		freed, err := h.resizeOnce(bytes)
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

// IsGivenUp reports whether the message was given up for another.
func (h *Hold) IsGivenUp() bool {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return h.givenUp
}

// MarkWhole says that the message has been read completely. From now on it is not given up. The error is ErrShort
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

// Reset returns all that is held and makes the hold that of a next message.
func (h *Hold) Reset() {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.pool.set(h, 0)
	h.whole, h.givenUp = false, false
}

// Release returns all that is held. It may be called more than once, and on nil.
func (h *Hold) Release() {
	if h != nil {
		_ = h.Resize(0) // fails only if nothing is held any more
	}
}

// resize changes what h holds and returns the messages that it gave up for that. It returns a channel instead if the
// caller must try again after that is closed.
func (p *Pool) resize(h *Hold, bytes int) (victims []*Hold, freed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.givenUp {
		return nil, nil, ErrShort
	}
	for bytes > h.held && p.used+bytes-h.held > p.capacity {
		victim := p.largestAbove(bytes)
		if stalled := p.largestStalled(h); stalled != nil {
			victim = stalled
		}
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

// largestStalled returns the largest message other than h that has stalled; nil if there is none.
func (p *Pool) largestStalled(h *Hold) *Hold {
	if p.stallTime == 0 {
		return nil
	}
	before := int64(p.age() - p.stallTime)
	var largest *Hold
	for other := range p.growing {
		if other != h && other.progressedAt.Load() < before && (largest == nil || other.held > largest.held) {
			largest = other
		}
	}
	return largest
}

// largestAbove returns the largest message being read that holds more than a number of bytes and is not spared;
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

// set changes what a message holds.
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
