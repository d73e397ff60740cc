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
	// crashLifetime is how long a crash counts against the parts that were there.
	crashLifetime      = 2 * time.Minute
	maxUpstreamCrashes = 128
	// maxPartsAtCrash limits the parts listed for one crash, maxSenders the requests listed for one part.
	maxPartsAtCrash = 256
	maxSenders      = 32
)

// upstreamCrash is one crash of an upstream's process, with the requests whose answers had not proved their parts sound. It is
// put together from the endings that any instances reported.
type upstreamCrash struct {
	// upstream is the ID of the incarnation that crashed.
	upstream string
	at       time.Time
	parts    map[Part]*presence
	// requests are the requests that were at the upstream, whatever their answers had proved.
	requests map[fingerprint.Fingerprint]bool
}

// presence lists who sent a part to an upstream that crashed before its answer proved the part sound.
type presence struct {
	by map[sender]bool
	// answered reports that a sender's instance knew of a recent answer on the part.
	answered bool
}

// isIn reports whether the part was in a request of an account, or in any request if account is empty.
func (a *presence) isIn(account string) bool {
	for by := range a.by {
		if account == "" || by.account == account {
			return true
		}
	}
	return false
}

// sender is a request that was at a crashed upstream, and the instance that reported it.
type sender struct {
	account, instance string
	request           fingerprint.Fingerprint
}

// crashKey identifies a crashed process. Where the incarnation is unknown, processes that crashed at the same
// address are told apart by the second of the crash.
type crashKey struct {
	process
	second int64
}

func keyOfCrash(key endingKey, at time.Time) crashKey {
	k := crashKey{process: process{key.Address, key.Incarnation}}
	if key.Incarnation == "" {
		k.second = at.Unix()
	}
	return k
}

// noteCrashes adds the crashes that the endings of a record tell of. t.mu must be held.
func (t *Table) noteCrashes(e *entry, endings map[endingKey]ending) {
	for key := range endings {
		known, kept := e.endings[key]
		if !kept || known.Crash == 0 {
			continue
		}
		c := t.crashOf(key, known.At)
		if c.add(e, key, &known.Suspects) {
			t.parts.changed = true
			t.parts.notePresent(c)
		}
	}
	t.numCrashes.Store(int64(len(t.parts.crashes)))
}

// notePresent brings lastPresent up to date with a crash.
func (s *partJudge) notePresent(c *upstreamCrash) {
	for p := range c.parts {
		if c.at.After(s.lastPresent[p]) {
			s.lastPresent[p] = c.at
		}
	}
}

// crashOf returns the crash of the process whose connection ended, adding it if it is new.
func (t *Table) crashOf(key endingKey, at time.Time) *upstreamCrash {
	k := keyOfCrash(key, at)
	if c := t.parts.crashes[k]; c != nil {
		if at.Before(c.at) {
			c.at = at
		}
		return c
	}
	c := &upstreamCrash{
		upstream: key.ID, at: at, parts: map[Part]*presence{}, requests: map[fingerprint.Fingerprint]bool{},
	}
	if len(t.parts.crashes) >= maxUpstreamCrashes {
		delete(t.parts.crashes, t.parts.ordered()[0])
	}
	t.parts.crashes[k] = c
	t.parts.changed = true
	return c
}

// add adds one request that was at the upstream, and reports whether that is new.
func (c *upstreamCrash) add(e *entry, key endingKey, s *suspects) (changed bool) {
	if !c.requests[e.Fingerprint] && len(c.requests) < maxPartsAtCrash {
		c.requests[e.Fingerprint] = true
		changed = true
	}
	by := sender{account: e.Account, instance: key.Instance, request: e.Fingerprint}
	for _, id := range s.Unanswered {
		changed = c.addPart(Part{s.Service, s.Model, id}, by, false) || changed
	}
	for _, id := range s.Answered {
		changed = c.addPart(Part{s.Service, s.Model, id}, by, true) || changed
	}
	return changed
}

func (c *upstreamCrash) addPart(p Part, by sender, answered bool) (changed bool) {
	a := c.parts[p]
	if a == nil {
		if len(c.parts) >= maxPartsAtCrash {
			return false
		}
		a = &presence{by: map[sender]bool{}}
		c.parts[p] = a
	}
	if a.by[by] || len(a.by) >= maxSenders {
		return false
	}
	a.by[by] = true
	a.answered = a.answered || answered
	return true
}

// ordered returns the keys of the crashes, the oldest first.
func (s *partJudge) ordered() []crashKey {
	return slices.SortedFunc(maps.Keys(s.crashes), func(a, b crashKey) int {
		return cmp.Or(s.crashes[a].at.Compare(s.crashes[b].at), cmp.Compare(a.address, b.address),
			cmp.Compare(a.incarnation, b.incarnation), cmp.Compare(a.second, b.second))
	})
}

// expireCrashes removes the crashes older than crashLifetime. t.mu must be held.
func (t *Table) expireCrashes(now time.Time) {
	maps.DeleteFunc(t.parts.crashes, func(_ crashKey, c *upstreamCrash) bool { return now.Sub(c.at) > crashLifetime })
	clear(t.parts.lastPresent)
	for _, c := range t.parts.crashes {
		t.parts.notePresent(c)
	}
	t.numCrashes.Store(int64(len(t.parts.crashes)))
}
