package budget

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// account is what a holder knows of one spender's lot. All counters only grow.
type account struct {
	seq       uint64
	allocated int64
	used      int64
	returned  int64
}

// grant is a block of tokens this instance has drawn. Invariants:
// allocated ≤ signed, and signed ≤ drawn + returned; so what spenders hold is
// never more than what was drawn, and the witness knows a bound on it.
type grant struct {
	id, budget, witness string
	fresh               bool // not seen in the ledger yet
	drawn               int64
	signed              int64
	allocated           int64 // sum over spenders, cumulative
	used                int64
	returned            int64
	accounts            map[string]*account
	folded              int64 // used as last written to the ledger
	// offered is how much of drawn was set aside to be given back by a write
	// that has not been settled. It is not in drawn meanwhile.
	offered      int64
	wanted       int64 // what others lacked when the ledger was last read
	unsentUsages map[string]bool
	renaming     bool // another witness is being named; see beginRename
	demand       int64
	perSecond    float64
	idleTicks    int
}

// allocatable returns the signed tokens that have not been allocated.
func (g *grant) allocatable() int64 { return g.signed - g.allocated }

// unsigned returns the drawn tokens that have not been signed.
func (g *grant) unsigned() int64 { return g.drawn + g.returned - g.signed }

// rest returns every token still to be allocated.
func (g *grant) rest() int64 { return g.allocatable() + g.unsigned() }

func (g *grant) evidence() map[string]ledger.Evidence {
	out := make(map[string]ledger.Evidence, len(g.accounts))
	for spender, a := range g.accounts {
		out[spender] = ledger.Evidence{Used: a.used, Returned: a.returned}
	}
	return out
}

// take merges a spender's report. Counters only grow.
func (g *grant) take(u *budgetpb.Usage) {
	a := g.accounts[u.Spender]
	if a == nil {
		return // nothing was allocated to it from this grant
	}
	if u.Used <= a.used && u.Returned <= a.returned {
		return
	}
	g.used += max(u.Used-a.used, 0)
	g.returned += max(u.Returned-a.returned, 0)
	a.used = max(a.used, u.Used)
	a.returned = max(a.returned, u.Returned)
	g.unsentUsages[u.Spender] = true
}

// budgetHeld is what a holder has of one budget: at most one open grant.
type budgetHeld struct {
	open   *grant
	refill sync.Mutex // one refill at a time for a budget
}

// Holder draws grants and allocates from them. It is safe for concurrent use.
type Holder struct {
	cfg Config

	mu      sync.Mutex
	budgets map[string]*budgetHeld
	byGrant map[string]*grant
	counter uint64
}

// NewHolder returns a holder without grants.
func NewHolder(cfg Config) *Holder {
	return &Holder{cfg: cfg, budgets: map[string]*budgetHeld{}, byGrant: map[string]*grant{}}
}

func (h *Holder) held(budget string) *budgetHeld {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[budget]
	if b == nil {
		b = &budgetHeld{}
		h.budgets[budget] = b
	}
	return b
}

// allocate gives a spender tokens that are signed already. It never gives less
// than was asked for as need if it can, and nothing twice for one seq: after a
// lost answer the same wish finds its lots unchanged.
func (h *Holder) allocate(req *budgetpb.AllocateRequest) *budgetpb.AllocateReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.openGrant(req.Budget)
	if g == nil {
		return &budgetpb.AllocateReply{}
	}
	a := g.accounts[req.Spender]
	if a == nil {
		a = &account{}
		g.accounts[req.Spender] = a
	}
	if req.Seq > a.seq {
		a.seq = req.Seq
		give := g.share(req.Need, req.Ahead)
		a.allocated += give
		g.allocated += give
		g.demand += max(give, req.Need)
	}
	return &budgetpb.AllocateReply{Lots: []*budgetpb.Lot{g.lot(a)}}
}

// share decides how much of a wish is given. Beyond the need at most a
// quarter of what is left goes out, so that the last tokens stay in one place
// instead of being scattered over spenders that do not need them.
func (g *grant) share(need, ahead int64) int64 {
	const scatterBound = 4
	avail := g.allocatable()
	extra := min(ahead, (g.rest()-need)/scatterBound)
	return max(min(need+max(extra, 0), avail), 0)
}

func (g *grant) lot(a *account) *budgetpb.Lot {
	return &budgetpb.Lot{
		Grant:     g.id,
		Holder:    g.holder(),
		Witness:   g.witness,
		Allocated: a.allocated,
	}
}

func (h *Holder) openGrant(budget string) *grant {
	if b := h.budgets[budget]; b != nil {
		return b.open
	}
	return nil
}

// allocatable returns the tokens of a budget that can be allocated at once.
func (h *Holder) allocatable(budget string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.openGrant(budget); g != nil {
		return g.allocatable()
	}
	return 0
}

// unsignedRest returns the drawn tokens of a budget that need a signature.
func (h *Holder) unsignedRest(budget string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.openGrant(budget); g != nil && !g.fresh {
		return g.unsigned()
	}
	return 0
}

// report merges a spender's usages. It returns the lots as the holder knows
// them and the usages of grants that are not open here.
func (h *Holder) report(spender string, usages []*budgetpb.Usage) ([]*budgetpb.Lot, []*budgetpb.Usage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lots []*budgetpb.Lot
	var elsewhere []*budgetpb.Usage
	for _, u := range usages {
		g := h.byGrant[u.Grant]
		if g == nil {
			elsewhere = append(elsewhere, u)
			continue
		}
		g.take(u)
		if a := g.accounts[spender]; a != nil {
			lots = append(lots, g.lot(a))
		}
	}
	return lots, elsewhere
}

// borrowers returns the spenders other than self that hold tokens of a budget.
func (h *Holder) borrowers(budget, except string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.openGrant(budget)
	if g == nil {
		return nil
	}
	var out []string
	for _, spender := range sortedKeys(g.accounts) {
		a := g.accounts[spender]
		if spender != except && a.allocated > a.used+a.returned {
			out = append(out, spender)
		}
	}
	return out
}

// signWish returns what a witness is asked to sign for a budget so that need
// more tokens can be allocated; nil if there is nothing to sign.
func (h *Holder) signWish(budget string, need int64) (string, *budgetpb.GrantState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.openGrant(budget)
	if g == nil || g.fresh {
		return "", nil
	}
	return g.witness, h.signState(g, need)
}

func (h *Holder) signState(g *grant, need int64) *budgetpb.GrantState {
	want := max(need, int64(g.perSecond*h.cfg.SignedAhead.Seconds()), h.cfg.MinimumSigned)
	upTo := min(g.allocated+want, g.drawn+g.returned)
	if upTo <= g.signed && len(g.unsentUsages) == 0 {
		return nil
	}
	state := &budgetpb.GrantState{Grant: g.id, Budget: g.budget, UpTo: max(upTo, g.signed)}
	for _, spender := range sortedKeys(g.unsentUsages) {
		a := g.accounts[spender]
		state.Usages = append(state.Usages, &budgetpb.Usage{
			Spender:  spender,
			Grant:    g.id,
			Budget:   g.budget,
			Used:     a.used,
			Returned: a.returned,
		})
	}
	return state
}

// signed merges a witness's answer and returns the grants it refused, which
// are closed. Signatures only grow.
func (h *Holder) signed(witness string, sent []*budgetpb.GrantState, got []*budgetpb.Signature) []*grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	var refused []*grant
	for _, signature := range got {
		g := h.byGrant[signature.Grant]
		if g == nil || g.witness != witness || g.renaming {
			continue // the witness is being replaced; its signature is void
		}
		if signature.Refused {
			refused = append(refused, g)
			continue
		}
		g.signed = max(g.signed, min(signature.Signed, g.drawn+g.returned))
	}
	for _, state := range sent {
		h.clearSent(state, witness)
	}
	return refused
}

func (h *Holder) clearSent(state *budgetpb.GrantState, witness string) {
	g := h.byGrant[state.Grant]
	if g == nil || g.witness != witness {
		return
	}
	for _, u := range state.Usages {
		a := g.accounts[u.Spender]
		if a != nil && a.used == u.Used && a.returned == u.Returned {
			delete(g.unsentUsages, u.Spender)
		}
	}
}

// selfSign signs for grants that have no witness, since nobody else is there to
// countersign. It signs no more than a witness is asked to: what is signed can
// not be given back to the ledger.
func (h *Holder) selfSign(budget string, need int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.openGrant(budget)
	if g == nil || g.witness != "" || g.fresh || g.renaming {
		return
	}
	if state := h.signState(g, need); state != nil {
		g.signed = max(g.signed, state.UpTo)
	}
	g.unsentUsages = map[string]bool{}
}

// newGrantID returns an id that was never used: ids carry the incarnation.
func (h *Holder) newGrantID() string {
	h.counter++
	return fmt.Sprintf("%s#%d", h.cfg.Self, h.counter)
}

func (g *grant) holder() string {
	for i := len(g.id) - 1; i >= 0; i-- {
		if g.id[i] == '#' {
			return g.id[:i]
		}
	}
	return g.id
}

// renameWish makes the line that names another witness. From here on no
// signature counts until the ledger names the new one: it will answer for what
// is signed now, and a late signature of the old one would let more be
// allocated than the new one reclaims down to.
func (h *Holder) renameWish(g *grant, witness string) drawWish {
	h.mu.Lock()
	defer h.mu.Unlock()
	g.renaming = true
	w := h.wishOf(g, 0)
	w.want = 0
	w.rename = true
	w.witness = witness
	w.signed = g.signed
	return w
}

// drawWish is one line of a holder's write to a ledger shard.
type drawWish struct {
	grant   *grant
	id      string
	budget  string
	witness string
	target  int64 // drawn, absolute
	need    int64 // tokens that must be had, of the difference
	want    int64 // tokens wished beyond that
	used    int64
	signed  int64
	floor   int64 // the least that drawn may be lowered to
	ahead   int64 // tokens that should be free or held, or others are asked
	settle  bool  // an offer is made or not settled yet
	fresh   bool
	rename  bool
}

// drawWish makes the line that gets need more tokens for a budget.
func (h *Holder) drawWish(budget, witness string, need int64) drawWish {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[budget]
	if b.open == nil {
		b.open = &grant{
			id:           h.newGrantID(),
			budget:       budget,
			witness:      witness,
			fresh:        true,
			accounts:     map[string]*account{},
			unsentUsages: map[string]bool{},
		}
		h.byGrant[b.open.id] = b.open
	}
	w := h.wishOf(b.open, need)
	// Whoever has to draw at all draws as much as one draw may: what is drawn
	// lasts through an outage of the store, and is within reach of the others
	// by allocation. The countersigned part, not this, is what a crash strands.
	w.want = math.MaxInt64 / 2
	return w
}

// keepAhead is how much of its demand a holder wants within reach; when it has
// less and the ledger has none it asks the others.
const keepAhead = 15 * time.Second

// keepWhenWanted is how much of its demand a holder keeps when others
// lack tokens. Near exhaustion tokens are better in the ledger, where every
// side of a partition finds them.
const keepWhenWanted = 3 * time.Second

func (h *Holder) wishOf(g *grant, need int64) drawWish {
	horizon := int64(g.perSecond * h.cfg.Horizon.Seconds())
	return drawWish{
		grant:   g,
		id:      g.id,
		budget:  g.budget,
		witness: g.witness,
		target:  g.drawn,
		need:    need,
		want:    max(horizon-g.rest(), 0),
		used:    g.used,
		ahead:   max(int64(g.perSecond*keepAhead.Seconds())-g.rest(), 0),
		settle:  g.offered > 0,
		floor:   math.MaxInt64,
		fresh:   g.fresh,
	}
}

// lacking reports whether others lack more of a budget than is at hand here.
func (h *Holder) lacking(g *grant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return g.wanted > g.rest()
}

// offerWish makes the line that gives back what others want and this holder can
// spare: what is not allocated, beyond a few seconds of its own demand. What is offered counts as gone until the write is settled, since a signature on it
// meanwhile would let it be spent here and drawn elsewhere.
func (h *Holder) offerWish(g *grant) (drawWish, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	spare := min(g.rest()-int64(g.perSecond*keepWhenWanted.Seconds()), g.wanted)
	if spare <= 0 || g.fresh || h.byGrant[g.id] != g {
		return drawWish{}, false
	}
	g.offered += spare
	g.drawn -= spare
	// The witness may have signed more than is kept. That is no harm: a closed
	// grant withholds no more than was drawn.
	g.signed = min(g.signed, g.drawn+g.returned)
	w := h.wishOf(g, 0)
	w.want, w.ahead = 0, 0
	w.settle = true
	w.floor = g.drawn
	return w, true
}

// drawResult is what a write to a ledger shard found for one line.
type drawResult struct {
	wish  drawWish
	drawn int64
	free  int64
	// wanted is what others lack.
	wanted int64
	err    error
	row    *ledger.Grant
}

// apply makes one line's changes to a shard. How much is drawn is decided on
// the committed state: the need if it is free, and beyond it at most a part of
// what is free, so that others find something too.
func (w drawWish) apply(shard *ledger.Shard, self string, poolShare int64) drawResult {
	result := drawResult{wish: w}
	b := shard.Budgets[w.budget]
	if b == nil {
		result.err = ledger.ErrUnknownBudget
		return result
	}
	result.err = w.change(shard, b, self, poolShare)
	result.free = b.Free()
	result.wanted = b.Wanted
	if g := b.Grants[w.id]; g != nil {
		result.drawn = g.Drawn
		copied := *g
		result.row = &copied
	}
	return result
}

func (w drawWish) change(shard *ledger.Shard, b *ledger.Budget, self string, poolShare int64) error {
	if !w.fresh {
		if err := shard.Fold(w.budget, w.id, w.used); err != nil {
			return err
		}
	}
	if w.rename {
		if err := shard.NameWitness(w.budget, w.id, w.witness, w.signed); err != nil {
			return err
		}
	}
	if w.settle {
		if err := shard.GiveBack(w.budget, w.id, w.floor); err != nil {
			return err
		}
	}
	if b.Free() >= b.Wanted {
		b.Wanted = 0
	}
	if missing := max(w.need, w.ahead) - b.Free(); missing > 0 {
		shard.Want(w.budget, missing)
	}
	extra := min(w.want, max(b.Free()-w.need, 0)/poolShare)
	if w.need+extra <= 0 {
		return nil
	}
	_, err := shard.Draw(w.budget, w.id, self, w.witness, w.target+w.need+extra, w.fresh)
	return err
}

// adopt takes over what a write found. It returns the grants found closed.
func (h *Holder) adopt(results []drawResult) []drawResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lost []drawResult
	for _, r := range results {
		g := h.byGrant[r.wish.id]
		if g == nil {
			continue
		}
		closed := errors.Is(r.err, ledger.ErrGrantClosed)
		if closed || (r.err != nil && !g.fresh) {
			lost = append(lost, r)
			continue
		}
		if r.row == nil {
			continue
		}
		g.fresh = false
		g.adoptDrawn(r)
		g.wanted = r.wanted
		g.folded = max(g.folded, r.wish.used)
		if r.wish.rename {
			h.rewitness(g, r.wish.witness)
		}
	}
	return lost
}

// adoptDrawn takes over what the ledger says is drawn. Writes to a shard come
// one at a time, so the row is the truth; but while an offer is not settled an
// older write may still take effect, and only a write that settles it may raise
// drawn again.
func (g *grant) adoptDrawn(r drawResult) {
	if g.offered > 0 && !r.wish.settle {
		return
	}
	g.drawn = r.drawn
	g.offered = 0
}

// rewitness makes another instance the grant's witness. The new one must learn
// every usage, since it is the one to give evidence.
func (h *Holder) rewitness(g *grant, witness string) {
	g.witness = witness
	g.renaming = false
	for spender := range g.accounts {
		g.unsentUsages[spender] = true
	}
}

// surrender removes a grant from use and returns it; nil if it is gone already.
func (h *Holder) surrender(grantID string) *grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.byGrant[grantID]
	if g == nil {
		return nil
	}
	delete(h.byGrant, grantID)
	if b := h.budgets[g.budget]; b != nil && b.open == g {
		b.open = nil
	}
	return g
}

// tickPlan is a holder's work of one tick.
type tickPlan struct {
	// sign holds, by witness, what to have signed.
	sign map[string][]*budgetpb.GrantState
	// draw holds, by shard, the grants to bring up to date in the ledger.
	draw map[int][]*grant
	// renew lists budgets whose witness has to be replaced.
	renew []*grant
}

// plan smooths demand over an interval and gathers the work of one tick.
// foldDue says that spending is to be written even if nothing is drawn.
func (h *Holder) plan(interval time.Duration, foldDue bool, witnessGone func(string) bool) tickPlan {
	h.mu.Lock()
	defer h.mu.Unlock()
	plan := tickPlan{sign: map[string][]*budgetpb.GrantState{}, draw: map[int][]*grant{}}
	for _, id := range sortedKeys(h.byGrant) {
		g := h.byGrant[id]
		g.smooth(interval)
		if g.fresh {
			continue
		}
		if g.renaming || witnessGone(g.witness) {
			plan.renew = append(plan.renew, g)
		} else if g.witness != "" {
			h.planSign(g, &plan)
		}
		h.planDraw(g, foldDue, &plan)
	}
	return plan
}

func (g *grant) smooth(interval time.Duration) {
	perSecond := float64(g.demand) / interval.Seconds()
	g.perSecond += tickSmoothing * (perSecond - g.perSecond)
	g.idleTicks++
	if g.demand > 0 {
		g.idleTicks = 0
	}
	g.demand = 0
}

func (h *Holder) planSign(g *grant, plan *tickPlan) {
	low := int64(g.perSecond * h.cfg.SignedAhead.Seconds() / 2)
	if g.allocatable() > max(low, h.cfg.MinimumSigned/2) && len(g.unsentUsages) == 0 {
		return
	}
	if state := h.signState(g, 0); state != nil {
		plan.sign[g.witness] = append(plan.sign[g.witness], state)
	}
}

func (h *Holder) planDraw(g *grant, foldDue bool, plan *tickPlan) {
	if foldDue && (g.rest() > 0 || g.used > g.folded || g.offered > 0) {
		shard := ledger.ShardOf(g.budget, h.cfg.Shards)
		plan.draw[shard] = append(plan.draw[shard], g)
	}
}

// tickWish makes the line of one tick: spending is recorded, and more is drawn
// when less than half the horizon is left.
func (h *Holder) tickWish(g *grant) drawWish {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.wishOf(g, 0)
	if g.rest() > int64(g.perSecond*h.cfg.Horizon.Seconds())/2 {
		w.want = 0
	}
	return w
}

// find returns an open grant, or nil.
func (h *Holder) find(id string) *grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byGrant[id]
}

// open returns the ids of all open grants.
func (h *Holder) open() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return sortedKeys(h.byGrant)
}

// GrantView is a holder's grant as shown to operators. Numbers are tokens.
type GrantView struct {
	Grant, Budget, Witness                   string
	Drawn, Signed, Allocated, Used, Returned int64
}

// View returns all open grants.
func (h *Holder) View() []GrantView {
	h.mu.Lock()
	defer h.mu.Unlock()
	views := make([]GrantView, 0, len(h.byGrant))
	for _, g := range h.byGrant {
		views = append(views, GrantView{
			Grant: g.id, Budget: g.budget, Witness: g.witness,
			Drawn: g.drawn, Signed: g.signed, Allocated: g.allocated, Used: g.used, Returned: g.returned,
		})
	}
	return views
}
