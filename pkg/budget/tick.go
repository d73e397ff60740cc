package budget

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// Tick does the background work: it reports usages and returns tokens, keeps
// signatures and draws ahead of demand, records used tokens, and takes over from
// holders that have become silent. It is called about once a second.
func (n *Node) Tick(ctx context.Context) {
	interval, recordDue := n.startTick()
	n.sendReports(ctx, interval)
	n.tickHolder(ctx, interval, recordDue)
	n.retryPendingCloses(ctx)
	n.takeOverFromSilentHolders(ctx)
	n.settleForSilentHolders(ctx)
	n.flushUsages(ctx)
}

func (n *Node) startTick() (interval time.Duration, recordDue bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	interval = max(now.Sub(n.lastTick), time.Millisecond)
	n.lastTick = now
	recordDue = now.Sub(n.lastRecord) >= n.cfg.RecordInterval
	if recordDue {
		n.lastRecord = now
	}
	return interval, recordDue
}

func (n *Node) sendReports(ctx context.Context, interval time.Duration) {
	reports := n.spender.tick(n.cfg.AllocateAhead, interval)
	for _, target := range sortedTargets(reports) {
		n.sendReport(ctx, target, reports[target])
	}
}

// sendReport reports usages to the holder, or to its witness once the holder is
// silent.
func (n *Node) sendReport(ctx context.Context, target reportTarget, usages []*budgetpb.Usage) {
	req := &budgetpb.ReportRequest{Spender: n.cfg.Self, Usages: usages}
	reply, err := n.reportTo(ctx, target.holder, req)
	if err != nil && n.fleet.Silent(target.holder) && target.witness != "" {
		reply, err = n.reportTo(ctx, target.witness, req)
	}
	if err != nil {
		return
	}
	n.mergeReportReply(usages, reply)
	if len(reply.Unknown) > 0 && n.directSettleDue(target.holder) {
		n.settleDirect(ctx, usages)
	}
}

func (n *Node) reportTo(
	ctx context.Context, to string, req *budgetpb.ReportRequest,
) (*budgetpb.ReportReply, error) {
	if to == n.cfg.Self {
		return n.Report(ctx, req)
	}
	return n.peers.Report(ctx, to, req)
}

func (n *Node) mergeReportReply(usages []*budgetpb.Usage, reply *budgetpb.ReportReply) {
	unknown := map[string]bool{}
	for _, grant := range reply.Unknown {
		unknown[grant] = true
	}
	var accepted []*budgetpb.Usage
	budgets := map[string]string{}
	for _, u := range usages {
		budgets[u.Grant] = u.Budget
		if !unknown[u.Grant] {
			accepted = append(accepted, u)
		}
	}
	n.spender.markReported(accepted, reply.Settled)
	for _, l := range reply.Lots {
		n.spender.Merge(budgets[l.Grant], []*budgetpb.Lot{l})
	}
}

func (n *Node) tickHolder(ctx context.Context, interval time.Duration, recordDue bool) {
	next := n.chooseWitness()
	plan := n.holder.plan(interval, recordDue, func(witness string) bool {
		return witness != next && (witness == "" || n.fleet.Silent(witness))
	})
	for _, witness := range sortedKeys(plan.statesByWitness) {
		_ = n.sign(ctx, witness, plan.statesByWitness[witness])
	}
	n.nameWitness(ctx, plan.replaceWitness, next)
	for _, shard := range sortedKeys(plan.updateByShard) {
		n.updateShard(ctx, shard, plan.updateByShard[shard])
	}
}

// nameWitness names another witness for grants, with one write for each shard.
func (n *Node) nameWitness(ctx context.Context, grants []*grant, next string) {
	byShard := map[int][]*grant{}
	for _, g := range grants {
		shard := ledger.ShardOf(g.budget, n.cfg.Shards)
		byShard[shard] = append(byShard[shard], g)
	}
	for _, shard := range sortedKeys(byShard) {
		_ = n.writeShard(ctx, shard, func() (updates []ledgerUpdate) {
			for _, g := range byShard[shard] {
				updates = append(updates, n.holder.nameWitnessUpdate(g, next))
			}
			return updates
		})
	}
}

// updateShard records used tokens and draws ahead. If the ledger shows a shortage
// of other holders, it returns spare tokens in a second write.
func (n *Node) updateShard(ctx context.Context, shard int, grants []*grant) {
	err := n.writeShard(ctx, shard, func() (updates []ledgerUpdate) {
		for _, g := range grants {
			updates = append(updates, n.holder.tickUpdate(g))
		}
		return updates
	})
	if err != nil {
		return
	}
	for _, g := range grants {
		if n.holder.needsRecall(g) {
			n.recallBudget(ctx, g.budget, "")
		}
	}
	_ = n.writeShard(ctx, shard, func() (updates []ledgerUpdate) {
		for _, g := range grants {
			if update, ok := n.holder.returnUpdate(g); ok {
				updates = append(updates, update)
			}
		}
		return updates
	})
}
