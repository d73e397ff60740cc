package instance

import (
	"context"

	"github.com/lavenderring/lavenderring/pkg/claim"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/member"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// noteEra handles a later era, or a fault in the era, that an answer of the store contained.
func (i *Instance) noteEra(update store.EraEvent) {
	if update.Err != nil {
		i.log.Event(eventlog.StoreEraFault, "", eventlog.Fields{"era": update.To, "cause": update.Err.Error()})
		return
	}
	i.storeEra.Store(uint64(update.To))
	if update.From == 0 {
		return // the first era that this process has seen
	}
	i.log.Event(eventlog.StoreWentBack, "", eventlog.Fields{"from": update.From, "era": update.To})
	i.claims.NoteStoreRollback()
	i.quarantine.StoreAgain()
}

// notePeerEra handles an era that another instance reported. If it is later than the known one, a read
// from the store is started in the background; noteEra handles the era in the store's answer.
func (i *Instance) notePeerEra(era uint64) {
	known := i.storeEra.Load()
	if known == 0 || era <= known || !i.eraQueryRunning.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer i.eraQueryRunning.Store(false)
		ctx, cancel := context.WithTimeout(i.backgroundCtx, i.settings.StoreTimeout())
		defer cancel()
		_, _ = i.store.Get(ctx, claim.Prefix+"0000") // only the era of the answer matters; the next heartbeat retries
	}()
}

// claimFleet implements claim.Fleet with the member table.
type claimFleet struct{ table *member.Table }

// Others implements claim.Fleet.
func (l claimFleet) Others() []string {
	var names []string
	for _, m := range l.table.Others() {
		names = append(names, m.Incarnation)
	}
	return names
}
