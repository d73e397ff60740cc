package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/prepaid"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// ledgerKind is the kind of the ledger's objects.
const ledgerKind = "ledgers"

// ledgerPause is the longest pause between two tries of one change of the ledger; it grows to this.
const ledgerPause = 16 * time.Millisecond

// firstEra is that of a store which has never gone back. Its objects bear no era in their names.
const firstEra store.Era = 1

// ledger keeps the newest known state of each shard, so that a change usually
// takes one call: the write itself, whose conflict tells the present state.
//
// The objects of each era have names of their own. A write of an older era that arrives late, or
// whose version has been given out again, meets another object and replaces nothing.
type ledger struct {
	store  store.Watcher
	shards []shardCache
}

type shardCache struct {
	mu     sync.Mutex
	known  bool
	object store.Object
}

func newLedger(s store.Watcher, shards int) *ledger {
	return &ledger{store: s, shards: make([]shardCache, shards)}
}

// Update implements prepaid.Ledger.
func (l *ledger) Update(ctx context.Context, shard, tries int, change func(*prepaid.Shard) error) error {
	cache := &l.shards[shard]
	cache.mu.Lock()
	defer cache.mu.Unlock()
	var err error
	for try := range tries {
		if try > 0 && !pause.For(ctx, rand.N(min(time.Millisecond<<try, ledgerPause))) {
			return errors.Join(ctx.Err(), err)
		}
		if err = l.tryUpdate(ctx, shard, cache, change); err == nil {
			return nil
		}
		var elsewhere *prepaid.DrawnElsewhereError
		if errors.As(err, &elsewhere) {
			// What is kept may be old: the next write reads who draws now. Else two
			// instances with old states could send each other's askers back and forth.
			cache.known = false
			return err
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUncertain) {
			cache.known = false
			return err
		}
	}
	return errors.Join(prepaid.ErrBusy, err)
}

func (l *ledger) tryUpdate(ctx context.Context, shard int, cache *shardCache, change func(*prepaid.Shard) error) error {
	if !cache.known {
		object, err := l.read(ctx, shard)
		if err != nil {
			return err
		}
		cache.object, cache.known = object, true
	}
	state, err := prepaid.DecodeShard(cache.object.Value)
	if err != nil {
		return err
	}
	if era := uint64(cache.object.Position.Era); era > uint64(firstEra) && state.Era != era {
		state.Begin(era)
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
		cache.known = errors.As(err, &conflict) && conflict.Present.Position.Era == cache.object.Position.Era
		if cache.known {
			cache.object.Position, cache.object.Value = conflict.Present.Position, conflict.Present.Value
		}
		return err
	}
	cache.object.Position, cache.object.Value = position, value
	return nil
}

// read returns a shard's object of the present era. If there is none yet, what it returns is to be
// created, with the newest older one's value.
func (l *ledger) read(ctx context.Context, shard int) (store.Object, error) {
	for era := firstEra; ; {
		object, err := l.store.Get(ctx, eraKey(shard, era))
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return store.Object{}, err
		}
		if told := object.Position.Era; told > era {
			era = told // the object of this one is the one that counts
			continue
		}
		if err == nil || era == firstEra {
			object.Key = eraKey(shard, era)
			return object, nil
		}
		return l.newestOlder(ctx, shard, object.Position)
	}
}

// newestOlder returns what the object of an era is made of, to be created at a position.
func (l *ledger) newestOlder(ctx context.Context, shard int, at store.Position) (store.Object, error) {
	list, err := l.store.List(ctx, ledgerKind)
	if err != nil {
		return store.Object{}, err
	}
	made := store.Object{Key: eraKey(shard, at.Era), Position: at}
	newest := store.Era(0)
	for _, object := range list.Objects {
		era, ofShard := eraOf(object.Key, shard)
		if ofShard && era < at.Era && era > newest {
			newest, made.Value = era, object.Value
		}
	}
	return made, nil
}

// shardKey is the key of a shard's object in a store that has never gone back, and what instances
// are ranked for to draw it.
func shardKey(shard int) string { return fmt.Sprintf("%s/%04d", ledgerKind, shard) }

// eraKey is the key of a shard's object in an era.
func eraKey(shard int, era store.Era) string {
	if era <= firstEra {
		return shardKey(shard)
	}
	return fmt.Sprintf("%s-%d", shardKey(shard), era)
}

// eraOf reads the era from the key of a shard's object.
func eraOf(key string, shard int) (era store.Era, ofShard bool) {
	rest, ofShard := strings.CutPrefix(key, shardKey(shard))
	if !ofShard || rest == "" {
		return firstEra, ofShard
	}
	number, err := strconv.ParseUint(strings.TrimPrefix(rest, "-"), 10, 64)
	return store.Era(number), err == nil
}
