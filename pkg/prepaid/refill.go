package prepaid

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// Parameters of an instance's requests to drawers.
const (
	// minDrawerBackoff is how long a drawer that did not answer or declined is avoided; the next
	// candidate is asked meanwhile. The time doubles with each failure in a row up to
	// maxDrawerBackoff, since each call to a crashed drawer costs a request its timeout.
	minDrawerBackoff = 500 * time.Millisecond
	maxDrawerBackoff = 4 * time.Second
	// maxDrawersPerRequest is the maximum number of times that one request asks a drawer.
	maxDrawersPerRequest = 3
	// refillTimeout bounds a report. A report for a waiting request is bounded by needTimeout: a
	// write by the drawer, a recall and another write.
	refillTimeout = time.Second
	needTimeout   = 250 * time.Millisecond
	// busyRetryInterval is the mean time before a busy drawer is asked again: the time of some ledger
	// writes.
	busyRetryInterval = 30 * time.Millisecond
	// keepTargetLifetime is how long a drawer's keep target is valid.
	keepTargetLifetime = 3 * time.Second
)

// errDeclined means that a drawer is stopping or cannot reach the ledger.
var errDeclined = errors.New("drawer declined")

// ErrTooFew means that the ledger answered and has too few tokens. Unless ShortError.Exhausted is
// set, other instances have been asked to return what they hold.
var ErrTooFew = errors.New("too few tokens in the ledger")

// drawerState is an instance's state for one drawer that it asks.
type drawerState struct {
	// avoidedUntil is the time until which the drawer is avoided, backoff how long it was last
	// avoided.
	avoidedUntil time.Time
	backoff      time.Duration
	// granted and returned are totals by budget. A budget is in granted once the drawer has
	// answered for it; nothing is returned to the drawer before that. confirmed is the part of
	// returned that the drawer has confirmed.
	granted, returned, confirmed map[string]int64
}

func (n *Node) drawerState(name string) *drawerState {
	d := n.drawers[name]
	if d == nil {
		d = &drawerState{
			granted: map[string]int64{}, returned: map[string]int64{}, confirmed: map[string]int64{},
		}
		n.drawers[name] = d
	}
	return d
}

// drawerFor returns the instance to ask for tokens of a shard. It is empty if this instance draws
// itself, because it is the first candidate that is not avoided or there is none.
func (n *Node) drawerFor(shard int) string {
	candidates := n.Fleet.Drawers(shard)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return ""
	}
	if slices.Contains(candidates, n.Self) && n.shards[shard].drawer == n.Name {
		return "" // the others ask this instance, even if another candidate ranks before it
	}
	if len(candidates) > 0 && n.defersTo(n.shards[shard].drawer) {
		live, _ := n.Fleet.Live(n.shards[shard].drawer)
		return live
	}
	for _, candidate := range candidates {
		if candidate == n.Self {
			return ""
		}
		if !n.isAvoided(candidate) {
			return candidate
		}
	}
	return ""
}

// sendReport sends the drawer of a shard what this instance needs and holds, and returns its
// surplus. At most one report of a shard is in progress.
func (n *Node) sendReport(shard int, name string) {
	n.mu.Lock()
	if n.shards[shard].reporting {
		n.mu.Unlock()
		return
	}
	n.shards[shard].reporting = true
	d := n.drawerState(name)
	var demands []*prepaidpb.Demand
	for id, b := range n.balances {
		if n.ShardOf(id) == shard {
			n.returnSurplus(d, id, b)
			demands = append(demands, demandOf(id, b, d.returned[id]))
		}
	}
	req := &prepaidpb.RefillRequest{Shard: int32(shard), Demands: demands}
	n.addSeenRows(shard, name, req)
	n.mu.Unlock()
	var reply *prepaidpb.RefillReply
	var err error
	if len(demands) > 0 || req.ToldEra != 0 {
		reply, err = n.callRefill(context.Background(), name, req, refillTimeout, nil) // applyReply handles a failure
	}
	n.mu.Lock()
	n.shards[shard].reporting = false
	n.confirmReturned(d, demands, err)
	waits := n.processReportReply(shard, name, req, reply, err)
	n.mu.Unlock()
	if waits {
		n.sendReport(shard, name) // others cannot draw until this instance has reported what it has seen
	}
}

// confirmReturned updates the totals returned to a drawer after a report; n.mu is held. Only reports
// carry totals above the confirmed ones, one report at a time. So if the report that raises a total
// is declined, the drawer has not counted the additional tokens, and they become free again at this
// instance; without this, tokens that requesters returned to a stopping drawer were lost. If the
// reply is lost, the drawer may have counted them, and they stay returned.
func (n *Node) confirmReturned(d *drawerState, demands []*prepaidpb.Demand, err error) {
	for _, sent := range demands {
		id := sent.Budget
		switch {
		case err == nil:
			d.confirmed[id] = max(d.confirmed[id], sent.Returned)
		case errors.Is(err, errDeclined):
			n.balance(id).free += d.returned[id] - d.confirmed[id]
			d.returned[id] = d.confirmed[id]
		default:
			d.confirmed[id] = sent.Returned // the drawer may have counted it, so it never becomes free again
		}
	}
}

// returnSurplus takes tokens well beyond the keep target out of the free ones; the next report
// returns them; n.mu is held.
func (n *Node) returnSurplus(d *drawerState, id string, b *balance) {
	if _, answered := d.granted[id]; !answered || n.Now().Sub(b.keepTargetAt) > keepTargetLifetime {
		return
	}
	surplus := b.unclaimed() - b.keepTarget
	if surplus <= b.keepTarget/surplusDivisor {
		return
	}
	b.free -= surplus
	d.returned[id] += surplus
}

func demandOf(id string, b *balance, returned int64) *prepaidpb.Demand {
	return &prepaidpb.Demand{
		Budget:    id,
		PerSecond: int64(b.perSecond),
		Usual:     int64(b.typicalSize),
		Free:      b.free,
		Returned:  returned,
	}
}

// callRefill sends one report, or the only demand of a request that asks, and adds what the drawer grants. The
// call continues after the waiting request has given up, since the granted tokens serve the next one.
func (n *Node) callRefill(
	ctx context.Context, name string, req *prepaidpb.RefillRequest, timeout time.Duration, a *ask,
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
		n.applyReply(name, req, reply, err, a)
		done <- result{reply, err}
	}()
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// applyReply updates this instance from a drawer's reply, and ends the ask that it answers, if any.
func (n *Node) applyReply(
	name string, req *prepaidpb.RefillRequest, reply *prepaidpb.RefillReply, err error, a *ask,
) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a != nil {
		b := n.balance(a.budget)
		before := b.free
		answered := err == nil && len(reply.Supplies) > 0
		defer func() { b.endAsk(a, req.Demands[0].Need, b.free-before, answered) }()
	}
	now := n.Now()
	d := n.drawerState(name)
	n.noteDrawer(int(req.Shard), reply.GetDrawer())
	if errors.Is(err, errDeclined) && n.namesOtherDrawer(name, reply) {
		return // the drawer is healthy, and another one draws
	}
	if err != nil {
		d.backoff = min(max(2*d.backoff, minDrawerBackoff), maxDrawerBackoff)
		d.avoidedUntil = now.Add(d.backoff)
		n.Observer.DrawerAvoided(name, d.backoff, err)
		return
	}
	d.backoff = 0
	for _, supply := range reply.Supplies {
		n.applySupply(d, name, supply, now)
	}
}

// namesOtherDrawer reports whether a drawer declined because another live instance draws; n.mu is
// held.
func (n *Node) namesOtherDrawer(name string, reply *prepaidpb.RefillReply) bool {
	live, _ := n.Fleet.Live(reply.GetDrawer())
	return live != "" && live != name
}

// NoteStoreAvailable records that the store answers this instance again after an outage. Drawers
// that declined or did not answer meanwhile probably reach it again, too, and are asked at once.
// Otherwise they would be avoided for up to maxDrawerBackoff more, and all instances would write to
// the ledger themselves: on four days of large fleets (63 to 81 instances) these writes were 8 to
// 18 % of the store calls.
func (n *Node) NoteStoreAvailable() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.drawers {
		d.backoff, d.avoidedUntil = 0, time.Time{}
	}
}

func (n *Node) applySupply(d *drawerState, name string, supply *prepaidpb.Supply, now time.Time) {
	b := n.balance(supply.Budget)
	tokens := supply.Granted - d.granted[supply.Budget]
	if tokens >= 0 {
		d.granted[supply.Budget] = supply.Granted
	}
	if tokens > 0 {
		b.free += tokens
		n.Observer.Borrowed(supply.Budget, name, tokens)
	}
	n.witnessed.record(name, supply.Budget, supply.Drawn, now)
	b.keepTarget, b.keepTargetAt = supply.Keep, now
	b.ledgerFree, b.ledgerSeenAt, b.prepaid = supply.Left, now, supply.Prepaid
	if supply.Exhausted {
		n.noteRecall(supply.Budget, now)
	}
	n.shards[n.ShardOf(supply.Budget)].unavailable = false // the drawer reaches the ledger
}
