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

	mu        sync.Mutex
	positions map[string]*position
	active    map[string]*position
	// settled holds the ids of grants whose lots were dropped. A holder that was
	// thought dead may wake and name such a lot again, with tokens that are
	// spent: without this the lot would look new and be spent twice.
	settled  map[string]bool
	stopping bool
}

// NewSpender returns a spender without tokens.
func NewSpender(self string) *Spender {
	return &Spender{
		self:      self,
		positions: map[string]*position{},
		active:    map[string]*position{},
		settled:   map[string]bool{},
	}
}

// TryReserve sets tokens aside from lots at hand, and reports whether there
// were enough. It does no I/O and, once a budget is known, no allocation.
func (s *Spender) TryReserve(budget string, tokens int64, into *Reservation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.positions[budget]
	if p == nil || s.stopping {
		return false
	}
	*into = Reservation{budget: budget}
	if !p.take(tokens, into) {
		return false
	}
	p.demand += tokens
	s.active[budget] = p
	return true
}

// Settle ends a reservation with what was used and frees the rest. Usage above
// the reservation is cut to it, since only reserved tokens were deducted from
// the budget; the return value is what was billed.
func (s *Spender) Settle(r *Reservation, used int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.done {
		return 0
	}
	r.done = true
	left := used
	for i := 0; i < r.count; i++ {
		p := &r.parts[i]
		share := min(left, p.tokens)
		p.lot.reserved -= p.tokens
		p.lot.used += share
		left -= share
	}
	if position := s.positions[r.budget]; position != nil {
		s.active[r.budget] = position
	}
	return used - left
}

// Merge takes over what holders say they allocated. Allocated only grows, so an
// old answer changes nothing.
func (s *Spender) Merge(budget string, lots []*budgetpb.Lot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.position(budget)
	for _, told := range lots {
		if !s.settled[told.Grant] {
			p.merge(told)
		}
	}
	s.active[budget] = p
}

func (s *Spender) position(budget string) *position {
	p := s.positions[budget]
	if p == nil {
		p = &position{}
		s.positions[budget] = p
	}
	return p
}

// shortfall is what a spender asks a holder for.
type shortfall struct {
	seq   uint64
	need  int64
	ahead int64
	found int64
}

// shortfallFor returns what is missing for a reservation, under a new number.
func (s *Spender) shortfallFor(budget string, tokens int64, ahead time.Duration) shortfall {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.position(budget)
	p.seq++
	free := p.free()
	return shortfall{
		seq:   p.seq,
		need:  max(tokens-free, 0),
		ahead: int64(p.perSecond * ahead.Seconds()),
		found: free,
	}
}

// recall returns every token of a budget that is not set aside, and tells the
// usage of all its lots.
func (s *Spender) recall(budget string) []*budgetpb.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.positions[budget]
	if p == nil {
		return nil
	}
	p.giveBack(0)
	s.active[budget] = p
	usages := make([]*budgetpb.Usage, 0, len(p.lots))
	for _, l := range p.lots {
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

// reports gathers, by holder, the usage not told yet.
type reports map[reportTarget][]*budgetpb.Usage

// reportTarget says who takes the report of a lot.
type reportTarget struct{ holder, witness string }

// tick ends one measuring interval of the given length: demand is smoothed,
// surplus is returned, and what has not been reported is gathered.
func (s *Spender) tick(ahead, interval time.Duration) reports {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := reports{}
	for _, budget := range sortedKeys(s.active) {
		p := s.active[budget]
		p.smooth(interval)
		keep := int64(p.perSecond * ahead.Seconds())
		if s.stopping || p.idle >= idleTicksBeforeReturn {
			keep = 0
		}
		p.giveBack(keep + keep/2)
		s.collect(budget, p, out)
		if p.quiet() {
			delete(s.active, budget)
		}
	}
	return out
}

func (s *Spender) collect(budget string, p *position, out reports) {
	for _, l := range p.lots {
		if l.dirty() {
			target := reportTarget{holder: l.holder, witness: l.witness}
			out[target] = append(out[target], s.usage(budget, l))
		}
	}
}

// reported notes that usages have been taken, and which grants are recorded
// for good. What has changed since stays to be reported.
func (s *Spender) reported(usages []*budgetpb.Usage, settled []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range usages {
		if l := s.find(u.Budget, u.Grant); l != nil {
			l.reportedUsed = max(l.reportedUsed, u.Used)
			l.reportedReturned = max(l.reportedReturned, u.Returned)
		}
	}
	for _, u := range usages {
		for _, grant := range settled {
			if u.Grant == grant {
				s.drop(u.Budget, grant)
			}
		}
	}
}

func (s *Spender) find(budget, grant string) *lot {
	p := s.positions[budget]
	if p == nil {
		return nil
	}
	for _, l := range p.lots {
		if l.grant == grant {
			return l
		}
	}
	return nil
}

// drop forgets a lot whose grant is settled in the ledger. A grant settles only
// when every token is accounted for, so no free token is lost or kept here.
func (s *Spender) drop(budget, grant string) {
	p := s.positions[budget]
	for i, l := range p.lots {
		if l.grant == grant && l.reserved == 0 {
			s.settled[grant] = true
			p.lots = append(p.lots[:i], p.lots[i+1:]...)
			return
		}
	}
}

// lotsOf returns the budgets and grants that were allocated by a holder and are
// not finished, for settlement when that holder is gone.
func (s *Spender) lotsOf(holder string) []*budgetpb.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var usages []*budgetpb.Usage
	for _, budget := range sortedKeys(s.positions) {
		for _, l := range s.positions[budget].lots {
			if l.holder == holder {
				usages = append(usages, s.usage(budget, l))
			}
		}
	}
	return usages
}

// holders returns the incarnations that this spender has lots of.
func (s *Spender) holders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	var out []string
	for _, budget := range sortedKeys(s.positions) {
		for _, l := range s.positions[budget].lots {
			if !seen[l.holder] {
				seen[l.holder] = true
				out = append(out, l.holder)
			}
		}
	}
	return out
}

// stop makes every further reservation fail and every tick return all tokens
// that are not set aside.
func (s *Spender) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for budget, p := range s.positions {
		s.active[budget] = p
	}
}

// Free returns the tokens of a budget at hand.
func (s *Spender) Free(budget string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.positions[budget]; p != nil {
		return p.free()
	}
	return 0
}

// Outstanding returns all tokens set aside for running requests.
func (s *Spender) Outstanding() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reserved int64
	for _, p := range s.positions {
		for _, l := range p.lots {
			reserved += l.reserved
		}
	}
	return reserved
}
