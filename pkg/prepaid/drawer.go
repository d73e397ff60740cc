package prepaid

import (
	"context"
	"errors"
	"time"

	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// In each region one instance, the drawer, writes to a ledger object on behalf of all others. If
// every instance wrote for itself, most writes would conflict: on a day without disruptions 73
// instances needed 30,000 writes for 6,000 draws, and requests were refused because their draw
// never succeeded. Even among seven instances half of the writes conflicted; on days with
// disruptions a common drawer reduced the store calls from 3,980 to 1,020 (means of five days with
// four seeds each).
//
// An instance that asks the drawer for tokens is called a requester.

// Parameters of how a drawer distributes tokens among its requesters.
const (
	// requesterTimeout is how long a requester counts towards the demand after its last report: six
	// report intervals.
	requesterTimeout = 3 * time.Second
	// requesterLifetime is how long the totals of a silent requester are kept.
	requesterLifetime = 10 * time.Minute
	// poolAhead is how much of the requesters' demand the drawer keeps of what all hold ahead, so that a
	// waiting request costs a message instead of a write: two report intervals. The pool is at most
	// 1/poolDivisor of what is held ahead.
	poolAhead   = time.Second
	poolDivisor = 4
	// maxOwedDrawTime limits the tokens that one write draws for requesters below their keep targets
	// to the requesters' demand during this time. After a partition all of them are below at once.
	// When one write drew everything that they lacked, the tokens stayed at the drawer until the
	// next reports, and when the drawer then lost power, a quarter of what some accounts had prepaid
	// was lost.
	maxOwedDrawTime = 2 * time.Second
	// poolReserveDivisor: one report leaves at least 1/poolReserveDivisor of the pool for others.
	poolReserveDivisor = 4
	// minAhead is the period of demand below which a drawer grants no tokens ahead of requests. With
	// so little left, each request asks the drawer and no token is held idle.
	minAhead = time.Second
	// widespreadDivisor: if at least 1/widespreadDivisor of the instances have demand for a budget,
	// the others are granted tokens before their first request, for 1/widespreadDivisor of the mean
	// demand.
	widespreadDivisor = 2
	// maxUnsolicited bounds the budgets of which one reply grants tokens without a reported demand.
	maxUnsolicited = 64
)

// requester is a drawer's state for one instance that it draws for. The totals only grow, so a
// lost or duplicated message changes nothing.
type requester struct {
	reportedAt time.Time
	budgets    map[string]*requesterBudget
}

type requesterBudget struct {
	perSecond int64
	free      int64
	granted   int64
	returned  int64
}

// Refill receives a requester's report of its demand and grants it tokens.
func (n *Node) Refill(ctx context.Context, req *prepaidpb.RefillRequest) *prepaidpb.RefillReply {
	if req.Drawer != n.Self {
		// The process that the requester addressed has been replaced by this one. Totals are kept
		// per pair of incarnations: if the requester counted this process's grants under the old
		// incarnation, it would count the same tokens again under the new one.
		return &prepaidpb.RefillReply{Declined: true, Successor: n.Self}
	}
	shard := int(req.Shard)
	if len(req.Demands) > 0 {
		shard = n.ShardOf(req.Demands[0].Budget)
	}
	if shard < 0 || shard >= n.Shards {
		return &prepaidpb.RefillReply{}
	}
	if !n.Fleet.Joined() {
		// Requesters that know few other instances may choose this one. If every such instance drew
		// for its requesters, hundreds of them would write at once after a restart of the whole
		// fleet.
		return &prepaidpb.RefillReply{Busy: true}
	}
	r := n.receiveReport(shard, req)
	if r == nil {
		return &prepaidpb.RefillReply{Declined: true}
	}
	var short *ShortError
	waiting := waitingDemand(req)
	if waiting != nil {
		err := n.acquireForRequester(ctx, waiting.Budget, waiting.Need)
		if errors.As(err, &short) && !short.Exhausted && !errors.Is(err, ErrTooFew) {
			return n.declineOrRefer(shard, req, waiting, err)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if waiting != nil && short == nil {
		r.budgets[waiting.Budget].granted += waiting.Need
	}
	reply := &prepaidpb.RefillReply{Drawer: n.shards[shard].drawer, TakenEra: n.receiveSeenRows(shard, req)}
	reply.UnsettledEra, reply.SettledEra = n.shards[shard].recovery.eras()
	for _, d := range req.Demands {
		supply := n.supply(r, d, shard)
		supply.Exhausted = d == waiting && short != nil && short.Exhausted
		reply.Supplies = append(reply.Supplies, supply)
	}
	if waiting == nil {
		n.supplyUnsolicited(r, shard, reply)
	}
	return reply
}

// declineOrRefer answers a requester whose waiting demand this instance could not meet.
func (n *Node) declineOrRefer(
	shard int, req *prepaidpb.RefillRequest, waiting *prepaidpb.Demand, err error,
) *prepaidpb.RefillReply {
	if errors.Is(err, ErrBusy) {
		return &prepaidpb.RefillReply{Busy: true} // another drawer, or a write by the requester itself, would fail for the same reason
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if lenders := n.selectLenders(shard, req.Asker, waiting); len(lenders) > 0 {
		return &prepaidpb.RefillReply{Lenders: lenders}
	}
	return &prepaidpb.RefillReply{Declined: true, Drawer: n.shards[shard].drawer} // the drawer named here may reach the ledger
}

// waitingDemand returns the demand that a request waits for; a report has at most one.
func waitingDemand(req *prepaidpb.RefillRequest) *prepaidpb.Demand {
	for _, d := range req.Demands {
		if d.Need > 0 {
			return d
		}
	}
	return nil
}

// acquireForRequester takes tokens out of this instance's free tokens and draws from the ledger
// first if there are too few. Errors: *ShortError.
func (n *Node) acquireForRequester(ctx context.Context, budget string, need int64) error {
	if n.tryTakeUnclaimed(budget, need) {
		return nil
	}
	if n.knownExhausted(budget, need) {
		return &ShortError{Budget: budget, Need: need, Exhausted: true, Step: "ledger", Err: ErrTooFew}
	}
	found, err := n.withdraw(ctx, budget, need)
	switch {
	case found:
		return nil
	case err != nil:
		return &ShortError{Budget: budget, Need: need, Step: "ledger", Err: err}
	}
	return n.acquireAfterRecall(ctx, budget, need)
}

// receiveReport updates the requester's state from its report; nil if this instance is stopping.
func (n *Node) receiveReport(shard int, req *prepaidpb.RefillRequest) *requester {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return nil
	}
	requesters := n.shards[shard].requesters
	r := requesters[req.Asker]
	if r == nil {
		r = &requester{budgets: map[string]*requesterBudget{}}
		requesters[req.Asker] = r
	}
	r.reportedAt = n.Now()
	for _, d := range req.Demands {
		n.receiveDemand(r, d)
	}
	return r
}

func (n *Node) receiveDemand(r *requester, d *prepaidpb.Demand) {
	b := r.budgets[d.Budget]
	if b == nil {
		// This drawer may have counted the requester's total already and removed its state since.
		// The total so far is therefore written off, which may lose tokens but never creates any.
		b = &requesterBudget{returned: d.Returned}
		r.budgets[d.Budget] = b
	}
	if back := d.Returned - b.returned; back > 0 {
		b.returned = d.Returned
		n.balance(d.Budget).free += back
	}
	b.perSecond, b.free = d.PerSecond, d.Free
	balance := n.balance(d.Budget)
	balance.largest = max(balance.largest, d.Need+d.Free)
}

// supply grants a requester tokens of one budget ahead of its requests, and returns its new totals
// and keep target; n.mu is held.
func (n *Node) supply(r *requester, d *prepaidpb.Demand, shard int) *prepaidpb.Supply {
	b := r.budgets[d.Budget]
	balance := n.balance(d.Budget)
	keepTarget := n.keepTargetFor(balance, d, shard)
	free := d.Free
	if d.Need > 0 {
		free = 0 // the waiting request uses up what the requester has
	}
	if wanted := keepTarget - free; wanted > 0 {
		ahead := min(wanted, balance.free-balance.free/poolReserveDivisor)
		balance.free -= ahead
		b.granted += ahead
		b.free += ahead // until the next report tells
		balance.heldByRequesters += ahead
		balance.owed += wanted - ahead
	}
	return &prepaidpb.Supply{Budget: d.Budget, Granted: b.granted, Keep: keepTarget, Left: balance.ledgerFree, Prepaid: balance.prepaid, Drawn: balance.counter.Drawn}
}

// keepTargetFor returns how many tokens of a budget a requester should hold; n.mu is held.
func (n *Node) keepTargetFor(b *balance, d *prepaidpb.Demand, shard int) int64 {
	held := n.holdTime(b)
	if held < minAhead {
		return 0
	}
	rate := max(float64(d.PerSecond), n.expectedDemand(b, shard))
	if rate < 1 {
		return 0
	}
	return int64(rate * n.keepTime(held).Seconds())
}

// expectedDemand returns the demand, in tokens per second, for which an instance without a demand of
// its own is granted tokens: part of the mean if most instances served have demand for the budget.
func (n *Node) expectedDemand(b *balance, shard int) float64 {
	if instances := n.shards[shard].numServed; b.numActive*widespreadDivisor >= instances && instances > 0 {
		return b.servedPerSecond / float64(instances) / widespreadDivisor
	}
	return 0
}

// holdTime returns the period of demand for which the drawer's pool and all instances together may hold
// tokens of a budget. Each instance's share is proportional to its demand: equal shares left the few
// instances that serve a busy account short in every partition.
func (n *Node) holdTime(b *balance) time.Duration {
	if b.depleted {
		return 0
	}
	return b.holdTime(n.ahead + poolAhead)
}

// supplyUnsolicited grants tokens of budgets for which most instances served have demand and which
// the requester has not reported yet; n.mu is held.
func (n *Node) supplyUnsolicited(r *requester, shard int, reply *prepaidpb.RefillReply) {
	maxSupplies := len(reply.Supplies) + maxUnsolicited
	for id, b := range n.balances {
		if len(reply.Supplies) >= maxSupplies {
			return
		}
		if n.ShardOf(id) != shard || r.budgets[id] != nil || n.expectedDemand(b, shard) < 1 {
			continue
		}
		d := &prepaidpb.Demand{Budget: id, Usual: int64(b.typicalSize)}
		r.budgets[id] = &requesterBudget{}
		reply.Supplies = append(reply.Supplies, n.supply(r, d, shard))
	}
}

// countDemand sums the demand of all instances that this one draws for; n.mu is held.
func (n *Node) countDemand(now time.Time) {
	for _, b := range n.balances {
		b.servedPerSecond, b.heldByRequesters, b.numActive = 0, 0, 0
		b.addDemand(b.perSecond)
	}
	for shard := range n.shards {
		n.countRequesters(&n.shards[shard], now)
	}
}

func (n *Node) countRequesters(state *shardState, now time.Time) {
	state.numServed = 1
	for name, r := range state.requesters {
		silent := now.Sub(r.reportedAt)
		if silent > requesterLifetime {
			delete(state.requesters, name)
		}
		if silent > requesterTimeout {
			continue
		}
		state.numServed++
		for id, b := range r.budgets {
			balance := n.balance(id)
			balance.addDemand(float64(b.perSecond))
			balance.heldByRequesters += b.free
		}
	}
}

// addDemand adds one instance's demand.
func (b *balance) addDemand(perSecond float64) {
	b.servedPerSecond += perSecond
	if perSecond >= 1 {
		b.numActive++
	}
}

// drawsForOthers reports whether this instance draws a shard for others; n.mu is held.
func (n *Node) drawsForOthers(shard int) bool { return n.shards[shard].numServed > 1 }

// poolTarget returns how many free tokens of a budget a drawer wants to hold; n.mu is held.
func (n *Node) poolTarget(b *balance) int64 {
	held := n.holdTime(b)
	if held < minAhead {
		return b.target(min(held, n.ahead))
	}
	own := b.perSecond * n.keepTime(held).Seconds()
	pool := b.servedPerSecond * poolTime(held).Seconds()
	owed := min(b.owed, int64(b.servedPerSecond*maxOwedDrawTime.Seconds()))
	return int64(own+pool) + owed
}

// poolTime returns the part of a holding period that is the drawer's pool.
func poolTime(held time.Duration) time.Duration { return min(held/poolDivisor, poolAhead) }

// keepTime returns the part of a holding period for which tokens are held where the demand is.
func (n *Node) keepTime(held time.Duration) time.Duration { return min(held-poolTime(held), n.ahead) }
