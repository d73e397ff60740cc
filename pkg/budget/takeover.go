package budget

import (
	"context"

	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// takeOverFromSilentHolders reclaims the unsigned rest of the grants of silent
// holders. This is safe even if a holder is only paused or partitioned: it can
// allocate signed tokens only, and those stay held by the grant.
func (n *Node) takeOverFromSilentHolders(ctx context.Context) {
	for _, holder := range n.witness.holders() {
		if !n.fleet.Silent(holder) {
			n.setReclaimed(holder, false)
			continue
		}
		if n.setReclaimed(holder, true) {
			continue
		}
		if !n.reclaimFrom(ctx, holder) {
			n.setReclaimed(holder, false)
		}
	}
}

// setReclaimed sets whether a holder's grants are reclaimed and returns the
// previous value.
func (n *Node) setReclaimed(holder string, reclaimed bool) (before bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before = n.reclaimedHolders[holder]
	n.reclaimedHolders[holder] = reclaimed
	return before
}

// reclaimFrom reclaims a holder's grants in all shards, including those that name
// this instance as witness but that it has never signed: no token of such a grant
// was allocated on its signature. It reports whether all shards were processed.
func (n *Node) reclaimFrom(ctx context.Context, holder string) bool {
	grantIDs := n.witness.grantIDsOf(holder)
	for shard := 0; shard < n.cfg.Shards; shard++ {
		if n.reclaimShard(ctx, shard, holder) != nil {
			return false
		}
	}
	n.witness.closeGrants(grantIDs)
	return true
}

// reclaimedGrant is a grant that this instance closed as its witness.
type reclaimedGrant struct {
	id, budget string
	signed     int64
	usages     map[string]ledger.Usage
}

func (n *Node) reclaimShard(ctx context.Context, shard int, holder string) error {
	var closed []reclaimedGrant
	err := n.ledger.Update(ctx, shard, func(s *ledger.Shard) {
		closed = closed[:0]
		for _, budget := range sortedKeys(s.Budgets) {
			b := s.Budgets[budget]
			for _, id := range sortedKeys(b.Grants) {
				g := b.Grants[id]
				if g.Holder != holder || g.Witness != n.cfg.Self || g.Closed {
					continue
				}
				signed, usages := n.witness.closeGrant(id, budget, holder)
				if s.Reclaim(budget, id, n.cfg.Self, signed, usages) == nil {
					closed = append(closed, reclaimedGrant{id: id, budget: budget, signed: signed, usages: usages})
				}
			}
		}
	})
	if err != nil {
		return err
	}
	for _, r := range closed {
		n.collector.addGrant(r.id, r.budget, r.usages)
		n.witness.dropUsages(r.id)
		n.observer.GrantReclaimed(r.budget, r.id, holder, r.signed)
	}
	return nil
}
