// Package prepaid decides which tokens of prepaid budgets an instance may spend, where every
// instance reaches a store that performs conditional writes in milliseconds.
//
// An instance draws tokens from the ledger before it spends them, with one conditional write for
// all budgets of a ledger object that need some, and returns what it does not need when a budget
// runs short. Only drawn tokens are spent, so no partition, outage or pause can cause overspending.
// Tokens held by an instance that crashes are lost to the budget, which limits how much an instance
// should draw ahead of demand.
package prepaid

import (
	"encoding/json"
	"fmt"
)

// maxWriters bounds the writers kept in a shard. The one whose last write is oldest is evicted
// first.
const maxWriters = 600

// Budget is one prepaid budget in the ledger.
type Budget struct {
	// Prepaid is the total ever prepaid, in tokens.
	Prepaid int64 `json:"prepaid"`
	// Granted is what instances have drawn and not returned, spent or not.
	Granted int64 `json:"granted"`
}

// Free returns the tokens that may be drawn; negative after a reduction of Prepaid.
func (b Budget) Free() int64 { return b.Prepaid - b.Granted }

// Counter counts the tokens that one incarnation moved of one budget. Both totals only grow, so
// retrying a write after a lost answer changes nothing, and by reading its counter a writer finds
// out whether such a write took effect.
type Counter struct {
	Drawn    int64 `json:"drawn"`
	Returned int64 `json:"returned,omitempty"`
}

// Writer is one incarnation's part of a shard.
type Writer struct {
	// Turn orders the writers by their last writes.
	Turn     uint64             `json:"turn"`
	Counters map[string]Counter `json:"counters"`
}

// Shard is one object of the ledger and holds many budgets.
type Shard struct {
	// Version is the version of the configuration that set the prepaid amounts.
	Version uint64            `json:"version"`
	Budgets map[string]Budget `json:"budgets"`
	Writers map[string]Writer `json:"writers"`
	// Holders is the state, by name, of each instance that draws when it last wrote, including the
	// instances that it draws for. It paces drawing; safety does not depend on it.
	Holders map[string]Holder `json:"holders,omitempty"`
	Turn    uint64            `json:"turn"`
	// Drawer is the instance that draws for the others. An instance that reads the object, also
	// after a conflicting write, learns from it which drawer to ask. Safety does not depend on it.
	Drawer Drawer `json:"drawer,omitzero"`
	// Era is the store's era in which the object was created; 0 in a store that reports no era or
	// was never rolled back.
	Era uint64 `json:"era,omitempty"`
	// Unsettled says that draws of the last seconds before the era may still be missing; Reported
	// holds the incarnations that have reported what they have seen.
	Unsettled bool            `json:"unsettled,omitempty"`
	Reported  map[string]bool `json:"told,omitempty"`
	// Reserves are tokens that stay undrawn, by an instance's name and by budget.
	Reserves map[string]map[string]int64 `json:"reserves,omitempty"`
	// Forgotten is the turn of the newest writer that has been evicted.
	Forgotten uint64 `json:"forgotten,omitempty"`
}

// Drawer is the name and the address of an instance that draws.
type Drawer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Holder is the state of one instance and those that it draws for, by budget.
type Holder struct {
	// Incarnation is the process that wrote it; empty if an older software version did.
	Incarnation string `json:"incarnation,omitempty"`
	// PerSecond is their demand in tokens a second, Held their free tokens.
	PerSecond map[string]int64 `json:"per_second,omitempty"`
	Held      map[string]int64 `json:"held,omitempty"`
}

// DecodeShard decodes a shard; an empty value is an empty shard.
func DecodeShard(value []byte) (*Shard, error) {
	s := &Shard{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, s); err != nil {
			return nil, fmt.Errorf("decode ledger shard: %w", err)
		}
	}
	if s.Budgets == nil {
		s.Budgets = map[string]Budget{}
	}
	if s.Writers == nil {
		s.Writers = map[string]Writer{}
	}
	return s, nil
}

// Encode encodes a shard as the value of its object.
func (s *Shard) Encode() ([]byte, error) { return json.Marshal(s) }

// Amounts are the prepaid amounts of one version of the configuration.
type Amounts struct {
	Version uint64
	Tokens  map[string]int64
}

// SetPrepaid applies a configuration's amounts unless the shard has those of the same or a newer
// version, so that an instance with an old configuration cannot undo a top-up.
func (s *Shard) SetPrepaid(amounts Amounts) {
	if amounts.Version <= s.Version {
		return
	}
	s.Version = amounts.Version
	for id, b := range s.Budgets {
		if _, declared := amounts.Tokens[id]; !declared {
			b.Prepaid = 0 // nothing more is drawn from a budget that was removed
			s.Budgets[id] = b
		}
	}
	for id, tokens := range amounts.Tokens {
		b := s.Budgets[id]
		b.Prepaid = tokens
		s.Budgets[id] = b
	}
}

// SetHolder sets an instance's holder state.
func (s *Shard) SetHolder(name string, h Holder) {
	if s.Holders == nil {
		s.Holders = map[string]Holder{}
	}
	s.Holders[name] = h
}

// demandElsewhere sums the demand for a budget and its free tokens over all holders other than name
// for which counts returns true.
func (s *Shard) demandElsewhere(
	name, budget string, counts func(string, Holder) bool,
) (perSecond float64, held int64) {
	for other, h := range s.Holders {
		if other != name && counts(other, h) {
			perSecond += float64(h.PerSecond[budget])
			held += h.Held[budget]
		}
	}
	return perSecond, held
}

// Transfer is what one write is to draw and return of one budget, and what the writer knows of it.
type Transfer struct {
	// Known is the part of its counter that the writer has applied. Tokens beyond it, drawn by a
	// write whose answer was lost, count towards the need.
	Known Counter
	// Returned is the writer's total of returned tokens, including this transfer.
	Returned int64
	// Need is drawn whole or not at all, since a part of it would not serve the request and would
	// be missing elsewhere.
	Need int64
	// More is what further requests wait for; as much of it as is free is drawn.
	More int64
	// Ahead is wanted beyond that. At most 1/AheadDivisor of what is free is drawn for it, so that
	// all instances find some.
	Ahead        int64
	AheadDivisor int64
}

// Start is the state of a shard at a writer's first attempt to write it. A row that an attempt has
// written there has the same era and a later turn, or has been evicted since.
type Start struct{ Era, Turn uint64 }

// Apply applies a writer's transfers. It is computed on the state that the conditional write
// replaces and is idempotent. start is the shard's state at the writer's first attempt. Nothing is
// drawn while the shard is unsettled.
func (s *Shard) Apply(writer string, start Start, transfers map[string]Transfer) {
	row, known := s.Writers[writer]
	if row.Counters == nil {
		row.Counters = map[string]Counter{}
	}
	forgotten := !known && s.Era == start.Era && s.Forgotten > start.Turn
	for id, transfer := range transfers {
		counter, moved := row.Counters[id]
		if !moved && forgotten {
			counter = transfer.writeOff()
		}
		row.Counters[id] = s.applyTransfer(id, transfer, counter)
	}
	s.Turn++
	row.Turn = s.Turn
	s.Writers[writer] = row
	s.evictOldestWriter()
}

// writeOff returns the counter of a writer that the shard may have evicted. What its writes of
// unknown outcome have drawn is written off, and what they returned counts as returned. Both may
// lose tokens, but none are spent twice. A writer without a row that cannot have been evicted has
// never written. When such writers were treated as evicted, an instance that had its tokens from a
// drawer lost all of them when it returned them at its planned stop.
func (t Transfer) writeOff() Counter {
	return Counter{Drawn: t.Known.Drawn, Returned: t.Returned}
}

func (s *Shard) applyTransfer(id string, transfer Transfer, counter Counter) Counter {
	b, exists := s.Budgets[id]
	if !exists {
		return counter
	}
	if lost := transfer.Known.Drawn - counter.Drawn; lost > 0 {
		// The store was rolled back to before this draw, whose tokens are being spent.
		b.Granted += lost
		counter.Drawn = transfer.Known.Drawn
	}
	if back := transfer.Returned - counter.Returned; back > 0 {
		b.Granted -= back
		counter.Returned = transfer.Returned
	}
	s.Budgets[id] = b
	if s.Unsettled {
		return counter
	}
	transfer.deductFound(counter.Drawn - transfer.Known.Drawn)
	tokens := transfer.draw(s.Free(id))
	b.Granted += tokens
	counter.Drawn += tokens
	s.Budgets[id] = b
	return counter
}

// deductFound reduces what is wanted by the tokens that an earlier write has drawn.
func (t *Transfer) deductFound(tokens int64) {
	rest := max(tokens-t.Need, 0)
	t.Need = max(t.Need-tokens, 0)
	t.Ahead = max(t.Ahead-max(rest-t.More, 0), 0)
	t.More = max(t.More-rest, 0)
}

func (t *Transfer) draw(free int64) int64 {
	if free <= 0 {
		return 0
	}
	tokens := t.Need
	if tokens > free {
		tokens = 0
	}
	tokens += min(t.More, free-tokens)
	return tokens + max(min(t.Ahead, (free-tokens)/max(t.AheadDivisor, 1)), 0)
}

// evictOldestWriter evicts the writer whose last write is oldest if there are too many.
func (s *Shard) evictOldestWriter() {
	if len(s.Writers) <= maxWriters {
		return
	}
	oldest := ""
	for name, w := range s.Writers {
		if oldest == "" || w.Turn < s.Writers[oldest].Turn {
			oldest = name
		}
	}
	s.Forgotten = max(s.Forgotten, s.Writers[oldest].Turn)
	delete(s.Writers, oldest)
}
