package budget

import (
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// tickPlan is a holder's work of one tick.
type tickPlan struct {
	// sign holds, by witness, what to have signed.
	sign map[string][]*budgetpb.GrantState
	// draw holds, by shard, the grants to bring up to date in the ledger.
	draw map[int][]*grant
	// renew lists budgets whose witness has to be replaced.
	renew []*grant
}

// plan smooths demand over an interval and gathers the work of one tick.
// foldDue says that spending is to be written even if nothing is drawn.
func (h *Holder) plan(interval time.Duration, foldDue bool, witnessGone func(string) bool) tickPlan {
	h.mu.Lock()
	defer h.mu.Unlock()
	plan := tickPlan{sign: map[string][]*budgetpb.GrantState{}, draw: map[int][]*grant{}}
	for _, id := range sortedKeys(h.byGrant) {
		g := h.byGrant[id]
		g.smooth(interval)
		if g.fresh {
			continue
		}
		if g.renaming || witnessGone(g.witness) {
			plan.renew = append(plan.renew, g)
		} else if g.witness != "" {
			h.planSign(g, &plan)
		}
		h.planDraw(g, foldDue, &plan)
	}
	return plan
}

func (g *grant) smooth(interval time.Duration) {
	perSecond := float64(g.demand) / interval.Seconds()
	g.perSecond += tickSmoothing * (perSecond - g.perSecond)
	g.demand = 0
}

func (h *Holder) planSign(g *grant, plan *tickPlan) {
	low := int64(g.perSecond * h.cfg.SignedAhead.Seconds() / 2)
	if g.allocatable() > max(low, h.cfg.MinimumSigned/2) && len(g.unsentUsages) == 0 {
		return
	}
	if state := h.signState(g, 0); state != nil {
		plan.sign[g.witness] = append(plan.sign[g.witness], state)
	}
}

func (h *Holder) planDraw(g *grant, foldDue bool, plan *tickPlan) {
	if foldDue && (g.rest() > 0 || g.used > g.folded || g.offered > 0) {
		shard := ledger.ShardOf(g.budget, h.cfg.Shards)
		plan.draw[shard] = append(plan.draw[shard], g)
	}
}
