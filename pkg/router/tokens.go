package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"storj.io/drpc/drpcerr"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/member"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/peer"
	"github.com/lavenderring/lavenderring/pkg/prepaid"
	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// tokenPeers implements prepaid.Peers.
type tokenPeers struct {
	client *peer.Client
	table  *member.Table
}

func (p tokenPeers) Lend(ctx context.Context, to, budget string, need, ahead int64) (int64, error) {
	return p.client.Lend(ctx, to, budget, need, ahead)
}

func (p tokenPeers) Refill(
	ctx context.Context, to string, req *prepaidpb.RefillRequest,
) (*prepaidpb.RefillReply, error) {
	reply, err := p.client.Refill(ctx, to, req)
	if err == nil && reply.Successor != "" {
		// In a large fleet, heartbeats would report the successor only seconds later.
		p.table.NoteSuccessor(to, reply.Successor)
	}
	return reply, err
}

func (p tokenPeers) Recall(ctx context.Context, to, budget string) error {
	return p.client.RecallTokens(ctx, to, budget)
}

// Witness implements prepaid.Peers. An instance of a version that does not remember draws counts as a
// witness; otherwise a fleet could not serve while it is being updated.
func (p tokenPeers) Witness(
	ctx context.Context, to string, req *prepaidpb.WitnessRequest,
) (*prepaidpb.WitnessReply, error) {
	reply, err := p.client.Witness(ctx, to, req)
	if drpcerr.Code(err) == drpcerr.Unimplemented {
		return &prepaidpb.WitnessReply{}, nil
	}
	return reply, err
}

// fleetView implements prepaid.Fleet.
type fleetView struct {
	table *member.Table
	// joined reports whether the other instances are known.
	joined func() bool
	// discover adds the instance at an address, if there is one, to the known ones.
	discover func(address string)
}

// Joined implements prepaid.Fleet.
func (v fleetView) Joined() bool { return v.joined() }

func (v fleetView) Others() []string {
	var others []string
	for _, m := range v.table.Others() {
		others = append(others, m.Incarnation)
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

func (v fleetView) NumKnown() int { return v.table.Count() }

// Live implements prepaid.Fleet.
func (v fleetView) Live(name string) (incarnation string, known bool) {
	return v.table.LiveByName(name)
}

// Discover implements prepaid.Fleet.
func (v fleetView) Discover(address string) { go v.discover(address) }

// maxShareSilence is how long a silent instance still counts among those that share budgets.
// It is longer than any network partition of all instances that the fleet must survive: at the end
// of such a partition all others are silent for each instance, which would otherwise take the shares
// of all.
const maxShareSilence = 15 * time.Second

// SharesBudgets implements prepaid.Fleet.
func (v fleetView) SharesBudgets(name string) bool {
	return !v.Joined() || v.table.HeardWithin(name, maxShareSilence)
}

// maxDirectDrawFleet is the largest fleet in which each instance draws for itself: with two
// instances, a common drawer would save no calls.
const maxDirectDrawFleet = 2

// Numbers of the instances that are candidates for drawing a shard: the first of the region, others
// in case that one does not answer, and some of this instance's failure domain in case the domain is
// partitioned from the others and still reaches the store.
const (
	numRegionCandidates = 2
	numDomainCandidates = 2
)

// Drawers implements prepaid.Fleet: known instances in the shard's order, including silent ones,
// so that all instances agree on them without communication.
func (v fleetView) Drawers(shard int) []string {
	if v.table.Count() <= maxDirectDrawFleet {
		return nil
	}
	names := incarnations(v.table.RankedInRegion(shardKey(shard), numRegionCandidates))
	for _, near := range incarnations(v.table.RankedInDomain(shardKey(shard), numDomainCandidates)) {
		if !slices.Contains(names, near) {
			names = append(names, near)
		}
	}
	return names
}

// OtherDrawers implements prepaid.Fleet.
func (v fleetView) OtherDrawers(shard int) []string {
	return incarnations(v.table.WinnersInOtherRegions(shardKey(shard)))
}

// Witnesses implements prepaid.Fleet: the highest-ranked instance of each other failure domain, then
// all others in random order.
func (v fleetView) Witnesses(shard int) []string {
	var witnesses []string
	own := v.table.Self()
	for _, m := range v.table.WinnersByDomain(shardKey(shard) + own.Name) {
		if m.Region != own.Region || m.Domain != own.Domain {
			witnesses = append(witnesses, m.Incarnation)
		}
	}
	for _, other := range v.Others() {
		if !slices.Contains(witnesses, other) {
			witnesses = append(witnesses, other)
		}
	}
	return witnesses
}

func incarnations(members []*memberpb.Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Incarnation)
	}
	return names
}

// tokenLog implements prepaid.Observer.
type tokenLog struct{ log *eventlog.Log }

func (o tokenLog) Moved(m prepaid.Movement) {
	o.log.Event(eventlog.TokensMoved, "", eventlog.Fields{
		"budget": m.Budget, "drawn": m.Drawn, "returned": m.Returned, "left": m.Left,
		"free": m.Free, "reserved": m.Reserved, "target": m.Target, "held_elsewhere": m.HeldElsewhere,
		"per_second": m.PerSecond, "elsewhere_per_second": m.ElsewherePerSecond,
	})
}

func (o tokenLog) Borrowed(budget, lender string, tokens int64) {
	o.log.Event(eventlog.TokensBorrowed, "", eventlog.Fields{"budget": budget, "lender": lender, "tokens": tokens})
}

func (o tokenLog) DrawerAvoided(drawer string, backoff time.Duration, cause error) {
	o.log.Event(eventlog.DrawerResting, "", eventlog.Fields{
		"peer": drawer, "rest_ms": backoff.Milliseconds(), "cause": cause.Error(),
	})
}

// Recovered implements prepaid.Observer.
func (o tokenLog) Recovered(r prepaid.Recovered) {
	o.log.Event(eventlog.LedgerRecovered, "", eventlog.Fields{
		"shard": r.Shard, "era": r.Era, "tokens": r.Tokens, "settled": r.Settled, "missing": r.Missing,
	})
}

// Stranded implements prepaid.Observer.
func (o tokenLog) Stranded(s prepaid.Stranded) {
	o.log.Event(eventlog.TokensStranded, "", eventlog.Fields{
		"peer": s.Instance, "incarnation": s.Incarnation, "held": s.Held,
	})
}

// tokenService answers the requests of other instances for tokens.
type tokenService struct{ node *prepaid.Node }

// tokenServiceTimeout bounds the work for another instance's request.
const tokenServiceTimeout = 300 * time.Millisecond

func (s tokenService) Lend(ctx context.Context, req *prepaidpb.LendRequest) (*prepaidpb.LendReply, error) {
	ctx, cancel := context.WithTimeout(ctx, tokenServiceTimeout)
	defer cancel()
	return &prepaidpb.LendReply{Tokens: s.node.Lend(ctx, req.Budget, req.Need, req.Ahead)}, nil
}

func (s tokenService) Refill(ctx context.Context, req *prepaidpb.RefillRequest) (*prepaidpb.RefillReply, error) {
	ctx, cancel := context.WithTimeout(ctx, tokenServiceTimeout)
	defer cancel()
	return s.node.Refill(ctx, req), nil
}

func (s tokenService) Witness(_ context.Context, req *prepaidpb.WitnessRequest) (*prepaidpb.WitnessReply, error) {
	return s.node.Witness(req), nil
}

func (s tokenService) Recall(_ context.Context, req *prepaidpb.RecallRequest) (*prepaidpb.RecallReply, error) {
	s.node.HandleRecall(req.Budget)
	return &prepaidpb.RecallReply{}, nil
}

// prepaidAmounts returns the prepaid tokens of a shard's accounts in the configuration in force.
func (r *Router) prepaidAmounts(shard int) prepaid.Amounts {
	table := r.config.Table()
	if table == nil {
		return prepaid.Amounts{}
	}
	amounts := prepaid.Amounts{Version: table.Config.Version, Tokens: map[string]int64{}}
	for i := range table.Config.Accounts {
		account := &table.Config.Accounts[i]
		if account.PrepaidTokens >= 0 && r.tokens.ShardOf(account.Name) == shard {
			amounts.Tokens[account.Name] = account.PrepaidTokens
		}
	}
	return amounts
}
