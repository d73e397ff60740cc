package budget

import (
	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// spenderState is a holder's state for one spender's lot. All counters only
// increase.
type spenderState struct {
	seq       uint64
	allocated int64
	used      int64
	returned  int64
}

// grant is a block of tokens that this instance has drawn. Invariant:
// allocated ≤ signed ≤ drawn + returned. So spenders never hold more tokens than
// were drawn, and the witness knows an upper bound on the allocated tokens.
type grant struct {
	id, budget, witness string
	unconfirmed         bool // no write has yet found or created the grant in the ledger
	drawn               int64
	signed              int64
	allocated           int64 // sum over spenders, cumulative
	used                int64
	returned            int64
	spenders            map[string]*spenderState
	recordedUsed        int64 // used as last written to the ledger
	// pendingReturn is the number of tokens set aside to be returned to the ledger
	// by a write whose outcome is not settled. drawn does not include them.
	pendingReturn    int64
	shortage         int64 // the budget's shortage when the ledger was last read
	unsentUsages     map[string]bool
	replacingWitness bool // another witness is being named; see nameWitnessUpdate
	demand           int64
	demandRate       float64
}

// allocatable returns the number of signed tokens that have not been allocated.
func (g *grant) allocatable() int64 { return g.signed - g.allocated }

// unsigned returns the number of drawn tokens that have not been signed.
func (g *grant) unsigned() int64 { return g.drawn + g.returned - g.signed }

// unallocated returns the number of tokens, signed or not, that have not been
// allocated.
func (g *grant) unallocated() int64 { return g.allocatable() + g.unsigned() }

func (g *grant) usages() map[string]ledger.Usage {
	usages := make(map[string]ledger.Usage, len(g.spenders))
	for spender, s := range g.spenders {
		usages[spender] = ledger.Usage{Used: s.used, Returned: s.returned}
	}
	return usages
}

// mergeUsage merges a spender's report. Counters only increase.
func (g *grant) mergeUsage(u *budgetpb.Usage) {
	s := g.spenders[u.Spender]
	if s == nil {
		return // nothing was allocated to this spender from this grant
	}
	if u.Used <= s.used && u.Returned <= s.returned {
		return
	}
	g.used += max(u.Used-s.used, 0)
	g.returned += max(u.Returned-s.returned, 0)
	s.used = max(s.used, u.Used)
	s.returned = max(s.returned, u.Returned)
	g.unsentUsages[u.Spender] = true
}

// allocationFor returns how many tokens to allocate for a request. Beyond the
// need it allocates at most a quarter of what is left, so that the last tokens
// stay with the holder instead of being scattered over spenders that do not need
// them.
func (g *grant) allocationFor(need, ahead int64) int64 {
	const extraDivisor = 4
	available := g.allocatable()
	extra := min(ahead, (g.unallocated()-need)/extraDivisor)
	return max(min(need+max(extra, 0), available), 0)
}

func (g *grant) lotFor(s *spenderState) *budgetpb.Lot {
	return &budgetpb.Lot{
		Grant:     g.id,
		Holder:    g.holder(),
		Witness:   g.witness,
		Allocated: s.allocated,
	}
}

func (g *grant) holder() string {
	for i := len(g.id) - 1; i >= 0; i-- {
		if g.id[i] == '#' {
			return g.id[:i]
		}
	}
	return g.id
}
