package budget

import (
	"maps"
	"sync"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// signedGrant is what a witness knows of a grant it countersigns.
type signedGrant struct {
	id, budget, holder string
	signed             int64
	closed             bool
	evidence           map[string]ledger.Usage
}

// Witness countersigns other instances' grants. It never unsigns and, once it
// has closed a grant, never signs it again; the closing comes before the write
// that reclaims the rest, so a holder that wakes late gets no signature that
// the reclaim did not count.
type Witness struct {
	mu     sync.Mutex
	grants map[string]*signedGrant
}

// NewWitness returns a witness that has signed nothing.
func NewWitness() *Witness { return &Witness{grants: map[string]*signedGrant{}} }

// sign countersigns as asked and remembers the usages told.
func (w *Witness) sign(req *budgetpb.SignRequest) *budgetpb.SignReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := &budgetpb.SignReply{}
	for _, state := range req.Grants {
		g := w.grants[state.Grant]
		if g == nil {
			g = &signedGrant{
				id:       state.Grant,
				budget:   state.Budget,
				holder:   req.Holder,
				evidence: map[string]ledger.Usage{},
			}
			w.grants[state.Grant] = g
		}
		reply.Signatures = append(reply.Signatures, g.sign(state))
	}
	return reply
}

func (g *signedGrant) sign(state *budgetpb.GrantState) *budgetpb.Signature {
	if g.closed {
		return &budgetpb.Signature{Grant: g.id, Refused: true}
	}
	g.signed = max(g.signed, state.UpTo)
	for _, u := range state.Usages {
		mergeEvidence(g.evidence, u)
	}
	return &budgetpb.Signature{Grant: g.id, Signed: g.signed}
}

func mergeEvidence(into map[string]ledger.Usage, u *budgetpb.Usage) {
	told := ledger.Usage{Used: u.Used, Returned: u.Returned}
	into[u.Spender] = into[u.Spender].Merge(told)
}

// holders returns the incarnations with grants that are not closed here.
func (w *Witness) holders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := map[string]bool{}
	var out []string
	for _, id := range sortedKeys(w.grants) {
		g := w.grants[id]
		if !g.closed && !seen[g.holder] {
			seen[g.holder] = true
			out = append(out, g.holder)
		}
	}
	return out
}

// closeOne stops signing one grant, known or not, and returns how far it is
// signed and what its spenders told.
func (w *Witness) closeOne(grantID, budget, holder string) (int64, map[string]ledger.Usage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.grants[grantID]
	if g == nil {
		g = &signedGrant{id: grantID, budget: budget, holder: holder, evidence: map[string]ledger.Usage{}}
		w.grants[grantID] = g
	}
	g.closed = true
	return g.signed, maps.Clone(g.evidence)
}

// strip drops what is known of a closed grant, but not that it is closed: its
// holder may wake late and ask for a signature, and a witness that had
// forgotten would sign tokens that the reclaim has given back.
func (w *Witness) strip(grantID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g := w.grants[grantID]; g != nil && g.closed {
		g.evidence = nil
	}
}

// grantsOf returns the ids of the grants known of a holder.
func (w *Witness) grantsOf(holder string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id, g := range w.grants {
		if g.holder == holder {
			ids = append(ids, id)
		}
	}
	return ids
}

// closeAll marks grants as closed after the ledger has been looked through for
// them: those that were not found there are settled or have another witness.
func (w *Witness) closeAll(ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.grants[id].closed = true
		w.grants[id].evidence = nil
	}
}
