package budget

import (
	"context"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// settleForSilentHolders writes the usages of this spender's lots from silent
// holders directly to the ledger, in case their witnesses are unavailable too.
// Grants that are still open in the ledger are left to their holders.
func (n *Node) settleForSilentHolders(ctx context.Context) {
	for _, holder := range n.spender.holders() {
		if holder == n.cfg.Self || !n.fleet.Silent(holder) || !n.directSettleDue(holder) {
			continue
		}
		n.settleDirect(ctx, n.spender.usagesFor(holder))
	}
}

func (n *Node) directSettleDue(holder string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if now.Sub(n.lastDirectSettle[holder]) < directSettleInterval {
		return false
	}
	n.lastDirectSettle[holder] = now
	return true
}

func (n *Node) settleDirect(ctx context.Context, usages []*budgetpb.Usage) {
	byShard := map[int][]*budgetpb.Usage{}
	for _, u := range usages {
		shard := ledger.ShardOf(u.Budget, n.cfg.Shards)
		byShard[shard] = append(byShard[shard], u)
	}
	for _, shard := range sortedKeys(byShard) {
		n.settleShard(ctx, shard, byShard[shard])
	}
}

func (n *Node) settleShard(ctx context.Context, shard int, usages []*budgetpb.Usage) {
	var accepted []*budgetpb.Usage
	var settled []string
	err := n.ledger.Update(ctx, shard, func(s *ledger.Shard) {
		accepted, settled = accepted[:0], settled[:0]
		for _, u := range usages {
			usage := map[string]ledger.Usage{u.Spender: {Used: u.Used, Returned: u.Returned}}
			err := s.MergeUsages(u.Budget, u.Grant, usage)
			if err == ledger.ErrGrantOpen {
				continue
			}
			accepted = append(accepted, u)
			if err == ledger.ErrGrantMissing || s.Budgets[u.Budget].Grants[u.Grant] == nil {
				settled = append(settled, u.Grant)
			}
		}
	})
	if err == nil {
		n.spender.markReported(accepted, settled)
	}
}

// flushUsages writes the collected usages of closed grants to the ledger.
func (n *Node) flushUsages(ctx context.Context) {
	pending := n.collector.pending(n.cfg.Shards)
	for _, shard := range sortedKeys(pending) {
		n.flushShard(ctx, shard, pending[shard])
	}
}

func (n *Node) flushShard(ctx context.Context, shard int, grants []closedGrant) {
	errs := make([]error, len(grants))
	settled := make([]bool, len(grants))
	err := n.ledger.Update(ctx, shard, func(s *ledger.Shard) {
		for i, g := range grants {
			errs[i] = s.MergeUsages(g.budget, g.id, g.usages)
			settled[i] = s.Budgets[g.budget] == nil || s.Budgets[g.budget].Grants[g.id] == nil
		}
	})
	if err != nil {
		return
	}
	for i, g := range grants {
		if errs[i] == ledger.ErrGrantOpen {
			continue // the write that closes the grant has not succeeded yet
		}
		n.collector.markWritten(g, settled[i])
	}
}
