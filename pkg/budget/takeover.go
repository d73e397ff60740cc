package budget

import (
	"context"

	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// takeOver reclaims the unsigned rest of the grants of holders that are silent.
// A holder that is only paused or cut off is not harmed: it holds what is
// signed, and that stays counted.
func (n *Node) takeOver(ctx context.Context) {
	for _, holder := range n.witness.holders() {
		if !n.fleet.Silent(holder) {
			n.markTaken(holder, false)
			continue
		}
		if n.markTaken(holder, true) {
			continue
		}
		if !n.reclaimFrom(ctx, holder) {
			n.markTaken(holder, false)
		}
	}
}

// markTaken sets whether a holder's grants are reclaimed and returns what was set.
func (n *Node) markTaken(holder string, taken bool) (before bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before = n.taken[holder]
	n.taken[holder] = taken
	return before
}

// reclaimFrom looks through all shards, for rows too that this witness has
// never signed: of those nothing was allocated. It reports whether all shards
// could be looked through.
func (n *Node) reclaimFrom(ctx context.Context, holder string) bool {
	known := n.witness.grantsOf(holder)
	for shard := 0; shard < n.cfg.Shards; shard++ {
		if n.reclaimShard(ctx, shard, holder) != nil {
			return false
		}
	}
	n.witness.closeAll(known)
	return true
}

// reclaimed is one grant closed by its witness.
type reclaimed struct {
	id, budget string
	signed     int64
	evidence   map[string]ledger.Usage
}

func (n *Node) reclaimShard(ctx context.Context, shard int, holder string) error {
	var done []reclaimed
	err := n.ledger.Update(ctx, shard, func(s *ledger.Shard) {
		done = done[:0]
		for _, budget := range sortedKeys(s.Budgets) {
			b := s.Budgets[budget]
			for _, id := range sortedKeys(b.Grants) {
				g := b.Grants[id]
				if g.Holder != holder || g.Witness != n.cfg.Self || g.Closed {
					continue
				}
				signed, evidence := n.witness.closeOne(id, budget, holder)
				if s.Reclaim(budget, id, n.cfg.Self, signed, evidence) == nil {
					done = append(done, reclaimed{id: id, budget: budget, signed: signed, evidence: evidence})
				}
			}
		}
	})
	if err != nil {
		return err
	}
	for _, r := range done {
		n.collector.add(r.id, r.budget, r.evidence)
		n.witness.strip(r.id)
		n.observer.GrantReclaimed(r.budget, r.id, holder, r.signed)
	}
	return nil
}
