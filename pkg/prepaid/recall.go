package prepaid

import (
	"context"
	"time"
)

// recallTimes are the first and the last recall of a budget that has been short
// without a break.
type recallTimes struct{ first, last time.Time }

// noteRecall notes that a budget was found short; n.mu is held.
func (n *Node) noteRecall(budget string, now time.Time) {
	times := n.recalls[budget]
	if now.Sub(times.last) > 2*recallPause {
		times.first = now
	}
	times.last = now
	n.recalls[budget] = times
}

// settled reports that what a recall of a budget could bring back has come back; n.mu
// is held. Where each instance draws for itself it returns by a write of its own before
// the recall's wait is over.
func (n *Node) settled(budget string, now time.Time) bool {
	if len(n.Fleet.Drawers(n.ShardOf(budget))) == 0 {
		return true
	}
	return now.Sub(n.recalls[budget].first) >= recallSettles
}

// recall tells the other instances that a budget is short, unless that is known
// already, and reports whether it did.
func (n *Node) recall(budget string) bool {
	n.mu.Lock()
	now := n.Now()
	known := now.Sub(n.recalls[budget].last) < recallPause
	if !known {
		n.noteRecall(budget, now)
	}
	p := n.purse(budget)
	p.scarce, p.dry = true, true
	n.mu.Unlock()
	if known {
		return false
	}
	peers := n.recalledPeers(budget)
	for _, peer := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
			defer cancel()
			_ = n.Peers.Recall(ctx, peer, budget) // one that is not reached returns at its own next write
		}()
	}
	return len(peers) > 0
}

// recalledPeers are those that hold tokens drawn from the ledger: the drawers of the
// other regions, whose askers give back to them, or some of all instances.
func (n *Node) recalledPeers(budget string) []string {
	shard := n.ShardOf(budget)
	if len(n.Fleet.Drawers(shard)) > 0 {
		return n.Fleet.OtherDrawers(shard)
	}
	peers := n.Fleet.Others()
	return peers[:min(maxRecalled, len(peers))]
}

// Bounds of a recall.
const (
	// maxRecalled bounds the messages of one recall; the rest of a large fleet
	// learns of the shortage from the ledger.
	maxRecalled   = 24
	recallTimeout = 500 * time.Millisecond
)

// Recalled returns what is not needed of a budget that another instance found
// short.
func (n *Node) Recalled(budget string) {
	n.mu.Lock()
	p := n.purse(budget)
	p.scarce, p.dry = true, true
	shard := n.ShardOf(budget)
	p.giveBack(p.free - n.targetOf(p, shard))
	if p.counter.Returned > p.written && n.shards[shard].flight == nil {
		n.begin(shard, "", 0)
	}
	n.mu.Unlock()
}
