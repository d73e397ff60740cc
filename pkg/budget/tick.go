package budget

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// Tick does the work that no request waits for: reports and returns tokens,
// keeps signatures and draws ahead of demand, records spending, and takes over
// from holders that have gone silent. It is called about once a second.
func (n *Node) Tick(ctx context.Context) {
	interval, foldDue := n.pace()
	n.sendReports(ctx, interval)
	n.tickHolder(ctx, interval, foldDue)
	n.closeSurrendered(ctx)
	n.takeOver(ctx)
	n.settlePastSilent(ctx)
	n.flushEvidence(ctx)
}

func (n *Node) pace() (interval time.Duration, foldDue bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	interval = max(now.Sub(n.lastTick), time.Millisecond)
	n.lastTick = now
	foldDue = now.Sub(n.lastFold) >= n.cfg.FoldEvery
	if foldDue {
		n.lastFold = now
	}
	return interval, foldDue
}

func (n *Node) sendReports(ctx context.Context, interval time.Duration) {
	reports := n.spender.tick(n.cfg.Ahead, interval)
	for _, target := range sortedTargets(reports) {
		n.sendReport(ctx, target, reports[target])
	}
}

// sendReport tells the holder, or its witness once the holder is silent.
func (n *Node) sendReport(ctx context.Context, target reportTarget, usages []*budgetpb.Usage) {
	req := &budgetpb.ReportRequest{Spender: n.cfg.Self, Usages: usages}
	reply, err := n.reportTo(ctx, target.holder, req)
	if err != nil && n.fleet.Silent(target.holder) && target.witness != "" {
		reply, err = n.reportTo(ctx, target.witness, req)
	}
	if err != nil {
		return
	}
	n.takeReply(usages, reply)
	if len(reply.Unknown) > 0 && n.directDue(target.holder) {
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

func (n *Node) takeReply(usages []*budgetpb.Usage, reply *budgetpb.ReportReply) {
	unknown := map[string]bool{}
	for _, grant := range reply.Unknown {
		unknown[grant] = true
	}
	var taken []*budgetpb.Usage
	budgets := map[string]string{}
	for _, u := range usages {
		budgets[u.Grant] = u.Budget
		if !unknown[u.Grant] {
			taken = append(taken, u)
		}
	}
	n.spender.reported(taken, reply.Settled)
	for _, l := range reply.Lots {
		n.spender.Merge(budgets[l.Grant], []*budgetpb.Lot{l})
	}
}

func (n *Node) tickHolder(ctx context.Context, interval time.Duration, foldDue bool) {
	next := n.chooseWitness()
	plan := n.holder.plan(interval, foldDue, func(witness string) bool {
		return witness != next && (witness == "" || n.fleet.Silent(witness))
	})
	for _, witness := range sortedKeys(plan.sign) {
		_ = n.sign(ctx, witness, plan.sign[witness])
	}
	n.renameWitness(ctx, plan.renew, next)
	for _, shard := range sortedKeys(plan.draw) {
		n.bringUpToDate(ctx, shard, plan.draw[shard])
	}
}

// renameWitness names another witness for grants, one write for each shard.
func (n *Node) renameWitness(ctx context.Context, grants []*grant, next string) {
	byShard := map[int][]*grant{}
	for _, g := range grants {
		shard := ledger.ShardOf(g.budget, n.cfg.Shards)
		byShard[shard] = append(byShard[shard], g)
	}
	for _, shard := range sortedKeys(byShard) {
		_ = n.write(ctx, shard, func() (updates []ledgerUpdate) {
			for _, g := range byShard[shard] {
				updates = append(updates, n.holder.renameUpdate(g, next))
			}
			return updates
		})
	}
}

// bringUpToDate records spending and draws ahead; if it finds that others lack
// tokens, it gives back what can be spared by a second write.
func (n *Node) bringUpToDate(ctx context.Context, shard int, grants []*grant) {
	err := n.write(ctx, shard, func() (updates []ledgerUpdate) {
		for _, g := range grants {
			updates = append(updates, n.holder.tickUpdate(g))
		}
		return updates
	})
	if err != nil {
		return
	}
	for _, g := range grants {
		if n.holder.lacking(g) {
			n.recallFor(ctx, g.budget, "")
		}
	}
	_ = n.write(ctx, shard, func() (updates []ledgerUpdate) {
		for _, g := range grants {
			if w, spare := n.holder.offerUpdate(g); spare {
				updates = append(updates, w)
			}
		}
		return updates
	})
}
