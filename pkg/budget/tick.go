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
		_ = n.write(ctx, shard, func() (wishes []drawWish) {
			for _, g := range byShard[shard] {
				wishes = append(wishes, n.holder.renameWish(g, next))
			}
			return wishes
		})
	}
}

// bringUpToDate records spending and draws ahead; if it finds that others lack
// tokens, it gives back what can be spared by a second write.
func (n *Node) bringUpToDate(ctx context.Context, shard int, grants []*grant) {
	err := n.write(ctx, shard, func() (wishes []drawWish) {
		for _, g := range grants {
			wishes = append(wishes, n.holder.tickWish(g))
		}
		return wishes
	})
	if err != nil {
		return
	}
	for _, g := range grants {
		if n.holder.lacking(g) {
			n.recallFor(ctx, g.budget, "")
		}
	}
	_ = n.write(ctx, shard, func() (wishes []drawWish) {
		for _, g := range grants {
			if w, spare := n.holder.offerWish(g); spare {
				wishes = append(wishes, w)
			}
		}
		return wishes
	})
}

// closeSurrendered closes grants that could not be closed in the ledger yet.
func (n *Node) closeSurrendered(ctx context.Context) {
	n.mu.Lock()
	waiting := n.unclosed
	n.unclosed = nil
	n.mu.Unlock()
	for _, g := range waiting {
		n.closeGrant(ctx, g)
	}
}

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
	evidence   map[string]ledger.Evidence
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
			evidence := map[string]ledger.Evidence{u.Spender: {Used: u.Used, Returned: u.Returned}}
			err := s.AddEvidence(u.Budget, u.Grant, evidence)
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
			states[i] = s.AddEvidence(g.budget, g.id, g.evidence)
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

// Stop returns every token for a planned stop. Requests must have ended. It
// reports whether the ledger has it all; if not, what is missing stays in doubt
// until the spenders' evidence and this instance's word are in.
func (n *Node) Stop(ctx context.Context) bool {
	n.spender.stop()
	n.sendReports(ctx, time.Second)
	for _, id := range n.holder.open() {
		n.closeDown(ctx, id)
	}
	n.closeSurrendered(ctx)
	n.flushEvidence(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.unclosed) == 0
}

func (n *Node) closeDown(ctx context.Context, id string) {
	g := n.holder.find(id)
	if g == nil {
		return
	}
	n.recallFor(ctx, g.budget, "")
	if n.holder.surrender(id) == nil {
		return
	}
	n.closeGrant(ctx, g)
	n.observer.GrantReturned(g.budget, g.id, g.allocated)
}
