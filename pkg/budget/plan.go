package budget

import (
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// tickPlan is a holder's work of one tick.
type tickPlan struct {
	// statesByWitness holds, by witness, the grant states to be countersigned.
	statesByWitness map[string][]*budgetpb.GrantState
	// updateByShard holds, by shard, the grants to be updated in the ledger.
	updateByShard map[int][]*grant
	// replaceWitness lists the grants whose witness has to be replaced.
	replaceWitness []*grant
}

// plan updates the demand rates for the interval since the last tick and
// collects the work of this tick. Updates of grants in the ledger are included
// only if recordDue is set. mustReplace reports whether a witness has to be
// replaced.
func (h *Holder) plan(interval time.Duration, recordDue bool, mustReplace func(string) bool) tickPlan {
	h.mu.Lock()
	defer h.mu.Unlock()
	plan := tickPlan{statesByWitness: map[string][]*budgetpb.GrantState{}, updateByShard: map[int][]*grant{}}
	for _, id := range sortedKeys(h.grants) {
		g := h.grants[id]
		g.smoothDemand(interval)
		if g.unconfirmed {
			continue
		}
		if g.replacingWitness || mustReplace(g.witness) {
			plan.replaceWitness = append(plan.replaceWitness, g)
		} else if g.witness != "" {
			h.planSignature(g, &plan)
		}
		h.planUpdate(g, recordDue, &plan)
	}
	return plan
}

func (g *grant) smoothDemand(interval time.Duration) {
	perSecond := float64(g.demand) / interval.Seconds()
	g.demandRate += demandSmoothingFactor * (perSecond - g.demandRate)
	g.demand = 0
}

func (h *Holder) planSignature(g *grant, plan *tickPlan) {
	minAllocatable := int64(g.demandRate * h.cfg.SignAhead.Seconds() / 2)
	if g.allocatable() > max(minAllocatable, h.cfg.MinSignedTokens/2) && len(g.unsentUsages) == 0 {
		return
	}
	if state := h.signingState(g, 0); state != nil {
		plan.statesByWitness[g.witness] = append(plan.statesByWitness[g.witness], state)
	}
}

func (h *Holder) planUpdate(g *grant, recordDue bool, plan *tickPlan) {
	if recordDue && (g.unallocated() > 0 || g.used > g.recordedUsed || g.pendingReturn > 0) {
		shard := ledger.ShardOf(g.budget, h.cfg.Shards)
		plan.updateByShard[shard] = append(plan.updateByShard[shard], g)
	}
}
