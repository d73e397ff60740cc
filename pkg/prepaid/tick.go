package prepaid

import (
	"context"
	"math/rand/v2"
	"time"
)

// returnDivisor: the surplus of a short budget is worth a write if it exceeds 1/returnDivisor of
// the largest request. A smaller part of a request serves few elsewhere.
const returnDivisor = 4

// Tick does the work that no request waits for: it draws ahead of demand, returns surplus tokens of
// short budgets, and probes a ledger that was unavailable. It is called about twice a second.
func (n *Node) Tick(context.Context) {
	drawers := make([]string, len(n.shards))
	for shard := range drawers {
		drawers[shard] = n.drawerFor(shard)
	}
	for shard, due := range n.tickBalances(drawers) {
		if drawers[shard] != "" {
			go n.sendReport(shard, drawers[shard])
		} else if due {
			n.startBackgroundWrite(shard)
		}
	}
}

// tickBalances measures demand and returns, by shard, whether a write is due. It is not due for
// shards that another instance draws.
func (n *Node) tickBalances(drawers []string) []bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Now()
	interval := max(now.Sub(n.lastTick), time.Millisecond)
	n.lastTick = now
	due := make([]bool, len(n.shards))
	amounts := make([]Amounts, len(n.shards))
	draws := make([]bool, len(n.shards))
	for shard := range amounts {
		amounts[shard] = n.Amounts(shard)
		draws[shard] = drawers[shard] == "" && n.mayWriteInBackground(shard)
		due[shard] = draws[shard] && (n.shards[shard].unavailable || n.shards[shard].recovery.needsWrite())
	}
	for _, b := range n.balances {
		b.tick(interval)
	}
	n.countDemand(now)
	for id, b := range n.balances {
		shard := n.ShardOf(id)
		b.noteTopUp(amounts[shard].Tokens[id])
		if draws[shard] && n.writeDue(b, shard) {
			due[shard] = true
		}
	}
	return due
}

// mayWriteInBackground reports whether this instance, which has no drawer that answers, writes to
// the ledger without a waiting request. After a partition of a whole fleet all of its instances
// would reach the ledger again at once, and none would succeed: on a day without other disruptions
// with 73 instances that took half of the day's calls. An instance that is not a candidate
// therefore writes only occasionally, in case no candidate is alive; n.mu is held.
func (n *Node) mayWriteInBackground(shard int) bool {
	if n.stopping || !n.isNonCandidate(shard) {
		return true
	}
	return rand.N(n.ticksPerBackgroundWrite()) == 0
}

// mayWriteForRequest reports whether this instance, which has no drawer that answers, writes to the
// ledger for a waiting request. One that is not a candidate does so only occasionally: when the
// drawers found the ledger too busy and all others wrote themselves, this kept the ledger busy for
// the last twenty seconds of a day.
func (n *Node) mayWriteForRequest(shard int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isNonCandidate(shard) {
		return true
	}
	state := &n.shards[shard]
	now := n.Now()
	if state.pendingWrite == nil && now.Before(state.nextNonCandidateWrite) {
		return false
	}
	if !n.Fleet.Joined() && now.Sub(n.startedAt) < joinGracePeriod {
		return false
	}
	state.nextNonCandidateWrite = now.Add(n.nonCandidateInterval())
	return true
}

// minNonCandidateInterval is the minimum time between two writes that an instance which is not a
// candidate makes for requests, in a fleet too small for nonCandidateWritesPerSecond to matter.
const minNonCandidateInterval = 3 * time.Second

// minTicksPerBackgroundWrite is the minimum mean number of ticks between two background writes of
// an instance that is not a candidate.
const minTicksPerBackgroundWrite = 20

// startBackgroundWrite starts a write of a shard unless one is in progress.
func (n *Node) startBackgroundWrite(shard int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.shards[shard].pendingWrite == nil {
		n.startWrite(shard, "", 0)
	}
}

// targetFor returns how many free tokens of a budget this instance wants to hold; n.mu is held.
func (n *Node) targetFor(b *balance, shard int) int64 {
	switch {
	case n.stopping:
		return 0
	case n.drawsForOthers(shard):
		return n.poolTarget(b)
	case n.Now().Sub(b.keepTargetAt) <= keepTargetLifetime:
		return b.keepTarget
	}
	return b.target(b.holdTime(n.ahead))
}

// Parameters of how much of a budget is held ahead of demand.
const (
	// holdDivisor: all instances together hold at most 1/holdDivisor of the tokens of a budget that are
	// neither spent nor set aside for a request. That is what is lost if all fail at once, since nobody can
	// tell afterwards whether it was spent. What one instance lacks in an outage it borrows from those
	// that hold more.
	holdDivisor = 4.5
	// shortRemaining is the time below which proportionally less than that is held. Held tokens are
	// lost with their instance, and near the end of a budget each of them is needed.
	shortRemaining = 15 * time.Second
)

// holdTimeFor returns the period of demand for which tokens of a budget are held that lasts for the
// remaining time; at most maxHold. With plenty left, losing held tokens with an instance does no
// harm, and they serve clients while the instance is partitioned. With little left each token will
// be needed: one that is held back for a partition serves no more clients than one in the ledger,
// but is lost with its instance.
func holdTimeFor(remaining, maxHold time.Duration) time.Duration {
	held := time.Duration(float64(remaining) / holdDivisor)
	if remaining < shortRemaining {
		held = time.Duration(float64(held) * remaining.Seconds() / shortRemaining.Seconds())
	}
	return min(held, maxHold)
}

// writeDue marks surplus tokens of a budget as returned and reports whether the budget needs a
// write; n.mu is held.
func (n *Node) writeDue(b *balance, shard int) bool {
	target := n.targetFor(b, shard)
	surplus := b.free - target
	if n.stopping || surplus > max(b.largest/returnDivisor, target/surplusDivisor) {
		b.returnTokens(surplus)
	}
	back := b.counter.Returned - b.returnedInLedger
	if b.scarce || n.stopping {
		return back > 0
	}
	return back > target || float64(b.free) < lowWaterMark*float64(target)
}

// Stop returns all unreserved tokens and waits until the ledger has them or ctx ends. Requests must
// have ended before.
func (n *Node) Stop(ctx context.Context) {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	for range 2 { // a write in progress does not include what is returned now
		n.Tick(ctx)
		n.awaitAll(ctx)
	}
}

func (n *Node) awaitAll(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for shard := range n.shards {
		for n.shards[shard].pendingWrite != nil && ctx.Err() == nil {
			_ = n.await(ctx, n.shards[shard].pendingWrite) // what could not be returned is lost to the budget
		}
	}
}
