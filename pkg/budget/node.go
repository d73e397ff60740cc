package budget

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// Bounds on how often the slow ways are tried.
const (
	// denyFor is how long a failed search answers for later ones of the same
	// size or more, so that an exhausted account does not cost a search for
	// each request.
	denyFor = 100 * time.Millisecond
	// directEvery is the least time between two settlements past a silent
	// holder and its witness.
	directEvery = 10 * time.Second
	// maxRefillRounds bounds the steps of one refill.
	maxRefillRounds = 3
)

// Node plays all three roles for one instance. It is safe for concurrent use.
type Node struct {
	cfg      Config
	ledger   Ledger
	peers    Peers
	fleet    Fleet
	prepaid  Prepaid
	observer Observer
	now      func() time.Time

	spender   *Spender
	holder    *Holder
	witness   *Witness
	collector *Collector
	shards    []sync.Mutex // one ledger write of the holder at a time

	mu       sync.Mutex
	lastTick time.Time
	lastFold time.Time
	taken    map[string]bool // silent holders whose grants were reclaimed
	direct   map[string]time.Time
	unclosed []*grant // surrendered, not closed in the ledger yet
}

// Deps is what a node works with.
type Deps struct {
	Ledger   Ledger
	Peers    Peers
	Fleet    Fleet
	Prepaid  Prepaid
	Observer Observer
	// Now is the clock; it paces work and decides nothing about safety.
	Now func() time.Time
}

// NewNode returns a node without tokens.
func NewNode(cfg Config, deps Deps) *Node {
	cfg = cfg.WithDefaults()
	return &Node{
		cfg:       cfg,
		ledger:    deps.Ledger,
		peers:     deps.Peers,
		fleet:     deps.Fleet,
		prepaid:   deps.Prepaid,
		observer:  deps.Observer,
		now:       deps.Now,
		spender:   NewSpender(cfg.Self),
		holder:    NewHolder(cfg),
		witness:   NewWitness(),
		collector: NewCollector(),
		shards:    make([]sync.Mutex, cfg.Shards),
		lastTick:  deps.Now(),
		taken:     map[string]bool{},
		direct:    map[string]time.Time{},
	}
}

// Spender returns the node's spender.
func (n *Node) Spender() *Spender { return n.spender }

// Holder returns the node's holder.
func (n *Node) Holder() *Holder { return n.holder }

// Settle ends a reservation; see Spender.Settle.
func (n *Node) Settle(r *Reservation, used int64) int64 { return n.spender.Settle(r, used) }

// Reserve sets tokens aside for one request, from lots at hand or, if they do
// not suffice, from the holders, nearest first. Errors: *ShortError.
func (n *Node) Reserve(ctx context.Context, budget string, tokens int64, into *Reservation) error {
	if n.spender.TryReserve(budget, tokens, into) {
		return nil
	}
	p := n.spender.lockGather(budget)
	defer p.gather.Unlock()
	if n.spender.TryReserve(budget, tokens, into) {
		return nil
	}
	if p.denied != nil && tokens >= p.denied.Need && n.now().Sub(p.deniedAt) < denyFor {
		again := *p.denied
		again.Need = tokens
		return &again
	}
	p.denied = n.search(ctx, budget, tokens, into)
	if p.denied != nil {
		p.deniedAt = n.now()
		return p.denied
	}
	return nil
}

// lockGather makes one search at a time for a budget: the tokens that one
// search finds may serve those that wait behind it.
func (s *Spender) lockGather(budget string) *position {
	s.mu.Lock()
	p := s.position(budget)
	s.mu.Unlock()
	p.gather.Lock()
	return p
}

func (n *Node) search(ctx context.Context, budget string, tokens int64, into *Reservation) *ShortError {
	short := &ShortError{Budget: budget, Need: tokens, Exhausted: true, Step: "allocate"}
	for _, to := range n.fleet.Holders(ledger.ShardOf(budget, n.cfg.Shards)) {
		missing := n.spender.shortfallFor(budget, tokens, n.cfg.Ahead)
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

// Allocate answers a spender's request, refilling first if need be.
func (n *Node) Allocate(ctx context.Context, req *budgetpb.AllocateRequest) (*budgetpb.AllocateReply, error) {
	dry := false
	if n.holder.allocatable(req.Budget) < req.Need {
		dry = n.refill(ctx, req.Budget, req.Need, req.Spender)
	}
	reply := n.holder.allocate(req)
	reply.Exhausted = dry
	return reply, nil
}

// refill makes need tokens of a budget allocatable if it can: signed from what
// is drawn, drawn from the ledger, recalled from spenders. It reports whether
// all of them answered and none had more.
func (n *Node) refill(ctx context.Context, budget string, need int64, asker string) (dry bool) {
	b := n.holder.held(budget)
	b.refill.Lock()
	defer b.refill.Unlock()
	dry = true
	for round := 0; round < maxRefillRounds; round++ {
		if n.signFor(ctx, budget, need) != nil {
			dry = false
			n.replaceWitness(ctx, budget)
		}
		missing := need - n.holder.allocatable(budget) - n.holder.unsignedRest(budget)
		if n.holder.allocatable(budget) >= need {
			return false
		}
		if missing > 0 && n.drawFor(ctx, budget, missing) != nil {
			dry = false
		}
		if round == 0 {
			continue
		}
		if !n.recallFor(ctx, budget, asker) {
			dry = false
		}
	}
	return dry && n.holder.allocatable(budget) < need
}

func (n *Node) signFor(ctx context.Context, budget string, need int64) error {
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
	for _, g := range n.holder.signed(witness, states, reply.Signatures) {
		n.lose(ctx, g)
	}
	return nil
}

func (n *Node) drawFor(ctx context.Context, budget string, missing int64) error {
	witness := n.chooseWitness()
	return n.write(ctx, ledger.ShardOf(budget, n.cfg.Shards), func() []ledgerUpdate {
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
// answer a request that waits. It may be too early: that costs a write, and to
// wait until the silence is certain costs a caller its answer.
func (n *Node) replaceWitness(ctx context.Context, budget string) {
	if g, failed := n.holder.openOf(budget); g != nil {
		n.renameWitness(ctx, []*grant{g}, n.fleet.Witness(failed))
	}
}

// write brings a holder's updates for one shard to the ledger, with the prepaid
// amounts in force, in one conditional write. Writes to a shard come one at a
// time, updates included: a grant can grow and shrink, and results taken over in
// the wrong order would make it look larger than it is.
func (n *Node) write(ctx context.Context, shard int, makeUpdates func() []ledgerUpdate) error {
	n.shards[shard].Lock()
	defer n.shards[shard].Unlock()
	updates := makeUpdates()
	if len(updates) == 0 {
		return nil
	}
	return n.writeLocked(ctx, shard, updates)
}

func (n *Node) writeLocked(ctx context.Context, shard int, updates []ledgerUpdate) error {
	var results []ledgerResult
	err := n.ledger.Update(ctx, shard, func(s *ledger.Shard) {
		results = results[:0]
		for _, p := range n.prepaid(shard) {
			s.SetPrepaid(p.Service, p.Generation, p.Amounts)
		}
		for _, w := range updates {
			results = append(results, w.apply(s, n.cfg.Self, n.cfg.PoolShare))
		}
	})
	if err != nil {
		return err
	}
	lost := n.holder.adopt(results)
	n.observe(results)
	for _, r := range lost {
		if g := n.holder.surrender(r.update.id); g != nil {
			n.closeGrant(ctx, g)
			n.observer.GrantLost(g.budget, g.id)
		}
	}
	return nil
}

func (n *Node) observe(results []ledgerResult) {
	for _, r := range results {
		if r.drawn > r.update.target {
			n.observer.GrantDrawn(r.update.budget, r.update.id, r.drawn-r.update.target)
		}
		if r.free < 0 {
			n.observer.BudgetReduced(r.update.budget, r.free)
		}
		if r.update.rename && r.err == nil {
			n.observer.WitnessNamed(r.update.budget, r.update.id, r.update.witness)
		}
	}
}

// SyncPrepaid brings the prepaid amounts in force to one shard.
func (n *Node) SyncPrepaid(ctx context.Context, shard int) error {
	n.shards[shard].Lock()
	defer n.shards[shard].Unlock()
	return n.writeLocked(ctx, shard, nil)
}

// recallFor asks spenders to return what they do not need, and reports whether
// all answered.
func (n *Node) recallFor(ctx context.Context, budget, asker string) bool {
	all := true
	for _, spender := range n.holder.borrowers(budget, asker) {
		usages, err := n.recallFrom(ctx, spender, budget)
		if err != nil {
			all = false
			continue
		}
		n.holder.report(spender, usages)
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

// Recall answers a holder that needs tokens back.
func (n *Node) Recall(_ context.Context, req *budgetpb.RecallRequest) (*budgetpb.RecallReply, error) {
	return &budgetpb.RecallReply{Usages: n.spender.recall(req.Budget)}, nil
}

// Sign answers a holder whose witness this instance is.
func (n *Node) Sign(_ context.Context, req *budgetpb.SignRequest) (*budgetpb.SignReply, error) {
	return n.witness.sign(req), nil
}

// Report takes a spender's usages, of open grants as their holder, of closed
// ones as whoever gathers their evidence.
func (n *Node) Report(_ context.Context, req *budgetpb.ReportRequest) (*budgetpb.ReportReply, error) {
	lots, elsewhere := n.holder.report(req.Spender, req.Usages)
	rest := n.collector.report(elsewhere)
	return &budgetpb.ReportReply{Lots: lots, Settled: rest.settled, Unknown: rest.unknown}, nil
}

// lose gives up a grant that its witness has closed.
func (n *Node) lose(ctx context.Context, g *grant) {
	if n.holder.surrender(g.id) == nil {
		return
	}
	n.observer.GrantLost(g.budget, g.id)
	n.closeGrant(ctx, g)
}

// unallocatedKey is the spender under which a holder accounts for the part of
// a closed grant that it never allocated.
func (n *Node) unallocatedKey() string { return n.cfg.Self + "/unallocated" }

// closeGrant closes a surrendered grant in the ledger, or, if its witness was
// first, returns the part that was signed but never allocated: nobody else
// knows how much that is. Evidence that cannot be written now stays with the
// collector.
func (n *Node) closeGrant(ctx context.Context, g *grant) {
	evidence := g.evidence()
	n.collector.add(g.id, g.budget, evidence)
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
		row := b.Grants[g.id]
		if row.Closed {
			unallocated = ledger.Usage{Returned: max(row.Allocated-g.allocated, 0)}
			evidence[n.unallocatedKey()] = unallocated
			_ = s.MergeUsages(g.budget, g.id, evidence)
		} else {
			_ = s.Close(g.budget, g.id, g.allocated, evidence)
		}
		settled = b.Grants[g.id] == nil
	})
	if err != nil {
		n.retryClose(g)
		return
	}
	n.collector.written(closedGrant{id: g.id, evidence: evidence}, settled)
}

// retryClose keeps a surrendered grant to be closed at a later tick.
func (n *Node) retryClose(g *grant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unclosed = append(n.unclosed, g)
}
