package prepaid

import (
	"context"
	"time"
)

// returnPart of the largest request is the least surplus of a short budget that
// is worth a write: less than a request's worth serves few elsewhere.
const returnPart = 4

// Tick does the work that no request waits for: it draws ahead of demand, returns
// what is not needed of budgets that are short, and finds out whether a ledger
// that was away is back. It is called about twice a second.
func (n *Node) Tick(context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Now()
	interval := max(now.Sub(n.lastTick), time.Millisecond)
	n.lastTick = now
	due := make([]bool, len(n.shards))
	amounts := make([]Amounts, len(n.shards))
	for shard := range amounts {
		amounts[shard] = n.Amounts(shard)
	}
	for id, p := range n.purses {
		p.tick(interval)
		shard := n.ShardOf(id)
		p.toppedUp(amounts[shard].Tokens[id])
		due[shard] = due[shard] || n.shards[shard].away
		if !n.due(p) {
			continue
		}
		if holder := n.holderOf(id, p, now); holder != "" {
			go n.refill(holder, id)
			continue
		}
		due[shard] = true
	}
	for shard := range due {
		if due[shard] && n.shards[shard].flight == nil {
			n.begin(shard, "", 0)
		}
	}
}

// holderOf returns who is to be asked for a budget ahead of demand; empty if this
// instance writes to the ledger itself, also for what it returns.
func (n *Node) holderOf(id string, p *purse, now time.Time) string {
	if n.stopping || p.scarce || now.Before(p.drawsItself) {
		return ""
	}
	return n.Fleet.Holder(id)
}

// due returns tokens of a budget that is short, and reports whether the budget
// calls for a write.
func (n *Node) due(p *purse) bool {
	target := p.target(n.ahead)
	if n.stopping {
		target = 0
	}
	if p.scarce || n.stopping {
		if surplus := p.free - target; surplus > p.largest/returnPart || n.stopping {
			p.giveBack(surplus)
		}
		return p.counter.Returned > p.written
	}
	return float64(p.free) < lowWater*float64(target)
}

// Stop returns every token that is not set aside and waits until the ledger has
// them or ctx ends. Requests must have ended.
func (n *Node) Stop(ctx context.Context) {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	for range 2 { // a write that is on its way has not taken what is returned now
		n.Tick(ctx)
		n.awaitAll(ctx)
	}
}

func (n *Node) awaitAll(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for shard := range n.shards {
		for n.shards[shard].flight != nil && ctx.Err() == nil {
			_ = n.await(ctx, n.shards[shard].flight) // what could not be returned is lost to the budget
		}
	}
}
