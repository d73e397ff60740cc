package prepaid

import (
	"context"
	"math/rand/v2"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// ask is one waiting request's search for tokens at drawers. Each request asks for what it lacks itself, so
// the asks in progress together cover all that wait, and what its answer brings is set aside for it.
type ask struct {
	budget string
	// tokens is what the request needs, held the part of it that has been set aside.
	tokens, held int64
	// short says that the last answer did not bring what was asked for.
	short bool
	// over says that the request no longer waits.
	over bool
}

// askOutcome is how a request's search for tokens at drawers ended.
type askOutcome struct {
	// found says that the request's tokens were taken out of the free ones.
	found bool
	// answered says that a drawer answered, exhausted that it found the budget exhausted.
	answered, exhausted bool
}

// acquireFromDrawers asks drawers to grant what a waiting request lacks, and takes its tokens.
func (n *Node) acquireFromDrawers(ctx context.Context, budget string, tokens int64) askOutcome {
	a := &ask{budget: budget, tokens: tokens}
	outcome := n.askDrawers(ctx, a)
	n.mu.Lock()
	defer n.mu.Unlock()
	a.over = true
	b := n.balance(budget)
	if outcome.found = b.setAside(a, a.rest()); !outcome.found {
		b.free += a.held
	}
	return outcome
}

// askDrawers asks until the request can be served, a drawer has too few tokens for it, or it has no other
// attempt.
func (n *Node) askDrawers(ctx context.Context, a *ask) (outcome askOutcome) {
	shard := n.ShardOf(a.budget)
	busy := false
	for attempt := 0; attempt < maxDrawersPerRequest && ctx.Err() == nil; attempt++ {
		outcome.answered = busy
		name := n.drawerFor(shard)
		if name == "" {
			return outcome
		}
		demand := n.startAsk(a, name, attempt)
		if demand == nil {
			return outcome
		}
		req := &prepaidpb.RefillRequest{Shard: int32(shard), Demands: []*prepaidpb.Demand{demand}}
		reply, err := n.callRefill(ctx, name, req, needTimeout, a)
		switch {
		case err == nil && len(reply.Lenders) > 0:
			n.borrowFromEach(ctx, reply.Lenders, a.budget, a.rest())
			return askOutcome{}
		case err == nil && reply.Busy:
			busy, outcome.answered = true, true
			pause.For(ctx, busyRetryInterval/2+rand.N(busyRetryInterval))
		case err == nil && len(reply.Supplies) == 1:
			outcome.answered = true
			if n.isRefused(a) {
				outcome.exhausted = reply.Supplies[0].Exhausted
				return outcome
			}
		}
	}
	return outcome
}

// startAsk returns what to ask a drawer for; nil if nothing is lacking, because the rest of the request's
// tokens could be set aside.
func (n *Node) startAsk(a *ask, drawer string, attempt int) *prepaidpb.Demand {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.balance(a.budget)
	if b.setAside(a, a.rest()) {
		return nil
	}
	demand := demandOf(a.budget, b, n.drawerState(drawer).confirmed[a.budget])
	demand.Need = a.rest()
	// Other requests may take the free tokens before the answer arrives, so only the first of the waiting
	// requests counts on them, once, or each one if the ledger has no more.
	alone := b.asked == 0 && attempt == 0
	ledgerLacks := !b.ledgerSeenAt.IsZero() && a.rest() > b.ledgerFree
	if alone || ledgerLacks {
		demand.Need -= b.unclaimed()
	}
	demand.Free = a.rest() - demand.Need
	b.asked += demand.Need
	return demand
}

// isRefused reports whether a drawer did not grant what it was asked for because the ledger has too few tokens
// for what the request lacks.
func (n *Node) isRefused(a *ask) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.balance(a.budget)
	return a.short && a.rest()-b.unclaimed() > b.ledgerFree
}

// rest returns how many tokens have not been set aside for the request yet.
func (a *ask) rest() int64 { return a.tokens - a.held }

// setAside moves unclaimed tokens to a request if there are enough.
func (b *balance) setAside(a *ask, tokens int64) bool {
	if tokens > b.unclaimed() {
		return false
	}
	b.free -= tokens
	a.held += tokens
	return true
}

// endAsk ends an ask for a need with a drawer's answer, which brought the number of tokens that arrived. If
// answers overtake each other, one brings tokens that others have asked for; these are claimed until the
// others' answers are there.
func (b *balance) endAsk(a *ask, need, arrived int64, answered bool) {
	b.asked -= need
	b.claimed += arrived
	a.short = !answered || a.over || need > b.free
	if !a.short {
		b.free -= need
		a.held += need
		b.claimed -= need
	}
	b.claimed = min(max(b.claimed, 0), b.asked)
}

// unclaimed returns the free tokens that no waiting request has asked for.
func (b *balance) unclaimed() int64 { return max(b.free-b.waiting-b.claimed, 0) }
