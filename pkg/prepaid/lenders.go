package prepaid

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// maxNamedLenders bounds the lenders that a drawer names to a requester: the request waits for one
// message to each.
const maxNamedLenders = 6

// selectLenders returns instances whose free tokens together cover a waiting request, the one with
// the most first, and deducts the tokens as lent. It returns none if maxNamedLenders instances do
// not have enough. In a store outage the tokens held by all instances are one stock, but each
// single part may be smaller than one large request. n.mu is held.
func (n *Node) selectLenders(shard int, requesterID string, waiting *prepaidpb.Demand) []string {
	requesters := n.shards[shard].requesters
	free := map[string]int64{}
	for name, r := range requesters {
		b := r.budgets[waiting.Budget]
		if name != requesterID && b != nil && b.free > 0 && n.Now().Sub(r.reportedAt) <= requesterTimeout {
			free[name] = b.free
		}
	}
	lenders := slices.SortedFunc(maps.Keys(free), func(a, b string) int {
		return cmp.Or(cmp.Compare(free[b], free[a]), cmp.Compare(a, b))
	})
	missing := waiting.Need
	for count, name := range lenders[:min(maxNamedLenders, len(lenders))] {
		if missing -= free[name]; missing <= 0 {
			n.deductLent(requesters, lenders[:count+1], waiting)
			return lenders[:count+1]
		}
	}
	return nil
}

// deductLent deducts what the lenders are expected to lend from their last reported free tokens;
// n.mu is held.
func (n *Node) deductLent(requesters map[string]*requester, lenders []string, waiting *prepaidpb.Demand) {
	missing := waiting.Need
	for _, name := range lenders {
		b := requesters[name].budgets[waiting.Budget]
		lent := min(b.free, missing)
		b.free -= lent
		missing -= lent
	}
}

// borrowFromEach borrows free tokens from the lenders, one after the other, until there are enough
// for a request.
func (n *Node) borrowFromEach(ctx context.Context, lenders []string, budget string, tokens int64) {
	for _, lender := range lenders {
		n.mu.Lock()
		missing := tokens - n.balance(budget).free
		n.mu.Unlock()
		if missing <= 0 || ctx.Err() != nil {
			return
		}
		_ = n.requestLoan(ctx, lender, budget, 0, missing) // after an error the next lender is asked for what is still missing
	}
}

// lendFree hands over up to maxTokens of the free tokens that no request waits for.
func (n *Node) lendFree(budget string, maxTokens int64) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.balance(budget)
	lent := max(min(maxTokens, b.unclaimed()), 0)
	b.free -= lent
	return lent
}
