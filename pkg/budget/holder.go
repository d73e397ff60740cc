package budget

import (
	"fmt"
	"sync"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
)

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
// lost answer the same request finds its lots unchanged.
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

func (h *Holder) openGrant(budget string) *grant {
	if b := h.budgets[budget]; b != nil {
		return b.open
	}
	return nil
}

// openOf returns a budget's open grant, if the ledger has it, and its witness;
// nil otherwise.
func (h *Holder) openOf(budget string) (*grant, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.openGrant(budget); g != nil && !g.fresh {
		return g, g.witness
	}
	return nil, ""
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

// signRequest returns what a witness is asked to sign for a budget so that need
// more tokens can be allocated; nil if there is nothing to sign.
func (h *Holder) signRequest(budget string, need int64) (string, *budgetpb.GrantState) {
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
