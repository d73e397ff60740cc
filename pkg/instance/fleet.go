package instance

import (
	"context"
	"errors"
	"fmt"

	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/ledger"
	"github.com/lavenderring/lavenderring/pkg/member"
	"github.com/lavenderring/lavenderring/pkg/platform"
)

// fleetView shows the member table to the budget slice.
type fleetView struct{ table *member.Table }

// Holders implements budget.Fleet: for each failure domain the instance that
// wins the shard. With few holders a budget's last tokens are in few places,
// and the number of grants grows with the domains, not with the fleet.
func (v fleetView) Holders(shard int) []string {
	winners := v.table.WinnersByDomain(ledger.ObjectKey(shard))
	out := make([]string, 0, len(winners))
	for _, m := range winners {
		out = append(out, m.Incarnation)
	}
	return out
}

// Witness implements budget.Fleet.
func (v fleetView) Witness(except string) string { return v.table.Partner("witness/", except) }

// Silent implements budget.Fleet.
func (v fleetView) Silent(incarnation string) bool { return v.table.Silent(incarnation) }

// ledgerStore brings ledger changes to the platform.
type ledgerStore struct{ store platform.Store }

// Update implements budget.Ledger.
func (l ledgerStore) Update(ctx context.Context, shard int, change func(*ledger.Shard)) error {
	return platform.Update(ctx, l.store, ledger.ObjectKey(shard), func(value []byte) ([]byte, error) {
		decoded, err := ledger.Decode(value)
		if err != nil {
			return nil, err
		}
		change(decoded)
		encoded, err := decoded.Encode()
		if err != nil {
			return nil, err
		}
		if string(encoded) == string(value) {
			return nil, platform.ErrUnchanged
		}
		if len(encoded) > platform.MaxValueBytes {
			return nil, &ShardSizeError{Shard: shard, Bytes: len(encoded)}
		}
		return encoded, nil
	})
}

// ShardSizeError means that a ledger shard has outgrown the platform's largest
// value: the deployment needs more shards.
type ShardSizeError struct {
	Shard, Bytes int
}

// Error implements error.
func (e *ShardSizeError) Error() string {
	return fmt.Sprintf("ledger: shard %d would take %d bytes, more than the platform holds", e.Shard, e.Bytes)
}

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

// budgetObserver writes the budget slice's decisions to the event log.
type budgetObserver struct{ log *eventlog.Log }

// GrantDrawn implements budget.Observer.
func (o budgetObserver) GrantDrawn(id, grant string, drawn int64) {
	o.log.Event(eventlog.GrantDrawn, "", eventlog.Fields{"budget": id, "grant": grant, "tokens": drawn})
}

// GrantLost implements budget.Observer.
func (o budgetObserver) GrantLost(id, grant string) {
	o.log.Event(eventlog.GrantLost, "", eventlog.Fields{"budget": id, "grant": grant})
}

// GrantReclaimed implements budget.Observer.
func (o budgetObserver) GrantReclaimed(id, grant, holder string, signed int64) {
	fields := eventlog.Fields{"budget": id, "grant": grant, "holder": holder, "signed": signed}
	o.log.Event(eventlog.GrantReclaimed, "", fields)
}

// GrantReturned implements budget.Observer.
func (o budgetObserver) GrantReturned(id, grant string, allocated int64) {
	o.log.Event(eventlog.GrantReturned, "", eventlog.Fields{"budget": id, "grant": grant, "allocated": allocated})
}

// WitnessNamed implements budget.Observer.
func (o budgetObserver) WitnessNamed(id, grant, witness string) {
	o.log.Event(eventlog.WitnessNamed, "", eventlog.Fields{"budget": id, "grant": grant, "witness": witness})
}

// BudgetReduced implements budget.Observer.
func (o budgetObserver) BudgetReduced(id string, free int64) {
	o.log.Event(eventlog.BudgetReduced, "", eventlog.Fields{"budget": id, "below_by": -free})
}

// errStoreMissing reports that an object is not there; it is no fault.
func errStoreMissing(err error) bool { return errors.Is(err, platform.ErrNotFound) }
