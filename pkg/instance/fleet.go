package instance

import (
	"errors"

	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/ledger"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// prepaidIn returns what the documents in force prepaid within a shard.
func prepaidIn(state *configsync.State, shards int) budget.Prepaid {
	return func(shard int) []budget.ServicePrepaid {
		var out []budget.ServicePrepaid
		for _, f := range state.Snapshot().Services {
			amounts := map[string]int64{}
			for _, account := range f.Document.Accounts {
				id := ledger.BudgetID(f.Service, account.Name)
				if ledger.ShardOf(id, shards) == shard {
					amounts[id] = account.PrepaidTokens
				}
			}
			out = append(out, budget.ServicePrepaid{Service: f.Service, Generation: f.Generation, Amounts: amounts})
		}
		return out
	}
}

// errStoreMissing reports that an object is not there; it is no fault.
func errStoreMissing(err error) bool { return errors.Is(err, store.ErrNotFound) }
