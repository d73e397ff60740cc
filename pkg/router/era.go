package router

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// eraTimeout bounds a query of the store's era.
const eraTimeout = time.Second

// noteEra handles a new era, or a fault in the era, that an answer of the store carried.
func (r *Router) noteEra(change store.EraEvent) {
	if change.Err != nil {
		r.log.Event(eventlog.StoreEraFault, "", eventlog.Fields{"era": change.To, "cause": change.Err.Error()})
		return
	}
	r.storeEra.Store(uint64(change.To))
	r.eraSeenMillis.Store(time.Now().UnixMilli())
	metrics.GetOrRegisterGauge("store.era", r.metrics).Update(int64(change.To))
	if change.From == 0 {
		r.tokens.NoteFirstEra(uint64(change.To))
		return // the first era that this process sees
	}
	r.log.Event(eventlog.StoreWentBack, "", eventlog.Fields{"from": change.From, "era": change.To})
	r.discovery.NoteStoreRollback()
	r.tokens.NoteEra(uint64(change.To))
	r.quarantine.StoreAgain()
}

// verifyEra reads the store's era from the store, after another instance has reported a new one.
func (r *Router) verifyEra() (uint64, error) {
	ctx, cancel := context.WithTimeout(r.backgroundCtx, eraTimeout)
	defer cancel()
	object, err := r.store.Get(ctx, shardKey(0))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	return uint64(object.Position.Era), nil
}

// eraAge returns for how long this process has known the store's current era; false if it has
// not seen one yet.
func (r *Router) eraAge() (time.Duration, bool) {
	seen := r.eraSeenMillis.Load()
	return time.Since(time.UnixMilli(seen)), seen != 0
}
