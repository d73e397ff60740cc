package budget

import (
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
}

// allocatable returns the signed tokens that have not been allocated.
func (g *grant) allocatable() int64 { return g.signed - g.allocated }

// unsigned returns the drawn tokens that have not been signed.
func (g *grant) unsigned() int64 { return g.drawn + g.returned - g.signed }

// rest returns every token still to be allocated.
func (g *grant) rest() int64 { return g.allocatable() + g.unsigned() }

func (g *grant) evidence() map[string]ledger.Usage {
	out := make(map[string]ledger.Usage, len(g.accounts))
	for spender, a := range g.accounts {
		out[spender] = ledger.Usage{Used: a.used, Returned: a.returned}
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

// share decides how much of a request is given. Beyond the need at most a
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

func (g *grant) holder() string {
	for i := len(g.id) - 1; i >= 0; i-- {
		if g.id[i] == '#' {
			return g.id[:i]
		}
	}
	return g.id
}
