package budget

import (
	"errors"
	"math"
	"time"

	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// ledgerUpdate is the update of one grant in a holder's write to a ledger shard.
type ledgerUpdate struct {
	id           string
	budget       string
	witness      string
	drawn        int64 // grant.drawn before the write; makes the target of a draw absolute
	need         int64 // tokens that must be drawn
	extra        int64 // tokens to draw beyond need
	used         int64
	signed       int64
	minDrawn     int64 // lower bound of Drawn when tokens are returned
	minFree      int64 // if fewer tokens are free, a shortage is recorded
	settleReturn bool  // the write returns tokens, or settles whether an earlier return took effect
	unconfirmed  bool
	nameWitness  bool
}

// ledgerResult is the result of one ledgerUpdate.
type ledgerResult struct {
	update ledgerUpdate
	drawn  int64
	free   int64
	// shortage is the budget's shortage after the update.
	shortage int64
	err      error
	recorded *ledger.Grant
}

// shortageThreshold is how long a holder's unallocated tokens and the ledger's free
// tokens together should last at the holder's demand. If they would not, the
// holder records a shortage in the ledger.
const shortageThreshold = 15 * time.Second

// keepDuringShortage is how long the tokens that a holder keeps during a shortage
// last at its own demand. Near exhaustion tokens are more useful in the ledger,
// where every side of a network partition can draw them.
const keepDuringShortage = 3 * time.Second

func (h *Holder) newUpdate(g *grant, need int64) ledgerUpdate {
	target := int64(g.demandRate * h.cfg.DrawAhead.Seconds())
	return ledgerUpdate{
		id:           g.id,
		budget:       g.budget,
		witness:      g.witness,
		drawn:        g.drawn,
		need:         need,
		extra:        max(target-g.unallocated(), 0),
		used:         g.used,
		minFree:      max(int64(g.demandRate*shortageThreshold.Seconds())-g.unallocated(), 0),
		settleReturn: g.pendingReturn > 0,
		minDrawn:     math.MaxInt64,
		unconfirmed:  g.unconfirmed,
	}
}

// drawUpdate returns the update that draws need more tokens of a budget. It makes
// a new grant if the budget has no open one.
func (h *Holder) drawUpdate(budget, witness string, need int64) ledgerUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[budget]
	if b.openGrant == nil {
		b.openGrant = &grant{
			id:           h.newGrantID(),
			budget:       budget,
			witness:      witness,
			unconfirmed:  true,
			spenders:     map[string]*spenderState{},
			unsentUsages: map[string]bool{},
		}
		h.grants[b.openGrant.id] = b.openGrant
	}
	u := h.newUpdate(b.openGrant, need)
	// A holder that has to draw draws as much as one draw may. Drawn tokens last
	// through an outage of the store, and other instances can get them by
	// allocation. A crash leaves only the countersigned part in doubt, not all that
	// was drawn.
	u.extra = math.MaxInt64 / 2
	return u
}

// tickUpdate returns the update of one tick: it records used tokens, and draws
// more if the unallocated tokens last for less than half of DrawAhead.
func (h *Holder) tickUpdate(g *grant) ledgerUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.newUpdate(g, 0)
	if g.unallocated() > int64(g.demandRate*h.cfg.DrawAhead.Seconds())/2 {
		u.extra = 0
	}
	return u
}

// nameWitnessUpdate returns the update that names another witness. From now until
// the ledger names it, signatures are ignored: the new witness relies on the total
// that is signed now, and with a late signature of the old one this holder could
// allocate tokens that the new one frees when it reclaims the grant.
func (h *Holder) nameWitnessUpdate(g *grant, witness string) ledgerUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	g.replacingWitness = true
	u := h.newUpdate(g, 0)
	u.extra = 0
	u.nameWitness = true
	u.witness = witness
	u.signed = g.signed
	return u
}

// needsRecall reports whether the shortage of a grant's budget exceeds the
// unallocated tokens of the grant.
func (h *Holder) needsRecall(g *grant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return g.shortage > g.unallocated()
}

// returnUpdate returns the update that returns spare tokens during a shortage: the
// unallocated tokens beyond those that the holder keeps for keepDuringShortage.
// Until it is settled whether the write took effect, the spare tokens do not count
// as part of the grant: with a signature on them in the meantime, they could be
// spent here and also drawn by another holder.
func (h *Holder) returnUpdate(g *grant) (ledgerUpdate, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	spare := min(g.unallocated()-int64(g.demandRate*keepDuringShortage.Seconds()), g.shortage)
	if spare <= 0 || g.unconfirmed || h.grants[g.id] != g {
		return ledgerUpdate{}, false
	}
	g.pendingReturn += spare
	g.drawn -= spare
	// The witness may have signed more than remains. This is harmless, because a
	// closed grant holds no more than was drawn.
	g.signed = min(g.signed, g.drawn+g.returned)
	u := h.newUpdate(g, 0)
	u.extra, u.minFree = 0, 0
	u.settleReturn = true
	u.minDrawn = g.drawn
	return u, true
}

// apply applies the update to a shard. How many tokens it draws depends on the
// committed state: the need, if that many are free, and beyond it at most
// 1/extraDrawDivisor of the rest, so that other holders can draw too.
func (u ledgerUpdate) apply(shard *ledger.Shard, self string, extraDrawDivisor int64) ledgerResult {
	result := ledgerResult{update: u}
	b := shard.Budgets[u.budget]
	if b == nil {
		result.err = ledger.ErrUnknownBudget
		return result
	}
	result.err = u.applyChanges(shard, b, self, extraDrawDivisor)
	result.free = b.Free()
	result.shortage = b.Shortage
	if g := b.Grants[u.id]; g != nil {
		result.drawn = g.Drawn
		copied := *g
		result.recorded = &copied
	}
	return result
}

func (u ledgerUpdate) applyChanges(shard *ledger.Shard, b *ledger.Budget, self string, extraDrawDivisor int64) error {
	if !u.unconfirmed {
		if err := shard.RecordUsed(u.budget, u.id, u.used); err != nil {
			return err
		}
	}
	if u.nameWitness {
		if err := shard.NameWitness(u.budget, u.id, u.witness, u.signed); err != nil {
			return err
		}
	}
	if u.settleReturn {
		if err := shard.ReturnTokens(u.budget, u.id, u.minDrawn); err != nil {
			return err
		}
	}
	if b.Free() >= b.Shortage {
		b.Shortage = 0
	}
	if missing := max(u.need, u.minFree) - b.Free(); missing > 0 {
		shard.NoteShortage(u.budget, missing)
	}
	allowance := min(u.extra, max(b.Free()-u.need, 0)/extraDrawDivisor)
	if u.need+allowance <= 0 {
		return nil
	}
	_, err := shard.Draw(u.budget, u.id, self, u.witness, u.drawn+u.need+allowance, u.unconfirmed)
	return err
}

// mergeResults merges the results of a write into the grants. It returns the
// results of grants that are closed or gone in the ledger.
func (h *Holder) mergeResults(results []ledgerResult) []ledgerResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lost []ledgerResult
	for _, r := range results {
		g := h.grants[r.update.id]
		if g == nil {
			continue
		}
		closed := errors.Is(r.err, ledger.ErrGrantClosed)
		if closed || (r.err != nil && !g.unconfirmed) {
			lost = append(lost, r)
			continue
		}
		if r.recorded == nil {
			continue
		}
		g.unconfirmed = false
		g.mergeDrawn(r)
		g.shortage = r.shortage
		g.recordedUsed = max(g.recordedUsed, r.update.used)
		if r.update.nameWitness {
			h.setWitness(g, r.update.witness)
		}
	}
	return lost
}

// mergeDrawn sets drawn to the ledger's value. The value is current, since this
// holder writes to a shard once at a time. But while a return of tokens is not
// settled, an older write of the return may still take effect, so only the result
// of a write that settles the return may raise drawn again.
func (g *grant) mergeDrawn(r ledgerResult) {
	if g.pendingReturn > 0 && !r.update.settleReturn {
		return
	}
	g.drawn = r.drawn
	g.pendingReturn = 0
}

// setWitness makes another instance the grant's witness. All usages have to be
// sent to the new witness, because it records them if it reclaims the grant.
func (h *Holder) setWitness(g *grant, witness string) {
	g.witness = witness
	g.replacingWitness = false
	for spender := range g.spenders {
		g.unsentUsages[spender] = true
	}
}
