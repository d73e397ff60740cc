package member

import (
	"google.golang.org/protobuf/proto"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// Updates about a member are totally ordered, so that all instances that receive the same updates
// reach the same state, in whatever order the updates arrive: leaving is final; otherwise the higher
// revision wins, and within one revision the worse state. Only the member itself raises its
// revision. A delayed "silent" therefore never overrides the member's refutation, and a refutation
// needs no agreement.

// supersedes reports whether an update about a member replaces the known state of the same
// incarnation.
func supersedes(update, known *memberpb.Member) bool {
	if update.Leaving != known.Leaving {
		return update.Leaving
	}
	if update.Revision != known.Revision {
		return update.Revision > known.Revision
	}
	return update.State > known.State
}

// withState returns a copy of a member with another state and revision.
func withState(m *memberpb.Member, state memberpb.State, revision uint64) *memberpb.Member {
	out := proto.CloneOf(m)
	out.State, out.Revision = state, revision
	return out
}

// replaceMember replaces the known state of a member and queues the update for dissemination; t.mu
// is held.
func (t *Table) replaceMember(e *entry, m *memberpb.Member) {
	e.member, e.stateLearned = m, t.now()
	t.updates.add(m.Incarnation)
	t.invalidateCache()
	if m.State == memberpb.State_SUSPECT {
		t.suspected[m.Incarnation] = e
	}
}

// markHeard records that a member has sent a message; t.mu is held. If the member is suspected or
// silent, that state is disseminated again, also to the member itself: only the member can refute the
// state, and until it does, other instances treat the member as suspected or silent.
func (t *Table) markHeard(e *entry) {
	e.lastHeard, e.missedHeartbeat = t.now(), false
	if e.member.State != memberpb.State_ALIVE {
		t.updates.add(e.member.Incarnation)
		t.cache = viewCache{}
	}
}

// isDeclaredSilent reports whether a member's state is silent and it has sent no message since that
// state was learned; t.mu is held.
func (t *Table) isDeclaredSilent(e *entry) bool {
	return e.member.State == memberpb.State_SILENT && !e.lastHeard.After(e.stateLearned)
}

// refute answers a suspicion of this instance with a higher revision; t.mu is held.
func (t *Table) refute(m *memberpb.Member) {
	if m.State != memberpb.State_ALIVE && m.Revision >= t.self.Revision {
		t.setSelf(withState(t.self, memberpb.State_ALIVE, m.Revision+1))
	}
}

// setSelf replaces this instance's own member record; t.mu is held.
func (t *Table) setSelf(self *memberpb.Member) {
	t.self = self
	t.replaceMember(t.entries[self.Incarnation], self)
}

// Suspect marks a member as suspected because it answered no probe.
func (t *Table) Suspect(incarnation string) { t.worsenState(incarnation, memberpb.State_SUSPECT) }

// worsenState sets a member's state unless its present state is as bad or worse, or it leaves.
func (t *Table) worsenState(incarnation string, state memberpb.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[incarnation]
	if e == nil || e.member.State >= state || e.member.Leaving {
		return
	}
	t.replaceMember(e, withState(e.member, state, e.member.Revision))
}

// expireSuspects marks members as silent that have been suspected for suspicionTimeout and have
// neither sent a message nor refuted the suspicion.
func (t *Table) expireSuspects() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation, e := range t.suspected {
		if e.member.State != memberpb.State_SUSPECT || e.lastHeard.After(e.stateLearned) {
			delete(t.suspected, incarnation)
			continue
		}
		if t.now().Sub(e.stateLearned) >= suspicionTimeout {
			delete(t.suspected, incarnation)
			t.replaceMember(e, withState(e.member, memberpb.State_SILENT, e.member.Revision))
		}
	}
}
