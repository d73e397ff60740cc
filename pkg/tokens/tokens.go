// Package tokens joins the budget slice to an instance: to the store, the member
// table and the event log.
package tokens

import (
	"context"
	"fmt"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/ledger"
	"github.com/lavenderring/lavenderring/pkg/member"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// FleetView shows the member table to the budget slice.
type FleetView struct{ Table *member.Table }

// Holders implements budget.Fleet: for each failure domain the instance that
// wins the shard. With few holders a budget's last tokens are in few places,
// and the number of grants grows with the domains, not with the fleet.
func (v FleetView) Holders(shard int) []string {
	winners := v.Table.WinnersByDomain(ledger.ObjectKey(shard))
	out := make([]string, 0, len(winners))
	for _, m := range winners {
		out = append(out, m.Incarnation)
	}
	return out
}

// Witness implements budget.Fleet.
func (v FleetView) Witness(except string) string { return v.Table.Partner("witness/", except) }

// Silent implements budget.Fleet.
func (v FleetView) Silent(incarnation string) bool { return v.Table.Silent(incarnation) }

// LedgerStore brings ledger changes to the platform.
type LedgerStore struct{ Store store.Store }

// Update implements budget.Ledger.
func (l LedgerStore) Update(ctx context.Context, shard int, change func(*ledger.Shard)) error {
	return store.Update(ctx, l.Store, ledger.ObjectKey(shard), func(value []byte) ([]byte, error) {
		decoded, err := ledger.Decode(value)
		if err != nil {
			return nil, err
		}
		// Compared as this side writes it: the store may lay the value out anew.
		before, err := decoded.Encode()
		if err != nil {
			return nil, err
		}
		change(decoded)
		encoded, err := decoded.Encode()
		if err != nil {
			return nil, err
		}
		if value != nil && string(encoded) == string(before) {
			return nil, store.ErrUnchanged
		}
		if len(encoded) > store.MaxValueBytes {
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

// Observer writes the budget slice's decisions to the event log.
type Observer struct{ Log *eventlog.Log }

// GrantDrawn implements budget.Observer.
func (o Observer) GrantDrawn(id, grant string, drawn int64) {
	o.Log.Event(eventlog.GrantDrawn, "", eventlog.Fields{"budget": id, "grant": grant, "tokens": drawn})
}

// GrantLost implements budget.Observer.
func (o Observer) GrantLost(id, grant string) {
	o.Log.Event(eventlog.GrantLost, "", eventlog.Fields{"budget": id, "grant": grant})
}

// GrantReclaimed implements budget.Observer.
func (o Observer) GrantReclaimed(id, grant, holder string, signed int64) {
	fields := eventlog.Fields{"budget": id, "grant": grant, "holder": holder, "signed": signed}
	o.Log.Event(eventlog.GrantReclaimed, "", fields)
}

// GrantReturned implements budget.Observer.
func (o Observer) GrantReturned(id, grant string, allocated int64) {
	o.Log.Event(eventlog.GrantReturned, "", eventlog.Fields{"budget": id, "grant": grant, "allocated": allocated})
}

// WitnessNamed implements budget.Observer.
func (o Observer) WitnessNamed(id, grant, witness string) {
	o.Log.Event(eventlog.WitnessNamed, "", eventlog.Fields{"budget": id, "grant": grant, "witness": witness})
}

// BudgetReduced implements budget.Observer.
func (o Observer) BudgetReduced(id string, free int64) {
	o.Log.Event(eventlog.BudgetReduced, "", eventlog.Fields{"budget": id, "below_by": -free})
}
