package instance

import (
	"errors"

	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/ledger"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// prepaidFromConfig returns a function that lists the prepaid amounts of a ledger
// shard's budgets according to the documents in force.
func prepaidFromConfig(state *configsync.State, shards int) budget.Prepaid {
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

// isNotFound reports whether err means that the store has no such object, which is
// not a failure of the store.
func isNotFound(err error) bool { return errors.Is(err, store.ErrNotFound) }
