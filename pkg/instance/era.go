package instance

import (
	"context"

	"github.com/lavenderring/lavenderring/pkg/claim"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/member"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// noteEra takes in what an answer of the store told of its era.
func (i *Instance) noteEra(news store.EraNews) {
	if news.Fault != nil {
		i.log.Event(eventlog.StoreEraFault, "", eventlog.Fields{"era": news.To, "cause": news.Fault.Error()})
		return
	}
	i.storeEra.Store(uint64(news.To))
	if news.From == 0 {
		return // the first that this process sees
	}
	i.log.Event(eventlog.StoreWentBack, "", eventlog.Fields{"from": news.From, "era": news.To})
	i.claims.NoteEra()
	i.quarantine.StoreAgain()
}

// heardEra has the store asked for its era, of which another instance told; noteEra hears what it
// says.
func (i *Instance) heardEra(era uint64) {
	known := i.storeEra.Load()
	if known == 0 || era <= known || !i.askingEra.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer i.askingEra.Store(false)
		ctx, cancel := context.WithTimeout(i.background, i.settings.StoreTimeout())
		defer cancel()
		_, _ = i.store.Get(ctx, claim.Prefix+"0000") // only the era of the answer counts; the next heartbeat asks again
	}()
}

// liveOthers implements claim.Fleet.
type liveOthers struct{ table *member.Table }

// Others implements claim.Fleet.
func (l liveOthers) Others() []string {
	var names []string
	for _, m := range l.table.Others() {
		names = append(names, m.Incarnation)
	}
	return names
}
