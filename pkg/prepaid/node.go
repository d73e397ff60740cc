package prepaid

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// Bounds of the ways to obtain tokens.
const (
	// exhaustedLifetime is how long the last view of the ledger answers requests that need more than it
	// had. With many nearly exhausted accounts, asking for each request is most of an instance's
	// load on the store. Tokens that settled requests return must be found within about 1.5
	// seconds.
	exhaustedLifetime = time.Second
	// maxLoanPeers is how many peers are asked for a loan when the store does not answer.
	maxLoanPeers = 3
	// loanAhead is the period of its demand for which an instance borrows in addition to the present
	// need.
	loanAhead = 2 * time.Second
	// lowWaterMark is the fraction of the target below which more tokens are drawn.
	lowWaterMark = 0.8
	// aheadDivisor: one draw ahead of demand takes at most 1/aheadDivisor of a budget's free
	// tokens, so that other instances find some.
	aheadDivisor = 2
	// minRecallInterval is the minimum time between two recalls of one budget. After the first one
	// the other instances keep no surplus of it.
	minRecallInterval = 3 * time.Second
	// recallWait is how long a request waits for tokens that a recall returns.
	recallWait = 40 * time.Millisecond
	// recallSettleTime is how long a recall takes where instances return tokens to a drawer: two
	// report intervals. Until then a short budget is not reported as exhausted, which is final for
	// clients.
	recallSettleTime = 1200 * time.Millisecond
)

// Ledger changes one shard by one conditional write and makes up to tries attempts if writes of
// other instances conflict. change may be called several times; the state after its last call is
// what was written. Its error ends the update and is returned.
type Ledger interface {
	Update(ctx context.Context, shard, tries int, change func(*Shard) error) error
}

// Peers sends messages to other instances.
type Peers interface {
	// Lend asks an instance for tokens.
	Lend(ctx context.Context, to, budget string, need, ahead int64) (int64, error)
	// Refill sends a report to an instance that draws for others.
	Refill(ctx context.Context, to string, req *prepaidpb.RefillRequest) (*prepaidpb.RefillReply, error)
	// Recall asks an instance to return the tokens that it does not need.
	Recall(ctx context.Context, to, budget string) error
	// Witness asks an instance to remember a draw.
	Witness(ctx context.Context, to string, req *prepaidpb.WitnessRequest) (*prepaidpb.WitnessReply, error)
}

// Fleet reports which other instances seem to be alive. Safety does not depend on it.
type Fleet interface {
	// Others returns the other live instances in a random order.
	Others() []string
	// Joined reports whether the other instances are known. Until then this instance assumes that
	// it is one of many that write to the ledger.
	Joined() bool
	// NumKnown returns how many instances are known, including this one and silent ones.
	NumKnown() int
	// SharesBudgets reports whether the instance of that name still shares the budgets. An instance
	// that has been silent for a short time may only be partitioned and still does; one that has
	// been silent for long does not.
	SharesBudgets(name string) bool
	// Live returns the incarnation of the live instance of that name, or "" if there is none. known
	// says whether an instance of that name is known, alive or not.
	Live(name string) (incarnation string, known bool)
	// Discover adds the instance at an address to the known ones if there is one. It does not
	// block.
	Discover(address string)
	// Drawers returns the instances that may draw a shard's budgets for the region, the preferred
	// one first. It includes this instance if it is a candidate, and is empty if each instance
	// draws for itself.
	Drawers(shard int) []string
	// OtherDrawers returns the preferred drawer of each other region.
	OtherDrawers(shard int) []string
	// Witnesses returns live instances that are to remember this instance's draws, the preferred
	// one first: those of other failure domains, and mostly the same ones each time.
	Witnesses(shard int) []string
}

// Observer receives the node's decisions for the event log.
type Observer interface {
	// Moved reports what a write moved of a budget and the state after it.
	Moved(Movement)
	// Borrowed reports tokens that a peer lent or a drawer granted.
	Borrowed(budget, lender string, tokens int64)
	// DrawerAvoided reports that a drawer is avoided for some time, and why.
	DrawerAvoided(drawer string, backoff time.Duration, cause error)
	// Recovered reports what a write restored after a store rollback.
	Recovered(Recovered)
	// Stranded reports tokens that an earlier process of an instance held when it ended.
	Stranded(Stranded)
}

// Movement is what one write moved of one budget, in tokens, and the state of the instance after
// it.
type Movement struct {
	Budget string
	// Drawn was taken from the ledger, Returned went back to it, Left is what it still has.
	Drawn, Returned, Left int64
	// Free is held and unreserved, Reserved is set aside for requests, Target is how many free
	// tokens the instance wants to hold, HeldElsewhere is what others had free when they last
	// wrote.
	Free, Reserved, Target, HeldElsewhere int64
	// PerSecond is this instance's demand, ElsewherePerSecond that of the others.
	PerSecond, ElsewherePerSecond int64
}

// Config identifies the instance and sizes the node.
type Config struct {
	// Self is this instance's incarnation, Name its name, which stays the same across restarts.
	Self, Name string
	// Address is where other instances reach this one.
	Address string
	// Shards is the number of ledger objects.
	Shards int
	// Ahead is the period of its demand for which an instance holds tokens, to last through a store
	// outage.
	Ahead time.Duration
}

// Deps are a node's dependencies.
type Deps struct {
	Ledger   Ledger
	Peers    Peers
	Fleet    Fleet
	Observer Observer
	// Amounts returns the prepaid amounts in force for a shard.
	Amounts func(shard int) Amounts
	// VerifyEra asks the store for its era after another instance has reported a later one. If it
	// is later, NoteEra is called before VerifyEra returns.
	VerifyEra func() (era uint64, err error)
	// Now returns the time for pacing; safety does not depend on it.
	Now func() time.Time
}

// Node holds one instance's tokens. It is safe for concurrent use.
type Node struct {
	Config
	Deps

	mu        sync.Mutex
	shards    []shardState
	ahead     time.Duration // period of demand for which tokens are held; grows after an outage
	balances  map[string]*balance
	lastTick  time.Time
	startedAt time.Time
	recalls   map[string]recallTimes
	stopping  bool
	// era is the latest era that the store has reported to this instance.
	era uint64
	// peerEra is the latest era that another instance has reported.
	peerEra uint64
	// Write results of an era below minEra are rejected. confirmedEra is the latest era for which a
	// drawer has confirmed this instance's report, maxReportedEra the latest for which a drawer may
	// have received one.
	minEra, confirmedEra, maxReportedEra uint64
	// firstSeenEra is the era of the store's first answer to this process.
	firstSeenEra uint64
	// verifying says that VerifyEra is running.
	verifying bool
	// drawers are the drawers that this instance has asked, by incarnation.
	drawers map[string]*drawerState
	// witnessed is what other instances have drawn, as reported by them.
	witnessed witnessedDraws
}

// NewNode returns a node without tokens.
func NewNode(cfg Config, deps Deps) *Node {
	n := &Node{
		Config:    cfg,
		Deps:      deps,
		shards:    make([]shardState, cfg.Shards),
		ahead:     cfg.Ahead,
		balances:  map[string]*balance{},
		lastTick:  deps.Now(),
		startedAt: deps.Now(),
		recalls:   map[string]recallTimes{},
		drawers:   map[string]*drawerState{},

		witnessed: witnessedDraws{},
	}
	for shard := range n.shards {
		n.shards[shard].requesters = map[string]*requester{}
	}
	return n
}

// ShardOf returns the shard that holds a budget.
func (n *Node) ShardOf(budget string) int {
	return int(xxhash.Sum64String(budget) % uint64(n.Shards))
}

// Reservation is the tokens that are set aside for one request.
type Reservation struct {
	budget string
	tokens int64
	done   bool
}

// ShortError means that the tokens for a request could not be obtained.
type ShortError struct {
	Budget string
	Need   int64
	// Exhausted says that the ledger answered and has too few tokens. Otherwise it could not be
	// reached, and no peer that was reached had enough.
	Exhausted bool
	// Step is "ledger", "drawer" or "peers"; Err is the cause.
	Step string
	Err  error
}

// Error implements error.
func (e *ShortError) Error() string {
	return fmt.Sprintf("budget %s: %d tokens unavailable (step %s, exhausted %t): %v",
		e.Budget, e.Need, e.Step, e.Exhausted, e.Err)
}

// Unwrap returns the cause.
func (e *ShortError) Unwrap() error { return e.Err }

// ErrKeptForUrgent means that the rest of a budget is kept for urgent requests.
var ErrKeptForUrgent = errors.New("the rest of the budget is kept for urgent requests")

// urgentDivisor: 1/urgentDivisor of the prepaid amount is kept for urgent requests. These are the
// small ones, a fifth of the demand in tokens; the kept tokens cover them for some seconds. Without
// this, large requests use up a budget completely and then no request is served: where all accounts
// ran out together, 58 of 241 requests were served after a loss of all instances. With a hundredth
// that still happened on one day of 20 (four seeds of five days); a fiftieth has no measurable cost
// (mean worth 0.468 and 0.470).
const urgentDivisor = 50

// keptForUrgent reports whether a request would use tokens that are kept for urgent ones. An
// instance that has not seen the ledger lately spends what it holds.
func (n *Node) keptForUrgent(budget string, tokens int64) bool {
	amounts := n.Amounts(n.ShardOf(budget))
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.balance(budget)
	b.noteTopUp(amounts.Tokens[budget])
	if n.Now().Sub(b.ledgerSeenAt) > keepTargetLifetime {
		return false
	}
	rest := b.ledgerFree + b.free - tokens
	return rest >= 0 && rest < b.prepaid/urgentDivisor // a request that exceeds the rest is refused as exhausted instead
}

func (n *Node) balance(budget string) *balance {
	b := n.balances[budget]
	if b == nil {
		b = &balance{}
		n.balances[budget] = b
	}
	return b
}

// tryTakeUnclaimed takes tokens out of the free ones that no request waits for. Tokens that a write or
// a drawer's answer brings for waiting requests are left to these.
func (n *Node) tryTakeUnclaimed(budget string, tokens int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.balance(budget)
	return tokens <= b.unclaimed() && b.take(tokens)
}

// tryTake takes tokens out of the free ones.
func (n *Node) tryTake(budget string, tokens int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.balance(budget).take(tokens)
}

// Reserve sets tokens aside for one request: from the free ones, from a drawer or the ledger or,
// while the store does not answer, from peers. The last tokens of a budget are kept for urgent
// requests. Errors: *ShortError.
func (n *Node) Reserve(ctx context.Context, budget string, tokens int64, urgent bool) (*Reservation, error) {
	if !urgent && n.keptForUrgent(budget, tokens) {
		return nil, &ShortError{Budget: budget, Need: tokens, Step: "ledger", Err: ErrKeptForUrgent}
	}
	if err := n.acquire(ctx, budget, tokens); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.balance(budget).reserve(tokens)
	return &Reservation{budget: budget, tokens: tokens}, nil
}

// acquire takes tokens out of the free ones, and obtains more first if there are too few. Errors:
// *ShortError.
func (n *Node) acquire(ctx context.Context, budget string, tokens int64) error {
	if n.tryTakeUnclaimed(budget, tokens) {
		return nil
	}
	if n.knownExhausted(budget, tokens) {
		return &ShortError{Budget: budget, Need: tokens, Exhausted: true, Step: "ledger", Err: ErrTooFew}
	}
	outcome := n.acquireFromDrawers(ctx, budget, tokens)
	if outcome.found {
		return nil
	}
	if outcome.answered {
		return &ShortError{Budget: budget, Need: tokens, Exhausted: outcome.exhausted, Step: "drawer", Err: ErrTooFew}
	}
	return n.acquireWithoutDrawer(ctx, budget, tokens)
}

// acquireWithoutDrawer takes tokens from the ledger or else from peers.
func (n *Node) acquireWithoutDrawer(ctx context.Context, budget string, tokens int64) error {
	err := ErrUnavailable
	if n.mayWriteForRequest(n.ShardOf(budget)) {
		var found bool
		if found, err = n.withdraw(ctx, budget, tokens); found {
			return nil
		}
	}
	if err == nil {
		return n.acquireAfterRecall(ctx, budget, tokens)
	}
	lendErr := n.borrow(ctx, budget, tokens)
	if n.tryTake(budget, tokens) {
		return nil
	}
	if lendErr != nil {
		err = fmt.Errorf("%w; peers: %w", err, lendErr)
	}
	return &ShortError{Budget: budget, Need: tokens, Step: "peers", Err: err}
}

// acquireAfterRecall has the other instances return the tokens of a budget that they do not need
// and draws from the ledger once more.
func (n *Node) acquireAfterRecall(ctx context.Context, budget string, tokens int64) error {
	if !n.recall(budget) {
		return n.newShortError(budget, tokens)
	}
	select {
	case <-time.After(recallWait):
	case <-ctx.Done():
	}
	found, err := n.withdraw(ctx, budget, tokens)
	switch {
	case found:
		return nil
	case err != nil:
		return &ShortError{Budget: budget, Need: tokens, Step: "ledger", Err: err}
	}
	return n.newShortError(budget, tokens)
}

// newShortError returns the error for a ledger that answered but had too few tokens. Exhausted is
// final for the client, so it is set only if the ledger has too few and the other instances have
// returned what they hold. Otherwise other requests may only have taken the tokens drawn for this
// one.
func (n *Node) newShortError(budget string, need int64) *ShortError {
	n.mu.Lock()
	defer n.mu.Unlock()
	exhausted := n.balance(budget).exceedsLedger(need) && n.recallComplete(budget, n.Now())
	return &ShortError{Budget: budget, Need: need, Exhausted: exhausted, Step: "ledger", Err: ErrTooFew}
}

// knownExhausted reports whether the ledger recently had too few tokens for a request and the
// others have been asked to return theirs. Another write would show the same. Any write of the same
// shard updates this view.
func (n *Node) knownExhausted(budget string, tokens int64) bool {
	amounts := n.Amounts(n.ShardOf(budget))
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.balance(budget)
	b.noteTopUp(amounts.Tokens[budget])
	now := n.Now()
	recalled := now.Sub(n.recalls[budget].last) < minRecallInterval
	seen := now.Sub(b.ledgerSeenAt) < exhaustedLifetime
	return recalled && n.recallComplete(budget, now) && seen && b.exceedsLedger(tokens)
}

// Settle ends a reservation with the tokens used; the rest becomes free again. Usage above the
// reservation is cut to it, because only the reserved tokens were drawn.
func (n *Node) Settle(r *Reservation, used int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.done {
		return
	}
	r.done = true
	n.balance(r.budget).settle(r.tokens, min(max(used, 0), r.tokens))
}

// Free returns the tokens of a budget that this instance holds and has not reserved.
func (n *Node) Free(budget string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.balance(budget).free
}
