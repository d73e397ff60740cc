// Package ledger holds the durable record of prepaid budgets: what each
// prepaid, what is settled, and which instance holds how much of the rest. It is
// decision logic only; a shard is one object in the platform's store, and every
// change of it is one conditional write.
//
// Invariant, at every committed version and for every budget: no write makes
// Settled + the sum of Held over its grants rise above Prepaid. A reduction of
// Prepaid may put Prepaid below that sum; then nothing new is drawn.
package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Errors of ledger operations.
var (
	// ErrGrantClosed means that the grant was closed: by its witness, who
	// thought the holder dead, or by its holder on a planned stop.
	ErrGrantClosed = errors.New("grant is closed")
	// ErrGrantMissing means that the grant is settled and gone, or never was.
	ErrGrantMissing = errors.New("grant is not in the ledger")
	// ErrGrantOpen means that the grant's holder still answers for it.
	ErrGrantOpen = errors.New("grant is open")
	// ErrNotWitness means that another instance is the grant's witness now.
	ErrNotWitness = errors.New("not the grant's witness")
	// ErrUnknownBudget means that no document declared the budget.
	ErrUnknownBudget = errors.New("budget is not declared")
)

// Evidence is what one spender has told of its part of a closed grant. Both
// numbers only grow, so a resend or a late message changes nothing.
type Evidence struct {
	// Used is the number of tokens spent.
	Used int64 `json:"used"`
	// Returned is the number of tokens the spender will never spend.
	Returned int64 `json:"returned"`
}

// Merge returns the evidence with what was told taken in.
func (e Evidence) Merge(told Evidence) Evidence {
	return Evidence{Used: max(e.Used, told.Used), Returned: max(e.Returned, told.Returned)}
}

// Grant is a block of tokens that one incarnation of an instance has drawn.
type Grant struct {
	// Holder is the incarnation that drew it.
	Holder string `json:"holder"`
	// Witness is the incarnation that countersigns it; empty for none.
	Witness string `json:"witness,omitempty"`
	// Signed is how much the holder could allocate when it named the witness;
	// what the witness itself has signed comes on top of that.
	Signed int64 `json:"signed,omitempty"`
	// Drawn is the number of tokens in the grant while it is open.
	Drawn int64 `json:"drawn"`
	// Allocated is the number of tokens that may have left the holder for
	// spenders, counted anew each time a token left; set when it is closed.
	Allocated int64 `json:"allocated,omitempty"`
	// Used is how many of them are known to be spent.
	Used int64 `json:"used"`
	// Seq rises with each write that gives tokens back or settles whether an
	// earlier one did.
	Seq uint64 `json:"seq,omitempty"`
	// Closed grants are never drawn on or allocated from again.
	Closed bool `json:"closed,omitempty"`
	// Evidence settles a closed grant, by spender.
	Evidence map[string]Evidence `json:"evidence,omitempty"`
}

// Spent returns the tokens of the grant known to be spent. Evidence that claims
// more than the grant withholds is wrong; it must not settle what others drew.
func (g *Grant) Spent() int64 {
	var used int64
	for _, e := range g.Evidence {
		used += e.Used
	}
	return min(max(used, g.Used), g.Held())
}

// InDoubt returns the tokens of a closed grant that nobody has accounted for.
func (g *Grant) InDoubt() int64 {
	if !g.Closed {
		return 0
	}
	rest := g.Allocated
	for _, e := range g.Evidence {
		rest -= e.Used + e.Returned
	}
	return min(max(rest, 0), g.Held()-g.Spent())
}

// Held returns the tokens that the grant withholds from the budget. A closed
// grant withholds what left its holder and has not come back: a token that was
// returned and allocated again was counted in Allocated again too. What was
// out at any time was never more than Drawn, which bounds the tokens whose
// return nobody has told of yet.
func (g *Grant) Held() int64 {
	if !g.Closed {
		return g.Drawn
	}
	held := g.Allocated
	for _, e := range g.Evidence {
		held -= e.Returned
	}
	return min(max(held, g.Used), g.Drawn)
}

// Budget is one prepaid budget.
type Budget struct {
	// Prepaid is all that was ever prepaid, in tokens.
	Prepaid int64 `json:"prepaid"`
	// Settled is what closed and settled grants have spent, in tokens.
	Settled int64 `json:"settled"`
	// Wanted is how many tokens a holder found missing here. Holders that can
	// spare some return them: so tokens cross a partition through the store.
	Wanted int64 `json:"wanted,omitempty"`
	// Grants holds the grants that are not settled, by id.
	Grants map[string]*Grant `json:"grants,omitempty"`
}

// Free returns the tokens that may be drawn. It is negative after a reduction
// below what is already granted.
func (b *Budget) Free() int64 {
	free := b.Prepaid - b.Settled
	for _, g := range b.Grants {
		free -= g.Held()
	}
	return free
}

// Spent returns all tokens known to be spent.
func (b *Budget) Spent() int64 {
	spent := b.Settled
	for _, g := range b.Grants {
		spent += g.Spent()
	}
	return spent
}

// InDoubt returns the tokens of closed grants not accounted for.
func (b *Budget) InDoubt() int64 {
	var doubt int64
	for _, g := range b.Grants {
		doubt += g.InDoubt()
	}
	return doubt
}

// Shard is one ledger object: many budgets.
type Shard struct {
	// Generations holds, by service, the configuration generation whose
	// prepaid amounts the shard carries.
	Generations map[string]uint64 `json:"generations,omitempty"`
	// Budgets holds the budgets by id, "service/account".
	Budgets map[string]*Budget `json:"budgets"`
}

// Decode reads a shard; nil is an empty one.
func Decode(value []byte) (*Shard, error) {
	shard := &Shard{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, shard); err != nil {
			return nil, fmt.Errorf("decode ledger shard: %w", err)
		}
	}
	if shard.Budgets == nil {
		shard.Budgets = map[string]*Budget{}
	}
	if shard.Generations == nil {
		shard.Generations = map[string]uint64{}
	}
	return shard, nil
}

// Encode writes a shard as the value of its object.
func (s *Shard) Encode() ([]byte, error) { return json.Marshal(s) }

// SetPrepaid applies the prepaid amounts, by budget, that one generation of a
// service's document declares, and reports whether anything changed. An older
// or equal generation changes nothing, so a stale instance cannot undo a top-up.
// Budgets that the document no longer declares keep their record at their
// present spending: nothing more can be drawn on them.
func (s *Shard) SetPrepaid(service string, generation uint64, prepaid map[string]int64) bool {
	if generation <= s.Generations[service] {
		return false
	}
	s.Generations[service] = generation
	for id, amount := range prepaid {
		s.budget(id).Prepaid = amount
	}
	for id, b := range s.Budgets {
		if _, declared := prepaid[id]; !declared && serviceOf(id) == service {
			b.Prepaid = 0
		}
	}
	return true
}

func (s *Shard) budget(id string) *Budget {
	b := s.Budgets[id]
	if b == nil {
		b = &Budget{}
		s.Budgets[id] = b
	}
	return b
}

// Draw raises a grant's Drawn to target, or as far as the budget allows, and
// never by less than nothing. The target is absolute and chosen before the
// write: after a lost answer the holder asks for the same target again and
// finds it reached. fresh says that the holder has not seen the grant in the
// ledger yet; a grant it has seen and that is gone must not be made anew.
// Errors: ErrUnknownBudget, ErrGrantClosed, ErrGrantMissing.
func (s *Shard) Draw(id, grantID, holder, witness string, target int64, fresh bool) (*Grant, error) {
	b := s.Budgets[id]
	if b == nil {
		return nil, ErrUnknownBudget
	}
	g := b.Grants[grantID]
	if g == nil && !fresh {
		return nil, ErrGrantMissing
	}
	if g != nil && g.Closed {
		return g, ErrGrantClosed
	}
	more := min(target, b.Free())
	if g != nil {
		more = min(target-g.Drawn, b.Free())
	}
	if more <= 0 {
		return g, nil
	}
	if g == nil {
		g = &Grant{Holder: holder, Witness: witness}
		b.put(grantID, g)
	}
	g.Drawn += more
	return g, nil
}

func (b *Budget) put(grantID string, g *Grant) {
	if b.Grants == nil {
		b.Grants = map[string]*Grant{}
	}
	b.Grants[grantID] = g
}

// open returns a grant that is not closed. Errors: ErrGrantMissing, ErrGrantClosed.
func (s *Shard) open(id, grantID string) (*Grant, error) {
	b := s.Budgets[id]
	if b == nil || b.Grants[grantID] == nil {
		return nil, ErrGrantMissing
	}
	if g := b.Grants[grantID]; g.Closed {
		return g, ErrGrantClosed
	}
	return b.Grants[grantID], nil
}

// Fold records how much of an open grant is spent. Errors: ErrGrantMissing,
// ErrGrantClosed.
func (s *Shard) Fold(id, grantID string, used int64) error {
	g, err := s.open(id, grantID)
	if err != nil {
		return err
	}
	g.Used = min(max(g.Used, used), g.Drawn)
	return nil
}

// Want notes that a holder lacks tokens that are not free.
func (s *Shard) Want(id string, tokens int64) {
	if b := s.Budgets[id]; b != nil {
		b.Wanted = max(b.Wanted, tokens)
	}
}

// GiveBack lowers an open grant's Drawn by what is wanted, down to floor at
// most. The floor is absolute and chosen before the write: applied again after a
// lost answer it gives back no second time. GiveBack always changes the shard:
// after a write of it that succeeded no earlier one can take effect any more.
// Errors: ErrGrantMissing, ErrGrantClosed.
func (s *Shard) GiveBack(id, grantID string, floor int64) error {
	g, err := s.open(id, grantID)
	if err != nil {
		return err
	}
	b := s.Budgets[id]
	give := max(min(b.Wanted, g.Drawn-floor), 0)
	g.Drawn -= give
	b.Wanted -= give
	g.Seq++
	return nil
}

// NameWitness gives an open grant another witness. It and Reclaim are writes on
// the same object, so of a holder that replaces its witness and a witness that
// reclaims, one loses. signed is how much the holder may allocate on the word of
// the witness before: the new one may have to reclaim before it is asked to sign
// anything. Errors: ErrGrantMissing, ErrGrantClosed.
func (s *Shard) NameWitness(id, grantID, witness string, signed int64) error {
	g, err := s.open(id, grantID)
	if err != nil {
		return err
	}
	g.Witness = witness
	g.Signed = signed
	return nil
}

// Reclaim closes a grant on the word of its witness, down to what the witness
// has signed: the unsigned rest, which the holder cannot allocate, is free at
// once. Errors: ErrGrantMissing, ErrGrantClosed, ErrNotWitness.
func (s *Shard) Reclaim(id, grantID, witness string, signed int64, evidence map[string]Evidence) error {
	g, err := s.open(id, grantID)
	if err != nil {
		return err
	}
	if g.Witness != witness {
		return ErrNotWitness
	}
	s.closeDown(id, grantID, max(signed, g.Signed), evidence)
	return nil
}

// Close closes a grant on the word of its holder, down to what it has
// allocated. Errors: ErrGrantMissing, ErrGrantClosed.
func (s *Shard) Close(id, grantID string, allocated int64, evidence map[string]Evidence) error {
	if _, err := s.open(id, grantID); err != nil {
		return err
	}
	s.closeDown(id, grantID, allocated, evidence)
	return nil
}

func (s *Shard) closeDown(id, grantID string, allocated int64, evidence map[string]Evidence) {
	g := s.Budgets[id].Grants[grantID]
	g.Allocated = allocated
	g.Closed = true
	s.addEvidence(id, grantID, evidence)
}

// AddEvidence records what spenders tell of a closed grant and settles it once
// every token is accounted for. Errors: ErrGrantMissing, which for a grant that
// was closed means that it is settled; ErrGrantOpen.
func (s *Shard) AddEvidence(id, grantID string, evidence map[string]Evidence) error {
	b := s.Budgets[id]
	if b == nil || b.Grants[grantID] == nil {
		return ErrGrantMissing
	}
	if !b.Grants[grantID].Closed {
		return ErrGrantOpen
	}
	s.addEvidence(id, grantID, evidence)
	return nil
}

func (s *Shard) addEvidence(id, grantID string, evidence map[string]Evidence) {
	b := s.Budgets[id]
	g := b.Grants[grantID]
	if g.Evidence == nil {
		g.Evidence = map[string]Evidence{}
	}
	for spender, told := range evidence {
		g.Evidence[spender] = g.Evidence[spender].Merge(told)
	}
	if g.InDoubt() == 0 {
		b.Settled += g.Spent()
		delete(b.Grants, grantID)
	}
}
