package budget

import (
	"errors"
	"math"
	"time"

	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// ledgerUpdate is one line of a holder's write to a ledger shard.
type ledgerUpdate struct {
	id      string
	budget  string
	witness string
	target  int64 // drawn, absolute
	need    int64 // tokens that must be had, of the difference
	want    int64 // tokens wanted beyond that
	used    int64
	signed  int64
	floor   int64 // the least that drawn may be lowered to
	ahead   int64 // tokens that should be free or held, or others are asked
	settle  bool  // an offer is made or not settled yet
	fresh   bool
	rename  bool
}

// ledgerResult is what a write to a ledger shard found for one line.
type ledgerResult struct {
	update ledgerUpdate
	drawn  int64
	free   int64
	// wanted is what others lack.
	wanted int64
	err    error
	row    *ledger.Grant
}

// keepAhead is how much of its demand a holder wants within reach; when it has
// less and the ledger has none it asks the others.
const keepAhead = 15 * time.Second

// keepWhenWanted is how much of its demand a holder keeps when others
// lack tokens. Near exhaustion tokens are better in the ledger, where every
// side of a partition finds them.
const keepWhenWanted = 3 * time.Second

func (h *Holder) updateOf(g *grant, need int64) ledgerUpdate {
	horizon := int64(g.perSecond * h.cfg.Horizon.Seconds())
	return ledgerUpdate{
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

// drawUpdate makes the line that gets need more tokens for a budget.
func (h *Holder) drawUpdate(budget, witness string, need int64) ledgerUpdate {
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
	w := h.updateOf(b.open, need)
	// Whoever has to draw at all draws as much as one draw may: what is drawn
	// lasts through an outage of the store, and is within reach of the others
	// by allocation. The countersigned part, not this, is what a crash strands.
	w.want = math.MaxInt64 / 2
	return w
}

// tickUpdate makes the line of one tick: spending is recorded, and more is drawn
// when less than half the horizon is left.
func (h *Holder) tickUpdate(g *grant) ledgerUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.updateOf(g, 0)
	if g.rest() > int64(g.perSecond*h.cfg.Horizon.Seconds())/2 {
		w.want = 0
	}
	return w
}

// renameUpdate makes the line that names another witness. From here on no
// signature counts until the ledger names the new one: it will answer for what
// is signed now, and a late signature of the old one would let more be
// allocated than the new one reclaims down to.
func (h *Holder) renameUpdate(g *grant, witness string) ledgerUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	g.renaming = true
	w := h.updateOf(g, 0)
	w.want = 0
	w.rename = true
	w.witness = witness
	w.signed = g.signed
	return w
}

// lacking reports whether others lack more of a budget than is at hand here.
func (h *Holder) lacking(g *grant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return g.wanted > g.rest()
}

// offerUpdate makes the line that gives back what others want and this holder can
// spare: what is not allocated, beyond a few seconds of its own demand. What is
// offered counts as gone until the write is settled, since a signature on it
// meanwhile would let it be spent here and drawn elsewhere.
func (h *Holder) offerUpdate(g *grant) (ledgerUpdate, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	spare := min(g.rest()-int64(g.perSecond*keepWhenWanted.Seconds()), g.wanted)
	if spare <= 0 || g.fresh || h.byGrant[g.id] != g {
		return ledgerUpdate{}, false
	}
	g.offered += spare
	g.drawn -= spare
	// The witness may have signed more than is kept. That is no harm: a closed
	// grant withholds no more than was drawn.
	g.signed = min(g.signed, g.drawn+g.returned)
	w := h.updateOf(g, 0)
	w.want, w.ahead = 0, 0
	w.settle = true
	w.floor = g.drawn
	return w, true
}

// apply makes one line's changes to a shard. How much is drawn is decided on
// the committed state: the need if it is free, and beyond it at most a part of
// what is free, so that others find something too.
func (w ledgerUpdate) apply(shard *ledger.Shard, self string, poolShare int64) ledgerResult {
	result := ledgerResult{update: w}
	b := shard.Budgets[w.budget]
	if b == nil {
		result.err = ledger.ErrUnknownBudget
		return result
	}
	result.err = w.change(shard, b, self, poolShare)
	result.free = b.Free()
	result.wanted = b.Shortage
	if g := b.Grants[w.id]; g != nil {
		result.drawn = g.Drawn
		copied := *g
		result.row = &copied
	}
	return result
}

func (w ledgerUpdate) change(shard *ledger.Shard, b *ledger.Budget, self string, poolShare int64) error {
	if !w.fresh {
		if err := shard.RecordUsed(w.budget, w.id, w.used); err != nil {
			return err
		}
	}
	if w.rename {
		if err := shard.NameWitness(w.budget, w.id, w.witness, w.signed); err != nil {
			return err
		}
	}
	if w.settle {
		if err := shard.ReturnTokens(w.budget, w.id, w.floor); err != nil {
			return err
		}
	}
	if b.Free() >= b.Shortage {
		b.Shortage = 0
	}
	if missing := max(w.need, w.ahead) - b.Free(); missing > 0 {
		shard.NoteShortage(w.budget, missing)
	}
	extra := min(w.want, max(b.Free()-w.need, 0)/poolShare)
	if w.need+extra <= 0 {
		return nil
	}
	_, err := shard.Draw(w.budget, w.id, self, w.witness, w.target+w.need+extra, w.fresh)
	return err
}

// adopt takes over what a write found. It returns the grants found closed.
func (h *Holder) adopt(results []ledgerResult) []ledgerResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lost []ledgerResult
	for _, r := range results {
		g := h.byGrant[r.update.id]
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
		g.folded = max(g.folded, r.update.used)
		if r.update.rename {
			h.rewitness(g, r.update.witness)
		}
	}
	return lost
}

// adoptDrawn takes over what the ledger says is drawn. Writes to a shard come
// one at a time, so the row is the truth; but while an offer is not settled an
// older write may still take effect, and only a write that settles it may raise
// drawn again.
func (g *grant) adoptDrawn(r ledgerResult) {
	if g.offered > 0 && !r.update.settle {
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
