package budget

import (
	"fmt"
	"sync"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
)

// heldBudget is a holder's state for one budget: at most one open grant.
type heldBudget struct {
	openGrant *grant
	refillMu  sync.Mutex // allows one refill of the budget at a time
}

// Holder keeps the grants that this instance has drawn and allocates from them.
// It is safe for concurrent use.
type Holder struct {
	cfg Config

	mu              sync.Mutex
	budgets         map[string]*heldBudget
	grants          map[string]*grant
	lastGrantNumber uint64
}

// NewHolder returns a holder without grants.
func NewHolder(cfg Config) *Holder {
	return &Holder{cfg: cfg, budgets: map[string]*heldBudget{}, grants: map[string]*grant{}}
}

func (h *Holder) getOrCreateBudget(budget string) *heldBudget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[budget]
	if b == nil {
		b = &heldBudget{}
		h.budgets[budget] = b
	}
	return b
}

// allocate allocates signed tokens to a spender: as many as it needs, or all that
// are allocatable if these are fewer, and some of those it requests ahead of its
// demand. It allocates only once for each seq, so a request retried after a lost
// answer returns the same lots.
func (h *Holder) allocate(req *budgetpb.AllocateRequest) *budgetpb.AllocateReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.openGrant(req.Budget)
	if g == nil {
		return &budgetpb.AllocateReply{}
	}
	s := g.spenders[req.Spender]
	if s == nil {
		s = &spenderState{}
		g.spenders[req.Spender] = s
	}
	if req.Seq > s.seq {
		s.seq = req.Seq
		granted := g.allocationFor(req.Need, req.Ahead)
		s.allocated += granted
		g.allocated += granted
		g.demand += max(granted, req.Need)
	}
	return &budgetpb.AllocateReply{Lots: []*budgetpb.Lot{g.lotFor(s)}}
}

func (h *Holder) openGrant(budget string) *grant {
	if b := h.budgets[budget]; b != nil {
		return b.openGrant
	}
	return nil
}

// confirmedGrant returns a budget's open grant and its witness, or nil if there
// is none or it is not confirmed to be in the ledger.
func (h *Holder) confirmedGrant(budget string) (*grant, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.openGrant(budget); g != nil && !g.unconfirmed {
		return g, g.witness
	}
	return nil, ""
}

// allocatable returns the number of tokens of a budget that can be allocated
// without another signature.
func (h *Holder) allocatable(budget string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.openGrant(budget); g != nil {
		return g.allocatable()
	}
	return 0
}

// unsigned returns the number of drawn tokens of a budget that need a signature
// before they can be allocated.
func (h *Holder) unsigned(budget string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.openGrant(budget); g != nil && !g.unconfirmed {
		return g.unsigned()
	}
	return 0
}

// mergeReport merges a spender's usages. It returns the lots as the holder knows
// them and the usages of grants that are not open here.
func (h *Holder) mergeReport(spender string, usages []*budgetpb.Usage) ([]*budgetpb.Lot, []*budgetpb.Usage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lots []*budgetpb.Lot
	var notOpen []*budgetpb.Usage
	for _, u := range usages {
		g := h.grants[u.Grant]
		if g == nil {
			notOpen = append(notOpen, u)
			continue
		}
		g.mergeUsage(u)
		if s := g.spenders[spender]; s != nil {
			lots = append(lots, g.lotFor(s))
		}
	}
	return lots, notOpen
}

// spendersWithTokens returns the spenders other than except that hold tokens of a
// budget.
func (h *Holder) spendersWithTokens(budget, except string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.openGrant(budget)
	if g == nil {
		return nil
	}
	var out []string
	for _, spender := range sortedKeys(g.spenders) {
		s := g.spenders[spender]
		if spender != except && s.allocated > s.used+s.returned {
			out = append(out, spender)
		}
	}
	return out
}

// signRequest returns the witness of a budget's open grant, and the state of the
// grant that the witness has to sign so that need tokens can be allocated. The
// state is nil if there is nothing to sign.
func (h *Holder) signRequest(budget string, need int64) (string, *budgetpb.GrantState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.openGrant(budget)
	if g == nil || g.unconfirmed {
		return "", nil
	}
	return g.witness, h.signingState(g, need)
}

func (h *Holder) signingState(g *grant, need int64) *budgetpb.GrantState {
	target := max(need, int64(g.demandRate*h.cfg.SignAhead.Seconds()), h.cfg.MinSignedTokens)
	upTo := min(g.allocated+target, g.drawn+g.returned)
	if upTo <= g.signed && len(g.unsentUsages) == 0 {
		return nil
	}
	state := &budgetpb.GrantState{Grant: g.id, Budget: g.budget, UpTo: max(upTo, g.signed)}
	for _, spender := range sortedKeys(g.unsentUsages) {
		s := g.spenders[spender]
		state.Usages = append(state.Usages, &budgetpb.Usage{
			Spender:  spender,
			Grant:    g.id,
			Budget:   g.budget,
			Used:     s.used,
			Returned: s.returned,
		})
	}
	return state
}

// mergeSignatures merges a witness's answer and returns the grants that the
// witness refused to sign because it has closed them. A signature never lowers
// a grant's signed total.
func (h *Holder) mergeSignatures(witness string, sent []*budgetpb.GrantState, signatures []*budgetpb.Signature) []*grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	var refused []*grant
	for _, signature := range signatures {
		g := h.grants[signature.Grant]
		if g == nil || g.witness != witness || g.replacingWitness {
			continue // the witness is being replaced: its signature no longer counts
		}
		if signature.Refused {
			refused = append(refused, g)
			continue
		}
		g.signed = max(g.signed, min(signature.Signed, g.drawn+g.returned))
	}
	for _, state := range sent {
		h.clearSentUsages(state, witness)
	}
	return refused
}

func (h *Holder) clearSentUsages(state *budgetpb.GrantState, witness string) {
	g := h.grants[state.Grant]
	if g == nil || g.witness != witness {
		return
	}
	for _, u := range state.Usages {
		s := g.spenders[u.Spender]
		if s != nil && s.used == u.Used && s.returned == u.Returned {
			delete(g.unsentUsages, u.Spender)
		}
	}
}

// selfSign signs a budget's grant if it has no witness, because no other instance
// is available to countersign. It signs no more than a witness would be asked to:
// signed tokens are not freed when a witness that is named later reclaims the
// grant.
func (h *Holder) selfSign(budget string, need int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.openGrant(budget)
	if g == nil || g.witness != "" || g.unconfirmed || g.replacingWitness {
		return
	}
	if state := h.signingState(g, need); state != nil {
		g.signed = max(g.signed, state.UpTo)
	}
	g.unsentUsages = map[string]bool{}
}

// newGrantID returns a unique id, made of the incarnation and a counter.
func (h *Holder) newGrantID() string {
	h.lastGrantNumber++
	return fmt.Sprintf("%s#%d", h.cfg.Self, h.lastGrantNumber)
}

// removeGrant removes an open grant and returns it; nil if it was removed before.
func (h *Holder) removeGrant(grantID string) *grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.grants[grantID]
	if g == nil {
		return nil
	}
	delete(h.grants, grantID)
	if b := h.budgets[g.budget]; b != nil && b.openGrant == g {
		b.openGrant = nil
	}
	return g
}

// openGrantByID returns an open grant, or nil.
func (h *Holder) openGrantByID(id string) *grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.grants[id]
}

// openGrantIDs returns the ids of all open grants.
func (h *Holder) openGrantIDs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return sortedKeys(h.grants)
}

// GrantView is a holder's grant as shown to operators. Numbers are in tokens.
type GrantView struct {
	Grant, Budget, Witness                   string
	Drawn, Signed, Allocated, Used, Returned int64
}

// View returns all open grants.
func (h *Holder) View() []GrantView {
	h.mu.Lock()
	defer h.mu.Unlock()
	views := make([]GrantView, 0, len(h.grants))
	for _, g := range h.grants {
		views = append(views, GrantView{
			Grant: g.id, Budget: g.budget, Witness: g.witness,
			Drawn: g.drawn, Signed: g.signed, Allocated: g.allocated, Used: g.used, Returned: g.returned,
		})
	}
	return views
}
