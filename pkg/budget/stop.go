package budget

import (
	"context"
	"time"
)

// retryPendingCloses closes removed grants that could not be closed in the ledger
// before.
func (n *Node) retryPendingCloses(ctx context.Context) {
	n.mu.Lock()
	pending := n.pendingClose
	n.pendingClose = nil
	n.mu.Unlock()
	for _, g := range pending {
		n.closeGrant(ctx, g)
	}
}

// Stop returns all tokens on a planned stop; all requests must have ended. It
// reports whether all of this instance's grants are closed in the ledger. The
// tokens of a grant that is not stay in doubt until the usages of its spenders and
// of this instance are recorded.
func (n *Node) Stop(ctx context.Context) bool {
	n.spender.stop()
	n.sendReports(ctx, time.Second)
	for _, id := range n.holder.openGrantIDs() {
		n.returnGrant(ctx, id)
	}
	n.retryPendingCloses(ctx)
	n.flushUsages(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.pendingClose) == 0
}

func (n *Node) returnGrant(ctx context.Context, id string) {
	g := n.holder.openGrantByID(id)
	if g == nil {
		return
	}
	n.recallBudget(ctx, g.budget, "")
	if n.holder.removeGrant(id) == nil {
		return
	}
	n.closeGrant(ctx, g)
	n.observer.GrantReturned(g.budget, g.id, g.allocated)
}
