package prepaid

import (
	"context"
	"time"
)

// recallTimes are the first and the last recall of a budget in one continuous shortage.
type recallTimes struct{ first, last time.Time }

// noteRecall records that a budget was found short; n.mu is held.
func (n *Node) noteRecall(budget string, now time.Time) {
	times := n.recalls[budget]
	if now.Sub(times.last) > 2*minRecallInterval {
		times.first = now
	}
	times.last = now
	n.recalls[budget] = times
}

// recallComplete reports whether the tokens that a recall of a budget could bring back have been
// returned; n.mu is held. Where each instance draws for itself, it returns tokens by a write of its
// own within recallWait.
func (n *Node) recallComplete(budget string, now time.Time) bool {
	if len(n.Fleet.Drawers(n.ShardOf(budget))) == 0 {
		return true
	}
	return now.Sub(n.recalls[budget].first) >= recallSettleTime
}

// recall tells the other instances that a budget is short, unless they were told recently. It
// reports whether it did.
func (n *Node) recall(budget string) bool {
	n.mu.Lock()
	now := n.Now()
	known := now.Sub(n.recalls[budget].last) < minRecallInterval
	if !known {
		n.noteRecall(budget, now)
	}
	b := n.balance(budget)
	b.scarce, b.depleted = true, true
	n.mu.Unlock()
	if known {
		return false
	}
	peers := n.recallPeers(budget)
	for _, peer := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
			defer cancel()
			_ = n.Peers.Recall(ctx, peer, budget) // a peer that is not reached returns its surplus with its own next write
		}()
	}
	return len(peers) > 0
}

// recallPeers returns the instances that are told of a shortage: the drawers of the other regions,
// to which their requesters return tokens, or, if each instance draws for itself, up to
// maxRecallPeers of all instances.
func (n *Node) recallPeers(budget string) []string {
	shard := n.ShardOf(budget)
	if len(n.Fleet.Drawers(shard)) > 0 {
		return n.Fleet.OtherDrawers(shard)
	}
	peers := n.Fleet.Others()
	return peers[:min(maxRecallPeers, len(peers))]
}

// Bounds of a recall.
const (
	// maxRecallPeers bounds the messages of one recall. The rest of a large fleet sees the shortage
	// in the ledger.
	maxRecallPeers = 24
	// recallTimeout bounds one message.
	recallTimeout = 500 * time.Millisecond
)

// HandleRecall returns the surplus of a budget that another instance found short.
func (n *Node) HandleRecall(budget string) {
	n.mu.Lock()
	b := n.balance(budget)
	b.scarce, b.depleted = true, true
	shard := n.ShardOf(budget)
	b.returnTokens(b.free - n.targetFor(b, shard))
	if b.counter.Returned > b.returnedInLedger && n.shards[shard].pendingWrite == nil {
		n.startWrite(shard, "", 0)
	}
	n.mu.Unlock()
}
