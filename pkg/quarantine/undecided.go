package quarantine

import (
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
)

// Broke notes that the upstream's side of the connection ended before the whole answer, and that
// nothing tells yet whether its process crashed. What is seen later of the upstream decides it,
// whoever sees it. The run goes on to count until Crashed or Ended. It reports whether the request is
// suspected by now.
func (r Run) Broke(origin Origin, upstream Upstream, now time.Time) (suspected bool) {
	t := r.table
	f := r.request.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	key := t.keyOf(&r, f, upstream)
	t.merge(&Record{
		Fingerprint: f,
		Account:     origin.Account,
		Route:       origin.Route,
		endings:     map[endingKey]ending{key: {At: now}},
	}, now)
	e := t.records[f]
	return e != nil && e.StateAt(t.self) != Clear
}

// keyOf returns the key of a run's ending; t.mu is held. What was settled before the run began was not
// looked up then if nothing was watched.
func (t *Table) keyOf(r *Run, f fingerprint.Fingerprint, upstream Upstream) endingKey {
	turn := r.turn
	if e := t.records[f]; e != nil {
		turn = max(turn, e.settledTurn())
	}
	return endingKey{Turn: turn + 1, Instance: t.self, Upstream: upstream}
}

// Undecided reports whether any ending is undecided at an address. It takes no lock where none is
// at any address.
func (t *Table) Undecided(address string) bool {
	if t.open.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.undecided[address]) > 0
}

// Answered notes that an incarnation answered at an address what it was asked after a time: its
// connections that ended before then ended alone, and the processes of all others have ended.
func (t *Table) Answered(address, incarnation string, since time.Time) {
	if t.open.Load() == 0 || incarnation == "" {
		return
	}
	t.decide(address, func(key endingKey, e ending) (decided, crashed bool) {
		return key.Incarnation != "" && e.At.Before(since), key.Incarnation != incarnation
	})
}

// Ended notes that an incarnation was not at an address any more at a time, and had not said that it
// leaves.
func (t *Table) Ended(address, incarnation string, at time.Time) {
	if t.open.Load() == 0 {
		return
	}
	t.decide(address, func(key endingKey, e ending) (decided, crashed bool) {
		return key.Incarnation == incarnation && e.At.Before(at), true
	})
}

// decide brings evidence to the undecided endings at an address.
func (t *Table) decide(address string, evidence func(endingKey, ending) (decided, crashed bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.undecided[address] {
		e := t.records[f]
		for _, key := range e.orderedEndings() {
			known := e.endings[key]
			if key.Address != address || !known.undecided() {
				continue
			}
			switch decided, crashed := evidence(key, known); {
			case !decided:
			case crashed:
				t.crashed(e, key, known.At)
			default:
				t.merge(&Record{Fingerprint: f, endings: map[endingKey]ending{key: {At: known.At, Refuted: true}}}, known.At)
			}
		}
	}
}

// crashed takes in that an undecided ending was a crash, and judges it; t.mu is held.
func (t *Table) crashed(e *entry, key endingKey, at time.Time) {
	ordinal := e.crashOrdinal(key)
	first := ordinal <= e.Cleared+1
	t.seen.note(key.ID, ordinal-1-min(ordinal-1, e.Cleared), at)
	e.noteCrash(key.ID)
	alone := !first && t.isAlone(e, at)
	t.merge(&Record{
		Fingerprint: e.Fingerprint,
		Crashes:     map[string]uint32{key.Instance: ordinal},
		LastCrash:   at,
		Upstream:    key.ID,
		endings:     map[endingKey]ending{key: {At: at, Crash: ordinal, Alone: alone}},
	}, at)
	t.condemn(e, at)
	t.onDecided(e.clone())
}

// undecidedBeside reports whether at a time a connection to another upstream ended, which nothing
// that ran there explains: the upstreams may have a cause in common; t.mu is held.
func (t *Table) undecidedBeside(of *entry, at time.Time) bool {
	for _, requests := range t.undecided {
		for f := range requests {
			e := t.records[f]
			if e == of || e.InARow() >= explains {
				continue
			}
			for key, known := range e.endings {
				if known.undecided() && !of.crashed[key.ID] && known.At.Sub(at).Abs() <= JudgeAfter {
					return true
				}
			}
		}
	}
	return false
}

// index keeps the index of undecided endings; t.mu is held.
func (t *Table) index(e *entry) {
	for _, address := range e.undecidedAt {
		delete(t.undecided[address], e.Fingerprint)
		if len(t.undecided[address]) == 0 {
			delete(t.undecided, address)
		}
	}
	e.undecidedAt = e.undecidedAt[:0]
	for key, known := range e.endings {
		if !known.undecided() || slices.Contains(e.undecidedAt, key.Address) {
			continue
		}
		e.undecidedAt = append(e.undecidedAt, key.Address)
		if t.undecided[key.Address] == nil {
			t.undecided[key.Address] = map[fingerprint.Fingerprint]bool{}
		}
		t.undecided[key.Address][e.Fingerprint] = true
		if until := known.At.Add(endingHolds); t.expires.IsZero() || until.Before(t.expires) {
			t.expires = until
		}
	}
	t.open.Store(int64(len(t.undecided)))
}

// Expire forgets endings that say nothing any more.
func (t *Table) Expire(now time.Time) {
	if t.open.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}

// expire is Expire with t.mu held.
func (t *Table) expire(now time.Time) {
	if t.expires.IsZero() || now.Before(t.expires) {
		return
	}
	t.expires = time.Time{}
	for _, e := range t.records {
		if len(e.endings) == 0 {
			continue
		}
		before := e.watched()
		e.forgetEndings(now)
		e.kept = 0
		t.count(before, e.watched())
		t.index(e)
	}
}
