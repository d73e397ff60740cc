package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
)

// Bounds on the crashes that parts are judged by.
const (
	// caseLifetime is how long a crash counts against the parts that were there.
	caseLifetime = 2 * time.Minute
	maxCases     = 128
	// maxAccusations limits the parts accused in one crash, maxAccusers the requests that accuse one part.
	maxAccusations = 256
	maxAccusers    = 32
)

// crashCase is one crash of an upstream's process, with the requests whose answers had not begun there. It is
// put together from the endings that any instances reported.
type crashCase struct {
	// upstream is the ID of the incarnation that crashed.
	upstream string
	at       time.Time
	accused  map[Part]*accusation
	// requests are the requests that were at the upstream, whether or not their answers had begun.
	requests map[fingerprint.Fingerprint]bool
}

// accusation lists who sent a part to an upstream that crashed before the answer began.
type accusation struct {
	by map[accuser]bool
	// answered reports that an accuser's instance knew of a recent answer on the part.
	answered bool
}

// accuser is a request that was at a crashed upstream, and the instance that reported it.
type accuser struct {
	account, instance string
	request           fingerprint.Fingerprint
}

// caseKey identifies a crashed process. Where the incarnation is unknown, processes that crashed at the same
// address are told apart by the second of the crash.
type caseKey struct {
	process
	second int64
}

func keyOfCase(key endingKey, at time.Time) caseKey {
	k := caseKey{process: process{key.Address, key.Incarnation}}
	if key.Incarnation == "" {
		k.second = at.Unix()
	}
	return k
}

// noteCases adds the crashes that the endings of a record tell of. t.mu must be held.
func (t *Table) noteCases(e *entry, endings map[endingKey]ending) {
	for key := range endings {
		known, kept := e.endings[key]
		if !kept || known.Crash == 0 {
			continue
		}
		c := t.caseFor(key, known.At)
		if c.add(e, key, &known.Suspects) {
			t.parts.changed = true
			t.parts.noteAccused(c)
		}
	}
	t.numCases.Store(int64(len(t.parts.cases)))
}

// noteAccused brings lastAccused up to date with a crash.
func (s *partJudge) noteAccused(c *crashCase) {
	for p := range c.accused {
		if c.at.After(s.lastAccused[p]) {
			s.lastAccused[p] = c.at
		}
	}
}

// caseFor returns the case of the process whose connection ended, adding it if it is new.
func (t *Table) caseFor(key endingKey, at time.Time) *crashCase {
	k := keyOfCase(key, at)
	if c := t.parts.cases[k]; c != nil {
		if at.Before(c.at) {
			c.at = at
		}
		return c
	}
	c := &crashCase{
		upstream: key.ID, at: at, accused: map[Part]*accusation{}, requests: map[fingerprint.Fingerprint]bool{},
	}
	if len(t.parts.cases) >= maxCases {
		delete(t.parts.cases, t.parts.ordered()[0])
	}
	t.parts.cases[k] = c
	t.parts.changed = true
	return c
}

// add adds one request that was at the upstream, and reports whether that is new.
func (c *crashCase) add(e *entry, key endingKey, s *suspects) (changed bool) {
	if !c.requests[e.Fingerprint] && len(c.requests) < maxAccusations {
		c.requests[e.Fingerprint] = true
		changed = true
	}
	by := accuser{account: e.Account, instance: key.Instance, request: e.Fingerprint}
	for _, id := range s.Unanswered {
		changed = c.accuse(Part{s.Service, s.Model, id}, by, false) || changed
	}
	for _, id := range s.Answered {
		changed = c.accuse(Part{s.Service, s.Model, id}, by, true) || changed
	}
	return changed
}

func (c *crashCase) accuse(p Part, by accuser, answered bool) (changed bool) {
	a := c.accused[p]
	if a == nil {
		if len(c.accused) >= maxAccusations {
			return false
		}
		a = &accusation{by: map[accuser]bool{}}
		c.accused[p] = a
	}
	if a.by[by] || len(a.by) >= maxAccusers {
		return false
	}
	a.by[by] = true
	a.answered = a.answered || answered
	return true
}

// ordered returns the keys of the cases, the oldest first.
func (s *partJudge) ordered() []caseKey {
	return slices.SortedFunc(maps.Keys(s.cases), func(a, b caseKey) int {
		return cmp.Or(s.cases[a].at.Compare(s.cases[b].at), cmp.Compare(a.address, b.address),
			cmp.Compare(a.incarnation, b.incarnation), cmp.Compare(a.second, b.second))
	})
}

// expireCases removes the cases older than caseLifetime. t.mu must be held.
func (t *Table) expireCases(now time.Time) {
	maps.DeleteFunc(t.parts.cases, func(_ caseKey, c *crashCase) bool { return now.Sub(c.at) > caseLifetime })
	clear(t.parts.lastAccused)
	for _, c := range t.parts.cases {
		t.parts.noteAccused(c)
	}
	t.numCases.Store(int64(len(t.parts.cases)))
}
