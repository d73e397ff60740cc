// Package prepaid decides which tokens of prepaid budgets an instance may spend,
// where every instance reaches a store that does conditional writes in
// milliseconds.
//
// An instance draws tokens from the ledger before it spends them, one
// conditional write for all budgets that need some, and returns what it does not
// need when a budget runs short. Only drawn tokens are spent, so no partition,
// outage or pause can overspend; what an instance holds when it dies is lost to
// the budget, which bounds how much it draws ahead.
package prepaid

import (
	"encoding/json"
	"fmt"
)

// maxWriters bounds the writers remembered in a shard. Those that have not
// written for longest go first.
const maxWriters = 600

// Budget is one prepaid budget in the ledger.
type Budget struct {
	// Prepaid is all that was ever prepaid, in tokens.
	Prepaid int64 `json:"prepaid"`
	// Granted is what instances have drawn and not returned, spent or not.
	Granted int64 `json:"granted"`
}

// Free returns the tokens that may be drawn; negative after a reduction.
func (b Budget) Free() int64 { return b.Prepaid - b.Granted }

// Counter is what one incarnation has moved of one budget. Both numbers only
// grow, so a write that is repeated after a lost answer changes nothing, and a
// writer finds out by reading what became of a write whose answer was lost.
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

// Shard is one object of the ledger: many budgets.
type Shard struct {
	// Version is the configuration that the prepaid amounts are of.
	Version uint64            `json:"version"`
	Budgets map[string]Budget `json:"budgets"`
	Writers map[string]Writer `json:"writers"`
	// Holders tells, by name, how each instance that draws stood when it last wrote, with
	// those that it draws for. It paces drawing and decides nothing about safety.
	Holders map[string]Holder `json:"holders,omitempty"`
	Turn    uint64            `json:"turn"`
	// Drawer is the instance that draws for the others. Whoever reads the object, also by
	// losing a write, learns whom to ask. It decides nothing about safety.
	Drawer Drawer `json:"drawer,omitzero"`
	// Era is the store's era that the object was made in; 0 in a store that tells none, or has
	// never gone back.
	Era uint64 `json:"era,omitempty"`
	// Unsettled says that draws of the seconds before the era may be missing still, Told which
	// incarnations have told what they have seen.
	Unsettled bool            `json:"unsettled,omitempty"`
	Told      map[string]bool `json:"told,omitempty"`
	// Reserves are tokens, by an instance's name and by budget, that stay undrawn.
	Reserves map[string]map[string]int64 `json:"reserves,omitempty"`
	// Forgotten is the turn of the newest writer that has been forgotten.
	Forgotten uint64 `json:"forgotten,omitempty"`
}

// Drawer names an instance and tells where others reach it.
type Drawer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Holder is how one instance stood with those that it draws for, by budget.
type Holder struct {
	// PerSecond is their demand in tokens a second, Held what they had free.
	PerSecond map[string]int64 `json:"per_second,omitempty"`
	Held      map[string]int64 `json:"held,omitempty"`
}

// DecodeShard reads a shard; nil is an empty one.
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

// Encode writes a shard as the value of its object.
func (s *Shard) Encode() ([]byte, error) { return json.Marshal(s) }

// Amounts are the prepaid amounts of one version of the configuration.
type Amounts struct {
	Version uint64
	Tokens  map[string]int64
}

// SetPrepaid applies a configuration's amounts unless the shard has those of the
// same or a newer version: an instance that lags cannot undo a top-up.
func (s *Shard) SetPrepaid(amounts Amounts) {
	if amounts.Version <= s.Version {
		return
	}
	s.Version = amounts.Version
	for id, b := range s.Budgets {
		if _, declared := amounts.Tokens[id]; !declared {
			b.Prepaid = 0 // nothing more is drawn on a budget that is gone
			s.Budgets[id] = b
		}
	}
	for id, tokens := range amounts.Tokens {
		b := s.Budgets[id]
		b.Prepaid = tokens
		s.Budgets[id] = b
	}
}

// SetHolder notes how an instance stands.
func (s *Shard) SetHolder(name string, h Holder) {
	if s.Holders == nil {
		s.Holders = map[string]Holder{}
	}
	s.Holders[name] = h
}

// holdersElsewhere sums demand and free tokens of a budget at the instances other than
// the one named, as far as counts says that they are still there.
func (s *Shard) holdersElsewhere(name, budget string, counts func(string) bool) (perSecond float64, held int64) {
	for other, h := range s.Holders {
		if other != name && counts(other) {
			perSecond += float64(h.PerSecond[budget])
			held += h.Held[budget]
		}
	}
	return perSecond, held
}

// Wish is what one write wants of one budget, and what the writer knows of it.
type Wish struct {
	// Known is what the writer has taken over of its counter. Tokens drawn
	// beyond it by a write whose answer was lost count towards the need.
	Known Counter
	// Returned is all that the writer has ever given back, this time included.
	Returned int64
	// Need is drawn whole or not at all; a part of it would serve nobody here
	// and be missing elsewhere.
	Need int64
	// More is what further requests wait for; as much of it as is free is drawn.
	More int64
	// Ahead is wanted beyond that, of which at most 1/AheadPart of what is
	// free is drawn, so that all instances find some.
	Ahead     int64
	AheadPart int64
}

// Start is where a writer's first try to write to a shard found it: a row that a try left there
// is of the same era and a later turn, or has been forgotten since.
type Start struct{ Era, Turn uint64 }

// Apply carries a writer's wishes out. It is computed on the state that the
// conditional write replaces, and changes nothing if it is applied again. start is where the
// writer's first try found the shard. Nothing is drawn while the shard is unsettled.
func (s *Shard) Apply(writer string, start Start, wishes map[string]Wish) {
	row, known := s.Writers[writer]
	if row.Counters == nil {
		row.Counters = map[string]Counter{}
	}
	forgotten := !known && s.Era == start.Era && s.Forgotten > start.Turn
	for id, wish := range wishes {
		counter, moved := row.Counters[id]
		if !moved && forgotten {
			counter = wish.givenUp()
		}
		row.Counters[id] = s.applyOne(id, wish, counter)
	}
	s.Turn++
	row.Turn = s.Turn
	s.Writers[writer] = row
	s.prune()
}

// givenUp is the counter of a writer that the shard may have forgotten: what open writes
// of it drew is given up and what they returned is taken for returned. Both lose tokens,
// neither spends any twice. A writer without a row that cannot have been forgotten has
// never written: taken for forgotten, an instance that had its tokens from a drawer lost
// all of them when it gave them back at its planned stop.
func (w Wish) givenUp() Counter {
	return Counter{Drawn: w.Known.Drawn, Returned: w.Returned}
}

func (s *Shard) applyOne(id string, wish Wish, counter Counter) Counter {
	b, exists := s.Budgets[id]
	if !exists {
		return counter
	}
	if lost := wish.Known.Drawn - counter.Drawn; lost > 0 {
		// The store went back behind this draw, whose tokens are being spent.
		b.Granted += lost
		counter.Drawn = wish.Known.Drawn
	}
	if back := wish.Returned - counter.Returned; back > 0 {
		b.Granted -= back
		counter.Returned = wish.Returned
	}
	s.Budgets[id] = b
	if s.Unsettled {
		return counter
	}
	wish.found(counter.Drawn - wish.Known.Drawn)
	tokens := wish.draw(s.Free(id))
	b.Granted += tokens
	counter.Drawn += tokens
	s.Budgets[id] = b
	return counter
}

// found takes tokens that an earlier write drew off what is wanted.
func (w *Wish) found(tokens int64) {
	rest := max(tokens-w.Need, 0)
	w.Need = max(w.Need-tokens, 0)
	w.Ahead = max(w.Ahead-max(rest-w.More, 0), 0)
	w.More = max(w.More-rest, 0)
}

func (w *Wish) draw(free int64) int64 {
	if free <= 0 {
		return 0
	}
	tokens := w.Need
	if tokens > free {
		tokens = 0
	}
	tokens += min(w.More, free-tokens)
	return tokens + max(min(w.Ahead, (free-tokens)/max(w.AheadPart, 1)), 0)
}

// prune forgets the writer that has not written for longest.
func (s *Shard) prune() {
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
