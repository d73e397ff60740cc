package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/prepaid"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// ledgerKind is the kind of the ledger's objects.
const ledgerKind = "ledgers"

// maxLedgerRetryInterval bounds the growing pause between two tries of one change of the ledger.
const maxLedgerRetryInterval = 16 * time.Millisecond

// ledger caches the newest known state of each shard, so that a change usually
// takes one call: the write itself, which returns the current state on a conflict. Each era of the
// store has objects of its own (store.ReadEraObject).
type ledger struct {
	store  store.Lister
	shards []shardCache
}

type shardCache struct {
	mu     sync.Mutex
	valid  bool
	object store.Object
}

func newLedger(s store.Lister, shards int) *ledger {
	return &ledger{store: s, shards: make([]shardCache, shards)}
}

// Update implements prepaid.Ledger.
func (l *ledger) Update(ctx context.Context, shard, tries int, change func(*prepaid.Shard) error) error {
	cache := &l.shards[shard]
	cache.mu.Lock()
	defer cache.mu.Unlock()
	var err error
	for try := range tries {
		if try > 0 && !pause.For(ctx, rand.N(min(time.Millisecond<<try, maxLedgerRetryInterval))) {
			return errors.Join(ctx.Err(), err)
		}
		if err = l.tryUpdate(ctx, shard, cache, change); err == nil {
			return nil
		}
		var elsewhere *prepaid.DrawnElsewhereError
		if errors.As(err, &elsewhere) {
			// The cached state may be stale, so the next write reads which instance draws now.
			// Otherwise two instances with stale states could redirect each other's requesters
			// back and forth.
			cache.valid = false
			return err
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUncertain) {
			cache.valid = false
			return err
		}
	}
	return errors.Join(prepaid.ErrBusy, err)
}

func (l *ledger) tryUpdate(ctx context.Context, shard int, cache *shardCache, change func(*prepaid.Shard) error) error {
	if !cache.valid {
		object, err := store.ReadEraObject(ctx, l.store, shardKey(shard))
		if err != nil {
			return err
		}
		cache.object, cache.valid = object, true
	}
	state, err := prepaid.DecodeShard(cache.object.Value)
	if err != nil {
		return err
	}
	if era := cache.object.Position.Era; era > store.FirstEra && state.Era != uint64(era) {
		state.BeginEra(uint64(era))
	}
	if err := change(state); err != nil {
		return err
	}
	value, err := state.Encode()
	if err != nil {
		return err
	}
	position, err := l.store.Put(ctx, cache.object.Key, value, cache.object.Position)
	if err != nil {
		var conflict *store.ConflictError
		cache.valid = errors.As(err, &conflict) && conflict.Present.Position.Era == cache.object.Position.Era
		if cache.valid {
			cache.object.Position, cache.object.Value = conflict.Present.Position, conflict.Present.Value
		}
		return err
	}
	cache.object.Position, cache.object.Value = position, value
	return nil
}

// shardKey returns the key of a shard's object, by which instances are also ranked as its drawers.
func shardKey(shard int) string { return fmt.Sprintf("%s/%04d", ledgerKind, shard) }
