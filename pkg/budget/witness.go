package budget

import (
	"maps"
	"sync"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// signedGrant is a witness's state for a grant that it countersigns.
type signedGrant struct {
	id, budget, holder string
	signed             int64
	closed             bool
	usages             map[string]ledger.Usage
}

// Witness countersigns other instances' grants. It never lowers a signed total
// and, once it has closed a grant, never signs it again. It closes a grant before
// the write that reclaims the unsigned rest, so a holder that resumes late gets no
// signature that the reclaim did not take into account.
type Witness struct {
	mu     sync.Mutex
	grants map[string]*signedGrant
}

// NewWitness returns a witness that has signed nothing.
func NewWitness() *Witness { return &Witness{grants: map[string]*signedGrant{}} }

// sign countersigns the requested totals and records the reported usages.
func (w *Witness) sign(req *budgetpb.SignRequest) *budgetpb.SignReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := &budgetpb.SignReply{}
	for _, state := range req.Grants {
		g := w.grants[state.Grant]
		if g == nil {
			g = &signedGrant{
				id:     state.Grant,
				budget: state.Budget,
				holder: req.Holder,
				usages: map[string]ledger.Usage{},
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
		mergeUsage(g.usages, u)
	}
	return &budgetpb.Signature{Grant: g.id, Signed: g.signed}
}

func mergeUsage(into map[string]ledger.Usage, u *budgetpb.Usage) {
	reported := ledger.Usage{Used: u.Used, Returned: u.Returned}
	into[u.Spender] = into[u.Spender].Merge(reported)
}

// holders returns the incarnations whose grants this witness has not closed.
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

// closeGrant closes a grant, even one that this witness has never signed, so that
// it is not signed afterwards. It returns the signed total and the reported usages.
func (w *Witness) closeGrant(grantID, budget, holder string) (int64, map[string]ledger.Usage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.grants[grantID]
	if g == nil {
		g = &signedGrant{id: grantID, budget: budget, holder: holder, usages: map[string]ledger.Usage{}}
		w.grants[grantID] = g
	}
	g.closed = true
	return g.signed, maps.Clone(g.usages)
}

// dropUsages drops the usages of a closed grant but keeps the grant marked as
// closed: its holder may resume late and ask for a signature, and a witness
// without the mark would sign tokens that the reclaim has freed.
func (w *Witness) dropUsages(grantID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g := w.grants[grantID]; g != nil && g.closed {
		g.usages = nil
	}
}

// grantIDsOf returns the ids of the known grants of a holder.
func (w *Witness) grantIDsOf(holder string) []string {
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

// closeGrants marks grants as closed once all ledger shards have been searched for
// them. Grants that were not found there are settled or have another witness.
func (w *Witness) closeGrants(ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.grants[id].closed = true
		w.grants[id].usages = nil
	}
}
