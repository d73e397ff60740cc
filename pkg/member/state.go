package member

import (
	"google.golang.org/protobuf/proto"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// What instances tell each other of a third one is ordered, so that all that hear the same
// come to the same, in whatever order it reaches them: that it leaves is final; then the higher
// revision counts, and within one revision the worse state. Only the member itself raises its
// revision. So a late "silent" never outlives the member's refutation, and a refutation needs
// no agreement.

// supersedes reports whether news of a member replaces what is known of the same incarnation.
func supersedes(news, known *memberpb.Member) bool {
	if news.Leaving != known.Leaving {
		return news.Leaving
	}
	if news.Revision != known.Revision {
		return news.Revision > known.Revision
	}
	return news.State > known.State
}

// restated returns a member in another state.
func restated(m *memberpb.Member, state memberpb.State, revision uint64) *memberpb.Member {
	out := proto.CloneOf(m)
	out.State, out.Revision = state, revision
	return out
}

// restate replaces what is known of a member and has it told on; t.mu is held.
func (t *Table) restate(e *entry, m *memberpb.Member) {
	e.member, e.stated = m, t.now()
	t.news.add(m.Incarnation)
	t.changed()
	if m.State == memberpb.State_SUSPECT {
		t.suspected[m.Incarnation] = e
	}
}

// signOfLife notes that a member has spoken; t.mu is held. What others say against it is told
// on again, to the member too: only it can refute that, and until then it holds for others.
func (t *Table) signOfLife(e *entry) {
	e.heard, e.missed = t.now(), false
	if e.member.State != memberpb.State_ALIVE {
		t.news.add(e.member.Incarnation)
		t.views = views{}
	}
}

// statedSilent reports whether a member is taken for silent: its state says so, and it has not
// spoken since; t.mu is held.
func (t *Table) statedSilent(e *entry) bool {
	return e.member.State == memberpb.State_SILENT && !e.heard.After(e.stated)
}

// refute answers a suspicion of this instance by a higher revision; t.mu is held.
func (t *Table) refute(m *memberpb.Member) {
	if m.State != memberpb.State_ALIVE && m.Revision >= t.self.Revision {
		t.setSelf(restated(t.self, memberpb.State_ALIVE, m.Revision+1))
	}
}

// setSelf replaces what this instance says of itself; t.mu is held.
func (t *Table) setSelf(self *memberpb.Member) {
	t.self = self
	t.restate(t.entries[self.Incarnation], self)
}

// Suspect notes that a member answered nobody that probed it.
func (t *Table) Suspect(incarnation string) { t.accuse(incarnation, memberpb.State_SUSPECT) }

// accuse worsens a member's state.
func (t *Table) accuse(incarnation string, state memberpb.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[incarnation]
	if e == nil || e.member.State >= state || e.member.Leaving {
		return
	}
	t.restate(e, restated(e.member, state, e.member.Revision))
}

// expireSuspects takes those for silent that have been suspected for a time and have neither
// spoken nor refuted it.
func (t *Table) expireSuspects() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation, e := range t.suspected {
		if e.member.State != memberpb.State_SUSPECT || e.heard.After(e.stated) {
			delete(t.suspected, incarnation)
			continue
		}
		if t.now().Sub(e.stated) >= suspectFor {
			delete(t.suspected, incarnation)
			t.restate(e, restated(e.member, memberpb.State_SILENT, e.member.Revision))
		}
	}
}
