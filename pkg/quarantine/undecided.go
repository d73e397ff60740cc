package quarantine

import (
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
)

// NoteConnectionEnd records that the upstream ended the connection before its answer was complete, and
// that it is not known yet whether its process crashed. Later observations of the upstream, by any
// instance, decide that. The run remains active until NoteCrash or NoteEnd. NoteConnectionEnd reports
// whether the request is now suspected or condemned.
func (r Run) NoteConnectionEnd(origin Origin, upstream Upstream, now time.Time) (suspected bool) {
	t := r.table
	f := r.request.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	key := t.endingKeyFor(&r, f, upstream)
	t.merge(&Record{
		Fingerprint: f,
		Account:     origin.Account,
		Route:       origin.Route,
		endings:     map[endingKey]ending{key: {At: now, Suspects: r.suspects(now)}},
	}, now)
	e := t.records[f]
	return e != nil && t.stateOf(e) != Clear
}

// suspects returns the parts that the run's crash counts against.
func (r Run) suspects(now time.Time) suspects {
	if !r.provenAt.IsZero() {
		return suspects{}
	}
	prompt := r.request.Prompt()
	return r.table.suspectsOf(&prompt, now)
}

// endingKeyFor returns the key of a run's ending. A run that began while nothing was watched did not look
// up the settled endings, so they are considered here. t.mu must be held.
func (t *Table) endingKeyFor(r *Run, f fingerprint.Fingerprint, upstream Upstream) endingKey {
	turn := r.knownEndings
	if e := t.records[f]; e != nil {
		turn = max(turn, e.lastSettledTurn())
	}
	return endingKey{Turn: turn + 1, Instance: t.self, Upstream: upstream}
}

// HasUndecided reports whether any ending at an address is undecided. It takes no lock if there are no
// undecided endings at all.
func (t *Table) HasUndecided(address string) bool {
	if t.numUndecidedAddresses.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.undecided[address]) > 0
}

// NoteAnswer records that an incarnation at an address answered a request that was sent at since or
// later. This decides the undecided endings at the address that were observed before since. Endings of
// the same incarnation were not crashes, because its process is still running; endings of other
// incarnations were crashes, because their processes are gone.
func (t *Table) NoteAnswer(address, incarnation string, since time.Time) {
	if t.numUndecidedAddresses.Load() == 0 || incarnation == "" {
		return
	}
	t.decide(address, func(key endingKey, e ending) (decided, crashed bool) {
		return key.Incarnation != "" && e.At.Before(since), key.Incarnation != incarnation
	})
}

// NoteGone records that an incarnation was gone from an address at a time, without having announced that
// it leaves: its undecided endings from before that time were crashes.
func (t *Table) NoteGone(address, incarnation string, at time.Time) {
	if t.numUndecidedAddresses.Load() == 0 {
		return
	}
	t.decide(address, func(key endingKey, e ending) (decided, crashed bool) {
		return key.Incarnation == incarnation && e.At.Before(at), true
	})
}

// decide calls evidence for each undecided ending at an address, and records the ending as a crash or
// as refuted if evidence reports that it is decided.
func (t *Table) decide(address string, evidence func(endingKey, ending) (decided, crashed bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.undecided[address] {
		e := t.records[f]
		for _, key := range e.orderedEndings() {
			known := e.endings[key]
			if key.Address != address || !known.isUndecided() {
				continue
			}
			switch decided, crashed := evidence(key, known); {
			case !decided:
			case crashed:
				t.confirmCrash(e, key, known.At)
			default:
				t.merge(&Record{Fingerprint: f, endings: map[endingKey]ending{key: {At: known.At, Refuted: true}}}, known.At)
			}
		}
	}
}

// confirmCrash records that an undecided ending was a crash, and judges it. t.mu must be held.
func (t *Table) confirmCrash(e *entry, key endingKey, at time.Time) {
	ordinal := e.crashOrdinal(key)
	first := ordinal <= e.Cleared+1
	t.recent.note(key.ID, ordinal-1-min(ordinal-1, e.Cleared), at)
	e.addCrashedUpstream(key.ID)
	isolated := !first && t.isIsolated(e, at)
	t.merge(&Record{
		Fingerprint: e.Fingerprint,
		Crashes:     map[string]uint32{key.Instance: ordinal},
		LastCrash:   at,
		Upstream:    key.ID,
		endings:     map[endingKey]ending{key: {At: at, Crash: ordinal, Isolated: isolated}},
	}, at)
	t.condemn(e, at)
	t.onCrashConfirmed(e.clone())
}

// hasConcurrentUndecided reports whether there is an undecided ending at another upstream, within
// JudgeDelay of a time, that no request which ran there explains: if it was a crash, both crashes may
// have the same cause. t.mu must be held.
func (t *Table) hasConcurrentUndecided(of *entry, at time.Time) bool {
	for _, requests := range t.undecided {
		for f := range requests {
			e := t.records[f]
			if e == of || e.ConsecutiveCrashes() >= minExplainingCrashes {
				continue
			}
			for key, known := range e.endings {
				if known.isUndecided() && !of.crashedUpstreams[key.ID] && known.At.Sub(at).Abs() <= JudgeDelay {
					return true
				}
			}
		}
	}
	return false
}

// updateIndex brings Table.undecided up to date with the endings of an entry. t.mu must be held.
func (t *Table) updateIndex(e *entry) {
	for _, address := range e.indexedAddresses {
		delete(t.undecided[address], e.Fingerprint)
		if len(t.undecided[address]) == 0 {
			delete(t.undecided, address)
		}
	}
	e.indexedAddresses = e.indexedAddresses[:0]
	for key, known := range e.endings {
		if !known.isUndecided() || slices.Contains(e.indexedAddresses, key.Address) {
			continue
		}
		e.indexedAddresses = append(e.indexedAddresses, key.Address)
		if t.undecided[key.Address] == nil {
			t.undecided[key.Address] = map[fingerprint.Fingerprint]bool{}
		}
		t.undecided[key.Address][e.Fingerprint] = true
		if until := known.At.Add(endingLifetime); t.nextExpiry.IsZero() || until.Before(t.nextExpiry) {
			t.nextExpiry = until
		}
	}
	t.numUndecidedAddresses.Store(int64(len(t.undecided)))
}

// Expire removes expired endings, and judges parts whose crashes are old enough.
func (t *Table) Expire(now time.Time) {
	if t.numUndecidedAddresses.Load() == 0 && t.numCrashes.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.judgeParts(now)
}

// expire is Expire for callers that hold t.mu.
func (t *Table) expire(now time.Time) {
	if t.nextExpiry.IsZero() || now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = time.Time{}
	for _, e := range t.records {
		if len(e.endings) == 0 {
			continue
		}
		before := e.isWatched()
		e.expireEndings(now)
		e.cachedHash = 0
		t.countWatched(before, e.isWatched())
		t.updateIndex(e)
	}
}
