// Package tokens connects package budget to the store, the member table and the
// event log of an instance.
package tokens

import (
	"context"
	"fmt"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/ledger"
	"github.com/lavenderring/lavenderring/pkg/member"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// MemberFleet implements budget.Fleet with the member table.
type MemberFleet struct{ Table *member.Table }

// Holders implements budget.Fleet. It returns, for each failure domain, the
// instance that ranks first for the shard. With so few holders, the last tokens
// of a budget are spread over few instances, and the number of grants grows with
// the number of failure domains rather than with the size of the fleet.
func (v MemberFleet) Holders(shard int) []string {
	winners := v.Table.WinnersByDomain(ledger.ObjectKey(shard))
	out := make([]string, 0, len(winners))
	for _, m := range winners {
		out = append(out, m.Incarnation)
	}
	return out
}

// Witness implements budget.Fleet.
func (v MemberFleet) Witness(except string) string { return v.Table.Partner("witness/", except) }

// Silent implements budget.Fleet.
func (v MemberFleet) Silent(incarnation string) bool { return v.Table.Silent(incarnation) }

// LedgerStore implements budget.Ledger with the objects of the store.
type LedgerStore struct{ Store store.Store }

// Update implements budget.Ledger.
func (l LedgerStore) Update(ctx context.Context, shard int, change func(*ledger.Shard)) error {
	return store.Update(ctx, l.Store, ledger.ObjectKey(shard), func(value []byte) ([]byte, error) {
		decoded, err := ledger.Decode(value)
		if err != nil {
			return nil, err
		}
		// Encoded again for the comparison below, because the store may reformat the value.
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

// ShardSizeError means that an encoded ledger shard would exceed
// store.MaxValueBytes. The deployment needs more shards.
type ShardSizeError struct {
	Shard, Bytes int
}

// Error implements error.
func (e *ShardSizeError) Error() string {
	return fmt.Sprintf("ledger: shard %d would take %d bytes, more than the platform holds", e.Shard, e.Bytes)
}

// EventObserver implements budget.Observer by writing events to the event log.
type EventObserver struct{ Log *eventlog.Log }

// GrantDrawn implements budget.Observer.
func (o EventObserver) GrantDrawn(id, grant string, drawn int64) {
	o.Log.Event(eventlog.GrantDrawn, "", eventlog.Fields{"budget": id, "grant": grant, "tokens": drawn})
}

// GrantLost implements budget.Observer.
func (o EventObserver) GrantLost(id, grant string) {
	o.Log.Event(eventlog.GrantLost, "", eventlog.Fields{"budget": id, "grant": grant})
}

// GrantReclaimed implements budget.Observer.
func (o EventObserver) GrantReclaimed(id, grant, holder string, signed int64) {
	fields := eventlog.Fields{"budget": id, "grant": grant, "holder": holder, "signed": signed}
	o.Log.Event(eventlog.GrantReclaimed, "", fields)
}

// GrantReturned implements budget.Observer.
func (o EventObserver) GrantReturned(id, grant string, allocated int64) {
	o.Log.Event(eventlog.GrantReturned, "", eventlog.Fields{"budget": id, "grant": grant, "allocated": allocated})
}

// WitnessNamed implements budget.Observer.
func (o EventObserver) WitnessNamed(id, grant, witness string) {
	o.Log.Event(eventlog.WitnessNamed, "", eventlog.Fields{"budget": id, "grant": grant, "witness": witness})
}

// BudgetReduced implements budget.Observer.
func (o EventObserver) BudgetReduced(id string, free int64) {
	o.Log.Event(eventlog.BudgetReduced, "", eventlog.Fields{"budget": id, "below_by": -free})
}
