package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/outcome"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/ring"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Limits of the group writes.
const (
	// maxQueuedOperations bounds the operations that wait for one shard's next write.
	maxQueuedOperations = 1024
	// writeTimeout bounds one group's write, its retries included.
	writeTimeout = 5 * time.Second
	// backgroundRetryInterval is the wait before the write of an outcome or release is retried.
	backgroundRetryInterval = time.Second
)

// ErrBusy means that an operation was refused because its shard's queue is full.
var ErrBusy = errors.New("claim: too many operations are waiting for their shard")

// Key returns the hash under which a client's idempotency key is stored. The hash
// does not reveal the key to readers of the store, and equal keys of two client
// accounts have different hashes.
func Key(budget, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(budget + "\x00" + idempotencyKey))
	return hex.EncodeToString(sum[:16])
}

// operation is a change of a shard that waits for the next group write.
type operation struct {
	apply func(*Shard)
	done  chan error
}

// Claimer claims keys and records outcomes. Operations that wait for the same
// shard are committed by one write. It is safe for concurrent use.
type Claimer struct {
	self   string
	store  store.Lister
	fleet  Fleet
	queues []*ring.Queue[operation]
	// recentClaims holds, by shard, the claims that were recent at this instance's
	// last write of the shard. An element is used only by the shard's goroutine.
	recentClaims []map[string]*Claim
	now          func() time.Time

	backgroundOps sync.WaitGroup
}

// NewClaimer returns the Claimer of the incarnation self over a number of shards.
// Its operations are committed only while Run is running.
func NewClaimer(self string, store store.Lister, fleet Fleet, shards int, now func() time.Time) *Claimer {
	c := &Claimer{self: self, store: store, fleet: fleet, recentClaims: make([]map[string]*Claim, shards), now: now}
	for i := 0; i < shards; i++ {
		c.queues = append(c.queues, ring.New[operation](maxQueuedOperations))
	}
	return c
}

// Run commits operations until ctx ends, with one goroutine for each shard.
func (c *Claimer) Run(ctx context.Context) {
	var running sync.WaitGroup
	for shard, queue := range c.queues {
		running.Go(func() { c.runShard(ctx, shard, queue) })
	}
	running.Wait()
}

func (c *Claimer) runShard(ctx context.Context, shard int, queue *ring.Queue[operation]) {
	for {
		select {
		case first := <-queue.Items():
			c.commit(ctx, shard, collectWaiting(first, queue))
		case <-ctx.Done():
			return
		}
	}
}

// collectWaiting returns first and all operations that are waiting in the queue,
// so that one write commits them.
func collectWaiting(first operation, queue *ring.Queue[operation]) []operation {
	group := []operation{first}
	for len(group) < maxQueuedOperations {
		select {
		case next := <-queue.Items():
			group = append(group, next)
		default:
			return group
		}
	}
	return group
}

// commit applies a group of operations to a shard by one write. If the shard is
// unsettled, commit first restores this instance's recent claims in it.
func (c *Claimer) commit(ctx context.Context, shard int, group []operation) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := shardKey(shard)
	var after *Shard
	err := store.UpdateEraObject(ctx, c.store, key, func(object store.Object) ([]byte, error) {
		decoded, err := decodeShard(object.Value)
		if err != nil {
			return nil, err
		}
		after = decoded
		decoded.beginEra(object.Position.Era)
		decoded.prune(c.now())
		if decoded.Unsettled {
			decoded.restore(c.recentClaims[shard])
			decoded.markReported(c.self, c.fleet.Others())
		}
		for _, op := range group {
			op.apply(decoded)
		}
		encoded, fits, err := decoded.encode()
		if err == nil && !fits {
			err = &FullError{Step: "claim", Key: key}
		}
		if err == nil && !object.Position.IsZero() && string(encoded) == string(object.Value) {
			err = store.ErrUnchanged
		}
		return encoded, err
	})
	if err == nil {
		c.recentClaims[shard] = after.recentClaims(c.now())
	}
	for _, op := range group {
		op.done <- err
	}
}

// apply queues an operation on the shard of a key and waits until it is committed.
// After an error the operation may or may not have been committed.
func (c *Claimer) apply(ctx context.Context, key string, apply func(*Shard)) error {
	op := operation{apply: apply, done: make(chan error, 1)}
	if !c.queues[shardOf(key, len(c.queues))].TryPut(op) {
		return ErrBusy
	}
	select {
	case err := <-op.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Acquire claims a key before its request is dispatched. It returns the claim that
// the key has now, and whether that claim is the request's own. After an error it
// is not known whether the key was claimed: the caller must not dispatch the
// request, and must call Release. ErrUnsettled means that an earlier request under
// the key may have run.
func (c *Claimer) Acquire(ctx context.Context, key string, claim Claim) (Claim, bool, error) {
	for {
		r, err := c.tryAcquire(ctx, key, claim)
		if err != nil || !r.unsettled {
			return r.claim, r.acquired, err
		}
		if !pause.For(ctx, unsettledPollInterval) {
			return Claim{}, false, ErrUnsettled
		}
	}
}

func (c *Claimer) tryAcquire(ctx context.Context, key string, claim Claim) (acquireResult, error) {
	claim.AtMillis = c.now().UnixMilli()
	result := make(chan acquireResult, 1)
	err := c.apply(ctx, key, func(s *Shard) {
		if s.Unsettled && s.Claims[key] == nil {
			replaceResult(result, acquireResult{unsettled: true})
			return
		}
		existing, acquired := s.acquire(key, claim)
		replaceResult(result, acquireResult{claim: *existing, acquired: acquired})
	})
	if err != nil {
		return acquireResult{}, err
	}
	return <-result, nil
}

type acquireResult struct {
	claim    Claim
	acquired bool
	// unsettled is set if the key may have been claimed before the store was rolled back.
	unsettled bool
}

// replaceResult replaces the result in a channel, if any, by a newer one: after a
// write conflict the update applies its operations again.
func replaceResult(result chan acquireResult, r acquireResult) {
	select {
	case <-result:
	default:
	}
	result <- r
}

// Read returns the claim of a key; nil if there is none. ErrUnsettled means that
// the key may have a claim that the store has lost.
func (c *Claimer) Read(ctx context.Context, key string) (*Claim, error) {
	object, err := store.ReadEraObject(ctx, c.store, shardKey(shardOf(key, len(c.queues))))
	if err != nil {
		return nil, err
	}
	shard, err := decodeShard(object.Value)
	if err != nil {
		return nil, err
	}
	shard.beginEra(object.Position.Era)
	if shard.Unsettled && shard.Claims[key] == nil {
		return nil, ErrUnsettled
	}
	return shard.Claims[key], nil
}

// Finish records a request's outcome in the background. It retries until the
// outcome is written or ctx ends.
func (c *Claimer) Finish(ctx context.Context, key, request string, result outcome.Outcome, answer *Answer) {
	if answer != nil && len(answer.Body) > MaxAnswerBytes {
		answer = &Answer{Status: answer.Status, ContentType: answer.ContentType, Omitted: true}
	}
	c.applyInBackground(ctx, key, func(s *Shard) { s.finish(key, request, result, answer, c.now()) })
}

// Release frees a key whose request did not run, in the background. It retries
// until the release is written or ctx ends.
func (c *Claimer) Release(ctx context.Context, key, request string) {
	c.applyInBackground(ctx, key, func(s *Shard) { s.release(key, request) })
}

func (c *Claimer) applyInBackground(ctx context.Context, key string, apply func(*Shard)) {
	c.backgroundOps.Add(1)
	go func() {
		defer c.backgroundOps.Done()
		for ctx.Err() == nil && c.apply(ctx, key, apply) != nil {
			pause.For(ctx, backgroundRetryInterval)
		}
	}()
}

// Flush waits until every outcome and release is written, or ctx ends.
func (c *Claimer) Flush(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.backgroundOps.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
