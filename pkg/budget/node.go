package budget

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// Bounds on how often expensive operations are tried.
const (
	// denialLifetime is how long the result of a failed search is returned to
	// later reservations of the same size or more, so that an exhausted client
	// account does not cause a search for each request.
	denialLifetime = 100 * time.Millisecond
	// directSettleInterval is the minimum time between two direct settlements for
	// the same holder, which bypass the holder and its witness and write usages
	// to the ledger.
	directSettleInterval = 10 * time.Second
	// maxRefillRounds bounds the rounds of one refill.
	maxRefillRounds = 3
)

// Node is the spender, holder and witness of one instance. It is safe for
// concurrent use.
type Node struct {
	cfg      Config
	ledger   Ledger
	peers    Peers
	fleet    Fleet
	prepaid  Prepaid
	observer Observer
	now      func() time.Time

	spender    *Spender
	holder     *Holder
	witness    *Witness
	collector  *Collector
	shardLocks []sync.Mutex // by shard; allows one ledger write of the holder at a time

	mu               sync.Mutex
	lastTick         time.Time
	lastRecord       time.Time
	reclaimedHolders map[string]bool // silent holders whose grants were reclaimed
	lastDirectSettle map[string]time.Time
	pendingClose     []*grant // removed from the holder, not closed in the ledger yet
}

// Deps holds the dependencies of a node.
type Deps struct {
	Ledger   Ledger
	Peers    Peers
	Fleet    Fleet
	Prepaid  Prepaid
	Observer Observer
	// Now returns the current time. It only paces work; no safety property
	// depends on it.
	Now func() time.Time
}

// NewNode returns a node without tokens.
func NewNode(cfg Config, deps Deps) *Node {
	cfg = cfg.WithDefaults()
	return &Node{
		cfg:              cfg,
		ledger:           deps.Ledger,
		peers:            deps.Peers,
		fleet:            deps.Fleet,
		prepaid:          deps.Prepaid,
		observer:         deps.Observer,
		now:              deps.Now,
		spender:          NewSpender(cfg.Self),
		holder:           NewHolder(cfg),
		witness:          NewWitness(),
		collector:        NewCollector(),
		shardLocks:       make([]sync.Mutex, cfg.Shards),
		lastTick:         deps.Now(),
		reclaimedHolders: map[string]bool{},
		lastDirectSettle: map[string]time.Time{},
	}
}

// Spender returns the node's spender.
func (n *Node) Spender() *Spender { return n.spender }

// Holder returns the node's holder.
func (n *Node) Holder() *Holder { return n.holder }

// Settle ends a reservation; see Spender.Settle.
func (n *Node) Settle(r *Reservation, used int64) int64 { return n.spender.Settle(r, used) }

// Reserve reserves tokens for one request from this instance's lots. If they do not
// suffice, it asks the holders to allocate the missing tokens, nearest holder
// first. Errors: *ShortError.
func (n *Node) Reserve(ctx context.Context, budget string, tokens int64, into *Reservation) error {
	if n.spender.TryReserve(budget, tokens, into) {
		return nil
	}
	b := n.spender.lockSearch(budget)
	defer b.searchMu.Unlock()
	if n.spender.TryReserve(budget, tokens, into) {
		return nil
	}
	if b.lastDenial != nil && tokens >= b.lastDenial.Need && n.now().Sub(b.deniedAt) < denialLifetime {
		denial := *b.lastDenial
		denial.Need = tokens
		return &denial
	}
	b.lastDenial = n.searchHolders(ctx, budget, tokens, into)
	if b.lastDenial != nil {
		b.deniedAt = n.now()
		return b.lastDenial
	}
	return nil
}

// lockSearch locks the budget's search mutex and returns the balance. Only one
// search runs for a budget at a time, because the tokens that it finds may also
// suffice for the reservations that wait for it.
func (s *Spender) lockSearch(budget string) *balance {
	s.mu.Lock()
	b := s.balance(budget)
	s.mu.Unlock()
	b.searchMu.Lock()
	return b
}

func (n *Node) searchHolders(ctx context.Context, budget string, tokens int64, into *Reservation) *ShortError {
	short := &ShortError{Budget: budget, Need: tokens, Exhausted: true, Step: "allocate"}
	for _, to := range n.fleet.Holders(ledger.ShardOf(budget, n.cfg.Shards)) {
		missing := n.spender.shortfallFor(budget, tokens, n.cfg.AllocateAhead)
		reply, err := n.allocateFrom(ctx, to, &budgetpb.AllocateRequest{
			Spender: n.cfg.Self,
			Budget:  budget,
			Seq:     missing.seq,
			Need:    missing.need,
			Ahead:   missing.ahead,
		})
		if err != nil {
			short.Peer, short.Err, short.Exhausted = to, err, false
			continue
		}
		n.spender.Merge(budget, reply.Lots)
		if n.spender.TryReserve(budget, tokens, into) {
			return nil
		}
		short.Exhausted = short.Exhausted && reply.Exhausted
	}
	short.Found = n.spender.Free(budget)
	return short
}

func (n *Node) allocateFrom(
	ctx context.Context, to string, req *budgetpb.AllocateRequest,
) (*budgetpb.AllocateReply, error) {
	if to == n.cfg.Self {
		return n.Allocate(ctx, req)
	}
	return n.peers.Allocate(ctx, to, req)
}

// Allocate handles a spender's request, after a refill if the holder cannot
// allocate the need at once.
func (n *Node) Allocate(ctx context.Context, req *budgetpb.AllocateRequest) (*budgetpb.AllocateReply, error) {
	exhausted := false
	if n.holder.allocatable(req.Budget) < req.Need {
		exhausted = n.refill(ctx, req.Budget, req.Need, req.Spender)
	}
	reply := n.holder.allocate(req)
	reply.Exhausted = exhausted
	return reply, nil
}

// refill tries to make need tokens of a budget allocatable. In each round it asks
// the witness to sign drawn tokens and draws more from the ledger; from the second
// round on it also recalls tokens from spenders other than requester. It reports
// whether the budget is exhausted: the witness, the ledger and the spenders all
// answered, and the tokens still do not suffice.
func (n *Node) refill(ctx context.Context, budget string, need int64, requester string) (exhausted bool) {
	b := n.holder.getOrCreateBudget(budget)
	b.refillMu.Lock()
	defer b.refillMu.Unlock()
	exhausted = true
	for round := 0; round < maxRefillRounds; round++ {
		if n.signBudget(ctx, budget, need) != nil {
			exhausted = false
			n.replaceWitness(ctx, budget)
		}
		missing := need - n.holder.allocatable(budget) - n.holder.unsigned(budget)
		if n.holder.allocatable(budget) >= need {
			return false
		}
		if missing > 0 && n.drawBudget(ctx, budget, missing) != nil {
			exhausted = false
		}
		if round == 0 {
			continue
		}
		if !n.recallBudget(ctx, budget, requester) {
			exhausted = false
		}
	}
	return exhausted && n.holder.allocatable(budget) < need
}

func (n *Node) signBudget(ctx context.Context, budget string, need int64) error {
	witness, state := n.holder.signRequest(budget, need)
	if witness == "" {
		n.holder.selfSign(budget, need)
		return nil
	}
	if state == nil {
		return nil
	}
	return n.sign(ctx, witness, []*budgetpb.GrantState{state})
}

func (n *Node) sign(ctx context.Context, witness string, states []*budgetpb.GrantState) error {
	reply, err := n.peers.Sign(ctx, witness, &budgetpb.SignRequest{Holder: n.cfg.Self, Grants: states})
	if err != nil {
		return err
	}
	for _, g := range n.holder.mergeSignatures(witness, states, reply.Signatures) {
		n.loseGrant(ctx, g)
	}
	return nil
}

func (n *Node) drawBudget(ctx context.Context, budget string, missing int64) error {
	witness := n.chooseWitness()
	return n.writeShard(ctx, ledger.ShardOf(budget, n.cfg.Shards), func() []ledgerUpdate {
		return []ledgerUpdate{n.holder.drawUpdate(budget, witness, missing)}
	})
}

func (n *Node) chooseWitness() string {
	if n.cfg.Unwitnessed {
		return ""
	}
	return n.fleet.Witness("")
}

// replaceWitness names another witness at once when the present one does not
// answer while a request waits. If the witness is only slow, this costs an
// unnecessary write; waiting until it counts as silent would fail the request.
func (n *Node) replaceWitness(ctx context.Context, budget string) {
	if g, failed := n.holder.confirmedGrant(budget); g != nil {
		n.nameWitness(ctx, []*grant{g}, n.fleet.Witness(failed))
	}
}

// writeShard writes the holder's updates for one shard to the ledger, together
// with the prepaid amounts in force, in one conditional write. A lock of the shard
// is held while the updates are made and written and their results merged: a grant
// can grow and shrink, and results merged in the wrong order would make it appear
// larger than it is.
func (n *Node) writeShard(ctx context.Context, shard int, makeUpdates func() []ledgerUpdate) error {
	n.shardLocks[shard].Lock()
	defer n.shardLocks[shard].Unlock()
	updates := makeUpdates()
	if len(updates) == 0 {
		return nil
	}
	return n.writeShardLocked(ctx, shard, updates)
}

func (n *Node) writeShardLocked(ctx context.Context, shard int, updates []ledgerUpdate) error {
	var results []ledgerResult
	err := n.ledger.Update(ctx, shard, func(s *ledger.Shard) {
		results = results[:0]
		for _, p := range n.prepaid(shard) {
			s.SetPrepaid(p.Service, p.Generation, p.Amounts)
		}
		for _, update := range updates {
			results = append(results, update.apply(s, n.cfg.Self, n.cfg.ExtraDrawDivisor))
		}
	})
	if err != nil {
		return err
	}
	lost := n.holder.mergeResults(results)
	n.notifyObserver(results)
	for _, r := range lost {
		if g := n.holder.removeGrant(r.update.id); g != nil {
			n.closeGrant(ctx, g)
			n.observer.GrantLost(g.budget, g.id)
		}
	}
	return nil
}

func (n *Node) notifyObserver(results []ledgerResult) {
	for _, r := range results {
		if r.drawn > r.update.drawn {
			n.observer.GrantDrawn(r.update.budget, r.update.id, r.drawn-r.update.drawn)
		}
		if r.free < 0 {
			n.observer.BudgetReduced(r.update.budget, r.free)
		}
		if r.update.nameWitness && r.err == nil {
			n.observer.WitnessNamed(r.update.budget, r.update.id, r.update.witness)
		}
	}
}

// SyncPrepaid writes the prepaid amounts in force to one shard.
func (n *Node) SyncPrepaid(ctx context.Context, shard int) error {
	n.shardLocks[shard].Lock()
	defer n.shardLocks[shard].Unlock()
	return n.writeShardLocked(ctx, shard, nil)
}

// recallBudget recalls a budget's unreserved tokens from all spenders except the
// requester, and reports whether all of them answered.
func (n *Node) recallBudget(ctx context.Context, budget, requester string) bool {
	all := true
	for _, spender := range n.holder.spendersWithTokens(budget, requester) {
		usages, err := n.recallFrom(ctx, spender, budget)
		if err != nil {
			all = false
			continue
		}
		n.holder.mergeReport(spender, usages)
	}
	return all
}

func (n *Node) recallFrom(ctx context.Context, spender, budget string) ([]*budgetpb.Usage, error) {
	if spender == n.cfg.Self {
		return n.spender.recall(budget), nil
	}
	reply, err := n.peers.Recall(ctx, spender, &budgetpb.RecallRequest{Budget: budget})
	if err != nil {
		return nil, err
	}
	return reply.Usages, nil
}

// Recall handles the request of a holder that needs tokens back.
func (n *Node) Recall(_ context.Context, req *budgetpb.RecallRequest) (*budgetpb.RecallReply, error) {
	return &budgetpb.RecallReply{Usages: n.spender.recall(req.Budget)}, nil
}

// Sign handles the request of a holder whose witness is this instance.
func (n *Node) Sign(_ context.Context, req *budgetpb.SignRequest) (*budgetpb.SignReply, error) {
	return n.witness.sign(req), nil
}

// Report handles the usages that a spender reports. Those of grants that are open
// at this instance go to its holder, the others to its collector, which accepts
// them if this instance has closed the grant as its holder or witness.
func (n *Node) Report(_ context.Context, req *budgetpb.ReportRequest) (*budgetpb.ReportReply, error) {
	lots, notOpen := n.holder.mergeReport(req.Spender, req.Usages)
	closed := n.collector.report(notOpen)
	return &budgetpb.ReportReply{Lots: lots, Settled: closed.settled, Unknown: closed.unknown}, nil
}

// loseGrant removes a grant that its witness has closed.
func (n *Node) loseGrant(ctx context.Context, g *grant) {
	if n.holder.removeGrant(g.id) == nil {
		return
	}
	n.observer.GrantLost(g.budget, g.id)
	n.closeGrant(ctx, g)
}

// unallocatedSpender is the spender name under which a holder returns the part of
// a closed grant that it never allocated.
func (n *Node) unallocatedSpender() string { return n.cfg.Self + "/unallocated" }

// closeGrant closes a removed grant in the ledger. If its witness has closed it
// already, closeGrant returns the tokens that were signed but never allocated,
// whose number no other instance knows. Usages that cannot be written now stay
// with the collector.
func (n *Node) closeGrant(ctx context.Context, g *grant) {
	usages := g.usages()
	n.collector.addGrant(g.id, g.budget, usages)
	settled := false
	var unallocated ledger.Usage
	err := n.ledger.Update(ctx, ledger.ShardOf(g.budget, n.cfg.Shards), func(s *ledger.Shard) {
		settled = false
		unallocated = ledger.Usage{}
		b := s.Budgets[g.budget]
		if b == nil || b.Grants[g.id] == nil {
			settled = true
			return
		}
		recorded := b.Grants[g.id]
		if recorded.Closed {
			unallocated = ledger.Usage{Returned: max(recorded.Allocated-g.allocated, 0)}
			usages[n.unallocatedSpender()] = unallocated
			_ = s.MergeUsages(g.budget, g.id, usages)
		} else {
			_ = s.Close(g.budget, g.id, g.allocated, usages)
		}
		settled = b.Grants[g.id] == nil
	})
	if err != nil {
		n.deferClose(g)
		return
	}
	n.collector.markWritten(closedGrant{id: g.id, usages: usages}, settled)
}

// deferClose keeps a removed grant to be closed at a later tick.
func (n *Node) deferClose(g *grant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pendingClose = append(n.pendingClose, g)
}
