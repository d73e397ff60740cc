package budget

import (
	"context"
	"time"
)

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
