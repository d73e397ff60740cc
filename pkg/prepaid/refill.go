package prepaid

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// How an instance deals with its drawers.
const (
	// drawerRest is how long a drawer that did not answer, or declined, is passed
	// over. The next candidate is asked meanwhile. It doubles with each failure in a row
	// up to drawerLongRest: one that is gone costs a request its timeout each time.
	drawerRest     = 500 * time.Millisecond
	drawerLongRest = 4 * time.Second
	// drawersAsked is how many candidates one request asks.
	drawersAsked = 3
	// refillTimeout bounds a report; one for a waiting request is bounded by
	// needTimeout: a write of the drawer's, a recall and another write.
	refillTimeout = time.Second
	needTimeout   = 250 * time.Millisecond
	// busyPause is about how long a busy drawer is left alone: some writes of the ledger.
	busyPause = 30 * time.Millisecond
	// keepValid is how long a drawer's word counts on how much to keep.
	keepValid = 3 * time.Second
)

// errDeclined means that a drawer stops or does not reach the ledger.
var errDeclined = errors.New("drawer declined")

// ErrTooFew means that the ledger answered and has too few tokens. Unless the budget is
// said to be exhausted, others have been asked to give back what they hold.
var ErrTooFew = errors.New("too few tokens in the ledger")

// drawer is what an instance keeps of one drawer that it asks.
type drawer struct {
	// restUntil is until when it is passed over, rest for how long it was last.
	restUntil time.Time
	rest      time.Duration
	// granted and returned are totals by budget. A budget is in granted once the
	// drawer has answered for it; nothing is given back to it before. confirmed is the
	// part of returned that the drawer has answered.
	granted, returned, confirmed map[string]int64
}

func (n *Node) drawer(name string) *drawer {
	d := n.drawers[name]
	if d == nil {
		d = &drawer{
			granted: map[string]int64{}, returned: map[string]int64{}, confirmed: map[string]int64{},
		}
		n.drawers[name] = d
	}
	return d
}

// drawerOf returns the instance to be asked for tokens of a shard; empty if this one
// draws itself, because it is the first candidate that answers or none does.
func (n *Node) drawerOf(shard int) string {
	candidates := n.Fleet.Drawers(shard)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return ""
	}
	if len(candidates) > 0 && n.defers(n.shards[shard].drawer) {
		live, _ := n.Fleet.Live(n.shards[shard].drawer)
		return live
	}
	for _, candidate := range candidates {
		if candidate == n.Self {
			return ""
		}
		if !n.rests(candidate) {
			return candidate
		}
	}
	return ""
}

// askDrawers has a drawer grant what a waiting request needs. It reports whether one
// answered, and whether the budget is exhausted.
func (n *Node) askDrawers(ctx context.Context, budget string, tokens int64) (answered, exhausted bool) {
	shard := n.ShardOf(budget)
	busy := false
	for range drawersAsked {
		name := n.drawerOf(shard)
		if name == "" {
			return busy, false
		}
		n.mu.Lock()
		p := n.purse(budget)
		demand := demandOf(budget, p, n.drawer(name).confirmed[budget])
		demand.Need = max(tokens-p.free, 0)
		n.mu.Unlock()
		req := &prepaidpb.RefillRequest{Shard: int32(shard), Demands: []*prepaidpb.Demand{demand}}
		reply, err := n.refill(ctx, name, req, needTimeout)
		switch {
		case err == nil && len(reply.Lenders) > 0:
			n.borrowPieces(ctx, reply.Lenders, budget, tokens)
			return false, false
		case err == nil && reply.Busy:
			busy = true
			pause.For(ctx, busyPause/2+rand.N(busyPause))
		case err == nil && len(reply.Supplies) == 1:
			return true, reply.Supplies[0].Exhausted
		}
	}
	return busy, false
}

// report tells the drawer of a shard what this instance needs and holds, and gives
// back what it does not need. One report of a shard is on its way at a time.
func (n *Node) report(shard int, name string) {
	n.mu.Lock()
	if n.shards[shard].reporting {
		n.mu.Unlock()
		return
	}
	n.shards[shard].reporting = true
	d := n.drawer(name)
	var demands []*prepaidpb.Demand
	for id, p := range n.purses {
		if n.ShardOf(id) == shard {
			n.giveBackSurplus(d, id, p)
			demands = append(demands, demandOf(id, p, d.returned[id]))
		}
	}
	req := &prepaidpb.RefillRequest{Shard: int32(shard), Demands: demands}
	n.telling(shard, name, req)
	n.mu.Unlock()
	var reply *prepaidpb.RefillReply
	var err error
	if len(demands) > 0 || req.ToldEra != 0 {
		reply, err = n.refill(context.Background(), name, req, refillTimeout) // takeIn tells of a failure and has the drawer rest
	}
	n.mu.Lock()
	n.shards[shard].reporting = false
	n.settleReturned(d, demands, err)
	waits := n.settleTelling(shard, name, req, reply, err)
	n.mu.Unlock()
	if waits {
		n.report(shard, name) // others' tokens wait for what this instance has seen
	}
}

// settleReturned settles what a report gave back; n.mu is held. Only reports carry more
// than is confirmed, one at a time, so if the first that carried an amount was declined the
// drawer has not taken it in, and it is free again: without this what the askers of a
// stopping drawer gave back was lost. After a lost answer it stays with the drawer's total.
func (n *Node) settleReturned(d *drawer, demands []*prepaidpb.Demand, err error) {
	for _, sent := range demands {
		id := sent.Budget
		switch {
		case err == nil:
			d.confirmed[id] = max(d.confirmed[id], sent.Returned)
		case errors.Is(err, errDeclined):
			n.purse(id).free += d.returned[id] - d.confirmed[id]
			d.returned[id] = d.confirmed[id]
		default:
			d.confirmed[id] = sent.Returned // may have been taken in: never free again
		}
	}
}

// giveBackSurplus takes what is well beyond what is to be kept out of free, to be told
// by the next report; n.mu is held.
func (n *Node) giveBackSurplus(d *drawer, id string, p *purse) {
	if _, answered := d.granted[id]; !answered || n.Now().Sub(p.keptAt) > keepValid {
		return
	}
	surplus := p.free - p.keep
	if surplus <= p.keep/surplusPart {
		return
	}
	p.free -= surplus
	d.returned[id] += surplus
}

func demandOf(id string, p *purse, returned int64) *prepaidpb.Demand {
	return &prepaidpb.Demand{
		Budget:    id,
		PerSecond: int64(p.perSecond),
		Usual:     int64(p.usual),
		Free:      p.free,
		Returned:  returned,
	}
}

// refill carries one report and takes in what is granted. It goes on when the request
// that waits for it has given up: what is granted serves the next one.
func (n *Node) refill(
	ctx context.Context, name string, req *prepaidpb.RefillRequest, timeout time.Duration,
) (*prepaidpb.RefillReply, error) {
	type result struct {
		reply *prepaidpb.RefillReply
		err   error
	}
	req.Asker, req.Drawer = n.Self, name
	done := make(chan result, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		reply, err := n.Peers.Refill(callCtx, name, req)
		if err == nil && reply.Declined {
			err = errDeclined
		}
		n.takeIn(name, int(req.Shard), reply, err)
		done <- result{reply, err}
	}()
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// takeIn takes a drawer's answer in.
func (n *Node) takeIn(name string, shard int, reply *prepaidpb.RefillReply, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Now()
	d := n.drawer(name)
	n.noteDrawer(shard, reply.GetDrawer())
	if errors.Is(err, errDeclined) && n.pointsElsewhere(name, reply) {
		return // it is well, and another one draws
	}
	if err != nil {
		d.rest = min(max(2*d.rest, drawerRest), drawerLongRest)
		d.restUntil = now.Add(d.rest)
		n.Observer.Resting(name, d.rest, err)
		return
	}
	d.rest = 0
	for _, supply := range reply.Supplies {
		n.takeSupply(d, name, supply, now)
	}
}

// pointsElsewhere reports that a drawer declined because another one, which lives, draws; n.mu
// is held.
func (n *Node) pointsElsewhere(name string, reply *prepaidpb.RefillReply) bool {
	live, _ := n.Fleet.Live(reply.GetDrawer())
	return live != "" && live != name
}

// StoreBack says that the store answers this instance again after an outage. Drawers that
// declined or did not answer meanwhile are asked again at once: they are back as well. Else
// they rest for up to drawerLongRest more, and all instances write to the ledger themselves:
// on four days of large fleets (63 to 81 instances) that was 8 to 18 % of the store calls.
func (n *Node) StoreBack() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.drawers {
		d.rest, d.restUntil = 0, time.Time{}
	}
}

func (n *Node) takeSupply(d *drawer, name string, supply *prepaidpb.Supply, now time.Time) {
	p := n.purse(supply.Budget)
	tokens := supply.Granted - d.granted[supply.Budget]
	if tokens >= 0 {
		d.granted[supply.Budget] = supply.Granted
	}
	if tokens > 0 {
		p.free += tokens
		n.Observer.Borrowed(supply.Budget, name, tokens)
	}
	n.witnessed.note(name, supply.Budget, supply.Drawn, now)
	p.keep, p.keptAt = supply.Keep, now
	p.left, p.seenAt, p.prepaid = supply.Left, now, supply.Prepaid
	if supply.Exhausted {
		n.noteRecall(supply.Budget, now)
	}
	n.shards[n.ShardOf(supply.Budget)].away = false // the drawer reaches it
}
