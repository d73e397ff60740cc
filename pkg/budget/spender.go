package budget

import (
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
)

// Spender reserves and settles tokens of the lots that holders allocated to
// this instance. It is safe for concurrent use.
type Spender struct {
	self string

	mu       sync.Mutex
	balances map[string]*balance
	active   map[string]*balance
	// settled holds the ids of grants whose lots were dropped. A holder that was
	// considered silent may resume and send such a lot again, although its tokens
	// are spent. Without this set the lot would look new and be spent twice.
	settled  map[string]bool
	stopping bool
}

// NewSpender returns a spender without tokens.
func NewSpender(self string) *Spender {
	return &Spender{
		self:     self,
		balances: map[string]*balance{},
		active:   map[string]*balance{},
		settled:  map[string]bool{},
	}
}

// TryReserve reserves tokens from this instance's lots, and reports whether they
// suffice. It does no I/O and, once a budget is known, no memory allocation.
func (s *Spender) TryReserve(budget string, tokens int64, into *Reservation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.balances[budget]
	if b == nil || s.stopping {
		return false
	}
	*into = Reservation{budget: budget}
	if !b.reserve(tokens, into) {
		return false
	}
	b.demand += tokens
	s.active[budget] = b
	return true
}

// Settle ends a reservation: it records the used tokens and frees the rest. Usage
// above the reservation is capped at it, since only the reserved tokens were
// deducted from the budget. Settle returns the number of tokens billed, which is
// 0 if the reservation was settled before.
func (s *Spender) Settle(r *Reservation, used int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.settled {
		return 0
	}
	r.settled = true
	remaining := used
	for i := 0; i < r.numParts; i++ {
		part := &r.parts[i]
		share := min(remaining, part.tokens)
		part.lot.reserved -= part.tokens
		part.lot.used += share
		remaining -= share
	}
	if b := s.balances[r.budget]; b != nil {
		s.active[r.budget] = b
	}
	return used - remaining
}

// Merge merges the lots that holders have allocated. Allocated only increases, so
// an old answer changes nothing.
func (s *Spender) Merge(budget string, lots []*budgetpb.Lot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.balance(budget)
	for _, received := range lots {
		if !s.settled[received.Grant] {
			b.merge(received)
		}
	}
	s.active[budget] = b
}

func (s *Spender) balance(budget string) *balance {
	b := s.balances[budget]
	if b == nil {
		b = &balance{}
		s.balances[budget] = b
	}
	return b
}

// shortfall describes a spender's request to a holder.
type shortfall struct {
	seq   uint64
	need  int64
	ahead int64
	found int64
}

// shortfallFor returns the tokens missing for a reservation, under a new seq.
func (s *Spender) shortfallFor(budget string, tokens int64, ahead time.Duration) shortfall {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.balance(budget)
	b.seq++
	free := b.free()
	return shortfall{
		seq:   b.seq,
		need:  max(tokens-free, 0),
		ahead: int64(b.demandRate * ahead.Seconds()),
		found: free,
	}
}

// recall returns every unreserved token of a budget to its holders and returns
// the usages of all its lots.
func (s *Spender) recall(budget string) []*budgetpb.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.balances[budget]
	if b == nil {
		return nil
	}
	b.returnSurplus(0)
	s.active[budget] = b
	usages := make([]*budgetpb.Usage, 0, len(b.lots))
	for _, l := range b.lots {
		usages = append(usages, s.usage(budget, l))
	}
	return usages
}

func (s *Spender) usage(budget string, l *lot) *budgetpb.Usage {
	return &budgetpb.Usage{
		Spender:  s.self,
		Grant:    l.grant,
		Budget:   budget,
		Used:     l.used,
		Returned: l.returned,
	}
}

// reports holds, by target, the usages that have not been reported yet.
type reports map[reportTarget][]*budgetpb.Usage

// reportTarget names the instances that accept the report of a lot: its holder, or
// its witness once the holder is silent.
type reportTarget struct{ holder, witness string }

// tick ends a measuring interval of the given length: it updates the demand rates,
// returns surplus tokens, and returns the usages that have not been reported.
func (s *Spender) tick(ahead, interval time.Duration) reports {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := reports{}
	for _, budget := range sortedKeys(s.active) {
		b := s.active[budget]
		b.smoothDemand(interval)
		keep := int64(b.demandRate * ahead.Seconds())
		if s.stopping || b.idleTicks >= idleTicksBeforeReturn {
			keep = 0
		}
		b.returnSurplus(keep + keep/2)
		s.appendUnreported(budget, b, out)
		if b.inactive() {
			delete(s.active, budget)
		}
	}
	return out
}

func (s *Spender) appendUnreported(budget string, b *balance, out reports) {
	for _, l := range b.lots {
		if l.unreported() {
			target := reportTarget{holder: l.holder, witness: l.witness}
			out[target] = append(out[target], s.usage(budget, l))
		}
	}
}

// markReported records which usages were accepted, and drops the lots whose
// grants are settled. Usage since the report was made remains to be reported.
func (s *Spender) markReported(usages []*budgetpb.Usage, settled []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range usages {
		if l := s.findLot(u.Budget, u.Grant); l != nil {
			l.reportedUsed = max(l.reportedUsed, u.Used)
			l.reportedReturned = max(l.reportedReturned, u.Returned)
		}
	}
	for _, u := range usages {
		for _, grant := range settled {
			if u.Grant == grant {
				s.dropLot(u.Budget, grant)
			}
		}
	}
}

func (s *Spender) findLot(budget, grant string) *lot {
	b := s.balances[budget]
	if b == nil {
		return nil
	}
	for _, l := range b.lots {
		if l.grant == grant {
			return l
		}
	}
	return nil
}

// dropLot removes a lot whose grant is settled in the ledger. A grant is settled
// only once every token is accounted for, so the lot has no free tokens left.
func (s *Spender) dropLot(budget, grant string) {
	b := s.balances[budget]
	for i, l := range b.lots {
		if l.grant == grant && l.reserved == 0 {
			s.settled[grant] = true
			b.lots = append(b.lots[:i], b.lots[i+1:]...)
			return
		}
	}
}

// usagesFor returns the usages of all lots allocated by a holder, to be settled
// when that holder is silent.
func (s *Spender) usagesFor(holder string) []*budgetpb.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var usages []*budgetpb.Usage
	for _, budget := range sortedKeys(s.balances) {
		for _, l := range s.balances[budget].lots {
			if l.holder == holder {
				usages = append(usages, s.usage(budget, l))
			}
		}
	}
	return usages
}

// holders returns the incarnations that allocated this spender's lots.
func (s *Spender) holders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	var out []string
	for _, budget := range sortedKeys(s.balances) {
		for _, l := range s.balances[budget].lots {
			if !seen[l.holder] {
				seen[l.holder] = true
				out = append(out, l.holder)
			}
		}
	}
	return out
}

// stop makes every further reservation fail and every tick return all unreserved
// tokens.
func (s *Spender) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for budget, b := range s.balances {
		s.active[budget] = b
	}
}

// Free returns the number of unreserved tokens of a budget at this instance.
func (s *Spender) Free(budget string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.balances[budget]; b != nil {
		return b.free()
	}
	return 0
}

// Outstanding returns the number of tokens reserved for running requests, over
// all budgets.
func (s *Spender) Outstanding() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reserved int64
	for _, b := range s.balances {
		for _, l := range b.lots {
			reserved += l.reserved
		}
	}
	return reserved
}
