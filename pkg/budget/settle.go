package budget

import (
	"context"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// settlePastSilent brings this spender's part of grants whose holder is silent
// to the ledger itself, in case the witness is gone too. Grants that are still
// open there are left to their holder.
func (n *Node) settlePastSilent(ctx context.Context) {
	for _, holder := range n.spender.holders() {
		if holder == n.cfg.Self || !n.fleet.Silent(holder) || !n.directDue(holder) {
			continue
		}
		n.settleDirect(ctx, n.spender.lotsOf(holder))
	}
}

func (n *Node) directDue(holder string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if now.Sub(n.direct[holder]) < directEvery {
		return false
	}
	n.direct[holder] = now
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
	var taken []*budgetpb.Usage
	var settled []string
	err := n.ledger.Update(ctx, shard, func(s *ledger.Shard) {
		taken, settled = taken[:0], settled[:0]
		for _, u := range usages {
			evidence := map[string]ledger.Usage{u.Spender: {Used: u.Used, Returned: u.Returned}}
			err := s.MergeUsages(u.Budget, u.Grant, evidence)
			if err == ledger.ErrGrantOpen {
				continue
			}
			taken = append(taken, u)
			if err == ledger.ErrGrantMissing || s.Budgets[u.Budget].Grants[u.Grant] == nil {
				settled = append(settled, u.Grant)
			}
		}
	})
	if err == nil {
		n.spender.reported(taken, settled)
	}
}

// flushEvidence brings what was gathered for closed grants to the ledger.
func (n *Node) flushEvidence(ctx context.Context) {
	pending := n.collector.pending(n.cfg.Shards)
	for _, shard := range sortedKeys(pending) {
		n.flushShard(ctx, shard, pending[shard])
	}
}

func (n *Node) flushShard(ctx context.Context, shard int, grants []closedGrant) {
	states := make([]error, len(grants))
	gone := make([]bool, len(grants))
	err := n.ledger.Update(ctx, shard, func(s *ledger.Shard) {
		for i, g := range grants {
			states[i] = s.MergeUsages(g.budget, g.id, g.evidence)
			gone[i] = s.Budgets[g.budget] == nil || s.Budgets[g.budget].Grants[g.id] == nil
		}
	})
	if err != nil {
		return
	}
	for i, g := range grants {
		if states[i] == ledger.ErrGrantOpen {
			continue // its close has not been written yet
		}
		n.collector.written(g, gone[i])
	}
}
