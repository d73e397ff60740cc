// Package ledger implements the durable record of prepaid budgets: how many
// tokens each budget prepaid, how many are settled, and which instances hold the
// rest. It contains no I/O. A shard is one object in the platform's store, and
// every change to it is one conditional write.
//
// Invariant, at every committed version and for every budget: no write raises
// Settled plus the sum of Held over the budget's grants above Prepaid. A reduction
// of Prepaid may leave Prepaid below that sum; then no more tokens can be drawn.
package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Errors of ledger operations.
var (
	// ErrGrantClosed means that the grant was closed, either by its witness,
	// which considered the holder silent, or by its holder on a planned stop.
	ErrGrantClosed = errors.New("grant is closed")
	// ErrGrantMissing means that the grant was settled and removed, or never
	// existed.
	ErrGrantMissing = errors.New("grant is not in the ledger")
	// ErrGrantOpen means that the grant is not closed and still belongs to its
	// holder.
	ErrGrantOpen = errors.New("grant is open")
	// ErrNotWitness means that the ledger names another instance as the grant's
	// witness.
	ErrNotWitness = errors.New("not the grant's witness")
	// ErrUnknownBudget means that no accepted document has declared the budget.
	ErrUnknownBudget = errors.New("budget is not declared")
)

// Usage is what one spender has reported about its lot of a closed grant. Both
// counters only increase, so a repeated or late report changes nothing.
type Usage struct {
	// Used is the number of tokens spent.
	Used int64 `json:"used"`
	// Returned is the number of tokens that the spender gave back and will not
	// spend.
	Returned int64 `json:"returned"`
}

// Merge returns the larger value of each counter of u and reported.
func (u Usage) Merge(reported Usage) Usage {
	return Usage{Used: max(u.Used, reported.Used), Returned: max(u.Returned, reported.Returned)}
}

// Grant is a block of tokens drawn by one incarnation of an instance.
type Grant struct {
	// Holder is the incarnation that drew the grant.
	Holder string `json:"holder"`
	// Witness is the incarnation that countersigns the grant; empty if there is
	// none.
	Witness string `json:"witness,omitempty"`
	// Signed is the cumulative number of tokens that the holder was allowed to
	// allocate when it named the witness. The witness may have signed a larger
	// total since.
	Signed int64 `json:"signed,omitempty"`
	// Drawn is the number of tokens in the grant while it is open.
	Drawn int64 `json:"drawn"`
	// Allocated is the number of tokens that may have been allocated to spenders.
	// A token that was returned and allocated again counts each time. It is set
	// when the grant is closed.
	Allocated int64 `json:"allocated,omitempty"`
	// Used is the number of the grant's tokens known to be spent.
	Used int64 `json:"used"`
	// Seq increases with each write that returns tokens, or that settles whether
	// an earlier such write took effect.
	Seq uint64 `json:"seq,omitempty"`
	// Closed reports that nothing is drawn into or allocated from the grant any
	// more.
	Closed bool `json:"closed,omitempty"`
	// Usages holds, by spender, the reports that settle a closed grant.
	Usages map[string]Usage `json:"evidence,omitempty"`
}

// Spent returns the number of the grant's tokens known to be spent. Usages that add
// up to more than Held are wrong. Their sum is capped at Held, since they must not
// settle tokens that other grants drew.
func (g *Grant) Spent() int64 {
	var used int64
	for _, u := range g.Usages {
		used += u.Used
	}
	return min(max(used, g.Used), g.Held())
}

// InDoubt returns the number of tokens of a closed grant that no spender has
// reported as used or returned.
func (g *Grant) InDoubt() int64 {
	if !g.Closed {
		return 0
	}
	unaccounted := g.Allocated
	for _, u := range g.Usages {
		unaccounted -= u.Used + u.Returned
	}
	return min(max(unaccounted, 0), g.Held()-g.Spent())
}

// Held returns the number of the budget's tokens that other grants cannot draw
// because of this one. For a closed grant these are the tokens that were allocated
// to spenders and not returned. Allocated and the usages both count a token again
// each time it is allocated or returned. Spenders never hold more than Drawn tokens
// at a time, so Drawn bounds the result while returns have not been reported yet.
func (g *Grant) Held() int64 {
	if !g.Closed {
		return g.Drawn
	}
	held := g.Allocated
	for _, u := range g.Usages {
		held -= u.Returned
	}
	return min(max(held, g.Used), g.Drawn)
}

// Budget is one prepaid budget.
type Budget struct {
	// Prepaid is the total ever prepaid, in tokens.
	Prepaid int64 `json:"prepaid"`
	// Settled is the number of tokens spent from grants that were settled and
	// removed.
	Settled int64 `json:"settled"`
	// Shortage is the number of tokens that a holder needed and did not find
	// free. Holders with spare tokens then return some to the ledger, so tokens
	// cross a network partition through the store.
	Shortage int64 `json:"wanted,omitempty"`
	// Grants holds the grants that are not settled, by id.
	Grants map[string]*Grant `json:"grants,omitempty"`
}

// Free returns the number of tokens that may be drawn. It is negative if Prepaid was
// reduced below the settled and held tokens.
func (b *Budget) Free() int64 {
	free := b.Prepaid - b.Settled
	for _, g := range b.Grants {
		free -= g.Held()
	}
	return free
}

// Spent returns all tokens of the budget known to be spent.
func (b *Budget) Spent() int64 {
	spent := b.Settled
	for _, g := range b.Grants {
		spent += g.Spent()
	}
	return spent
}

// InDoubt returns the tokens in doubt over all closed grants.
func (b *Budget) InDoubt() int64 {
	var inDoubt int64
	for _, g := range b.Grants {
		inDoubt += g.InDoubt()
	}
	return inDoubt
}

// Shard is one ledger object, which holds many budgets.
type Shard struct {
	// Generations holds, by service, the configuration generation whose
	// prepaid amounts the shard carries.
	Generations map[string]uint64 `json:"generations,omitempty"`
	// Budgets holds the budgets by id, "service/account".
	Budgets map[string]*Budget `json:"budgets"`
}

// Decode decodes a shard; an empty value yields an empty shard.
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

// Encode returns the shard as the value of its store object.
func (s *Shard) Encode() ([]byte, error) { return json.Marshal(s) }

// SetPrepaid applies the prepaid amounts, by budget, that one generation of a
// service's document declares, and reports whether the generation was newer than
// the recorded one. An older or equal generation changes nothing, so a stale
// instance cannot undo a top-up. Budgets that the document no longer declares
// keep their grants and Settled, but their Prepaid becomes 0, so nothing more can
// be drawn.
func (s *Shard) SetPrepaid(service string, generation uint64, prepaid map[string]int64) bool {
	if generation <= s.Generations[service] {
		return false
	}
	s.Generations[service] = generation
	for budgetID, amount := range prepaid {
		s.getOrCreateBudget(budgetID).Prepaid = amount
	}
	for budgetID, b := range s.Budgets {
		if _, declared := prepaid[budgetID]; !declared && serviceOf(budgetID) == service {
			b.Prepaid = 0
		}
	}
	return true
}

func (s *Shard) getOrCreateBudget(budgetID string) *Budget {
	b := s.Budgets[budgetID]
	if b == nil {
		b = &Budget{}
		s.Budgets[budgetID] = b
	}
	return b
}

// Draw raises a grant's Drawn to target, or as far as the budget's free tokens
// allow, and never lowers it. The target is absolute and chosen before the write,
// so a holder that retries the draw after a lost answer draws nothing twice.
// mayCreate is true as long as the holder has not seen the grant in the ledger. A
// grant that it has seen and that is missing now was settled, and must not be
// created again.
// Errors: ErrUnknownBudget, ErrGrantClosed, ErrGrantMissing.
func (s *Shard) Draw(budgetID, grantID, holder, witness string, target int64, mayCreate bool) (*Grant, error) {
	b := s.Budgets[budgetID]
	if b == nil {
		return nil, ErrUnknownBudget
	}
	g := b.Grants[grantID]
	if g == nil && !mayCreate {
		return nil, ErrGrantMissing
	}
	if g != nil && g.Closed {
		return g, ErrGrantClosed
	}
	increase := min(target, b.Free())
	if g != nil {
		increase = min(target-g.Drawn, b.Free())
	}
	if increase <= 0 {
		return g, nil
	}
	if g == nil {
		g = &Grant{Holder: holder, Witness: witness}
		b.addGrant(grantID, g)
	}
	g.Drawn += increase
	return g, nil
}

func (b *Budget) addGrant(grantID string, g *Grant) {
	if b.Grants == nil {
		b.Grants = map[string]*Grant{}
	}
	b.Grants[grantID] = g
}

// openGrant returns a grant that is not closed. Errors: ErrGrantMissing,
// ErrGrantClosed.
func (s *Shard) openGrant(budgetID, grantID string) (*Grant, error) {
	b := s.Budgets[budgetID]
	if b == nil || b.Grants[grantID] == nil {
		return nil, ErrGrantMissing
	}
	if g := b.Grants[grantID]; g.Closed {
		return g, ErrGrantClosed
	}
	return b.Grants[grantID], nil
}

// RecordUsed records how much of an open grant is spent; the recorded number
// only increases and never exceeds Drawn. Errors: ErrGrantMissing,
// ErrGrantClosed.
func (s *Shard) RecordUsed(budgetID, grantID string, used int64) error {
	g, err := s.openGrant(budgetID, grantID)
	if err != nil {
		return err
	}
	g.Used = min(max(g.Used, used), g.Drawn)
	return nil
}

// NoteShortage records that a holder needs this many more tokens than are free.
func (s *Shard) NoteShortage(budgetID string, tokens int64) {
	if b := s.Budgets[budgetID]; b != nil {
		b.Shortage = max(b.Shortage, tokens)
	}
}

// ReturnTokens lowers an open grant's Drawn by the budget's Shortage, but not
// below minDrawn. minDrawn is absolute and chosen before the write, so retrying
// the call after a lost answer returns no tokens twice. ReturnTokens always
// changes the shard: once such a write has succeeded, no earlier conditional
// write of it can take effect any more.
// Errors: ErrGrantMissing, ErrGrantClosed.
func (s *Shard) ReturnTokens(budgetID, grantID string, minDrawn int64) error {
	g, err := s.openGrant(budgetID, grantID)
	if err != nil {
		return err
	}
	b := s.Budgets[budgetID]
	returned := max(min(b.Shortage, g.Drawn-minDrawn), 0)
	g.Drawn -= returned
	b.Shortage -= returned
	g.Seq++
	return nil
}

// NameWitness makes another instance the witness of an open grant. NameWitness
// and Reclaim are conditional writes to the same object, so if a holder replaces
// its witness while that witness reclaims the grant, only one of them succeeds.
// signed is the total that the holder may allocate on the signatures of the
// previous witness: the new one may have to reclaim the grant before it has
// signed anything itself. Errors: ErrGrantMissing, ErrGrantClosed.
func (s *Shard) NameWitness(budgetID, grantID, witness string, signed int64) error {
	g, err := s.openGrant(budgetID, grantID)
	if err != nil {
		return err
	}
	g.Witness = witness
	g.Signed = signed
	return nil
}

// Reclaim closes a grant on behalf of its witness. The grant holds only the signed
// tokens from now on; the unsigned rest, which the holder cannot allocate, is free
// at once. Errors: ErrGrantMissing, ErrGrantClosed, ErrNotWitness.
func (s *Shard) Reclaim(budgetID, grantID, witness string, signed int64, usages map[string]Usage) error {
	g, err := s.openGrant(budgetID, grantID)
	if err != nil {
		return err
	}
	if g.Witness != witness {
		return ErrNotWitness
	}
	s.closeGrant(budgetID, grantID, max(signed, g.Signed), usages)
	return nil
}

// Close closes a grant on behalf of its holder. The grant holds only the tokens that
// the holder has allocated from now on. Errors: ErrGrantMissing, ErrGrantClosed.
func (s *Shard) Close(budgetID, grantID string, allocated int64, usages map[string]Usage) error {
	if _, err := s.openGrant(budgetID, grantID); err != nil {
		return err
	}
	s.closeGrant(budgetID, grantID, allocated, usages)
	return nil
}

func (s *Shard) closeGrant(budgetID, grantID string, allocated int64, usages map[string]Usage) {
	g := s.Budgets[budgetID].Grants[grantID]
	g.Allocated = allocated
	g.Closed = true
	s.mergeUsages(budgetID, grantID, usages)
}

// MergeUsages records the usages that spenders report about a closed grant, and
// settles the grant once every token is accounted for. Errors: ErrGrantOpen;
// ErrGrantMissing, which means that the grant is settled if it was closed before.
func (s *Shard) MergeUsages(budgetID, grantID string, usages map[string]Usage) error {
	b := s.Budgets[budgetID]
	if b == nil || b.Grants[grantID] == nil {
		return ErrGrantMissing
	}
	if !b.Grants[grantID].Closed {
		return ErrGrantOpen
	}
	s.mergeUsages(budgetID, grantID, usages)
	return nil
}

func (s *Shard) mergeUsages(budgetID, grantID string, usages map[string]Usage) {
	b := s.Budgets[budgetID]
	g := b.Grants[grantID]
	if g.Usages == nil {
		g.Usages = map[string]Usage{}
	}
	for spender, reported := range usages {
		g.Usages[spender] = g.Usages[spender].Merge(reported)
	}
	if g.InDoubt() == 0 {
		b.Settled += g.Spent()
		delete(b.Grants, grantID)
	}
}
