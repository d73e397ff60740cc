package router

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// eraTimeout bounds the question to the store for its era.
const eraTimeout = time.Second

// noteEra takes in what an answer of the store told of its era.
func (r *Router) noteEra(news store.EraNews) {
	if news.Fault != nil {
		r.log.Event(eventlog.StoreEraFault, "", eventlog.Fields{"era": news.To, "cause": news.Fault.Error()})
		return
	}
	r.storeEra.Store(uint64(news.To))
	r.eraSeen.Store(time.Now().UnixMilli())
	metrics.GetOrRegisterGauge("store.era", r.metrics).Update(int64(news.To))
	if news.From == 0 {
		r.tokens.NoteFirstEra(uint64(news.To))
		return // the first that this process sees
	}
	r.log.Event(eventlog.StoreWentBack, "", eventlog.Fields{"from": news.From, "era": news.To})
	r.meeting.StoreWentBack()
	r.tokens.NoteEra(uint64(news.To))
	r.quarantine.StoreAgain()
}

// verifyEra has the store asked for its era, of which another instance told.
func (r *Router) verifyEra() (uint64, error) {
	ctx, cancel := context.WithTimeout(r.background, eraTimeout)
	defer cancel()
	object, err := r.store.Get(ctx, shardKey(0))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	return uint64(object.Position.Era), nil
}

// eraAge returns for how long this process has known the store's era; false before the first.
func (r *Router) eraAge() (time.Duration, bool) {
	seen := r.eraSeen.Load()
	return time.Since(time.UnixMilli(seen)), seen != 0
}
