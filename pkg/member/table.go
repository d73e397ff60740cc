// Package member keeps what one instance knows of the others: from the
// platform's lagging list, from heartbeats, and from every message that comes.
// Nothing that must be safe depends on its being right; it decides whom to ask
// first and when to work around somebody.
package member

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// forgetAfter is how long a silent incarnation is remembered.
const forgetAfter = 10 * time.Minute

// entry is one incarnation of an instance.
type entry struct {
	member *memberpb.Member
	heard  time.Time
}

// Table holds the known incarnations. It is safe for concurrent use.
type Table struct {
	// identity is this instance as it started; its fields never change. self is
	// the same as others see it now, and is read and replaced under mu only.
	identity *memberpb.Member

	bound  time.Duration
	fanout int
	beat   time.Duration
	now    func() time.Time

	mu      sync.Mutex
	self    *memberpb.Member
	entries map[string]*entry
	byName  map[string]string // name → newest incarnation
	next    int
	notify  func(joined *memberpb.Member)
}

// Config sizes a table.
type Config struct {
	// Self is this instance.
	Self *memberpb.Member
	// Silent is how long a peer may be silent before others work around it.
	Silent time.Duration
	// Heartbeat is the time between two rounds of heartbeats.
	Heartbeat time.Duration
	// Fanout is how many peers one round goes to.
	Fanout int
	// Now is the clock.
	Now func() time.Time
	// Joined is told of each incarnation heard of for the first time.
	Joined func(*memberpb.Member)
}

// DefaultFanout bounds a round of heartbeats, so that an instance's heartbeat
// traffic does not grow with the fleet.
const DefaultFanout = 8

// NewTable returns a table that knows this instance only.
func NewTable(cfg Config) *Table {
	t := &Table{
		identity: cfg.Self,
		self:     cfg.Self,
		bound:    cfg.Silent,
		fanout:   cfg.Fanout,
		beat:     cfg.Heartbeat,
		now:      cfg.Now,
		entries:  map[string]*entry{},
		byName:   map[string]string{},
		notify:   cfg.Joined,
	}
	t.entries[cfg.Self.Incarnation] = &entry{member: cfg.Self, heard: cfg.Now()}
	t.byName[cfg.Self.Name] = cfg.Self.Incarnation
	return t
}

// Learn takes in a member. Direct knowledge, a message from the member itself,
// counts as a sign of life; hearsay only makes it known. Incarnations rise with
// time, so an older one of the same name never replaces a newer one.
func (t *Table) Learn(m *memberpb.Member, direct bool) {
	if m == nil || m.Incarnation == "" || m.Incarnation == t.identity.Incarnation {
		return
	}
	joined := t.learn(m, direct)
	if joined && t.notify != nil {
		t.notify(m)
	}
}

func (t *Table) learn(m *memberpb.Member, direct bool) (joined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[m.Incarnation]
	if e == nil {
		if newest := t.byName[m.Name]; newest > m.Incarnation {
			return false
		}
		e = &entry{member: m, heard: t.now()}
		t.entries[m.Incarnation] = e
		t.byName[m.Name] = m.Incarnation
		joined = true
	}
	if direct {
		e.heard = t.now()
	}
	if m.Leaving {
		e.member = m // leaving is never taken back by an older message
	}
	return joined
}

// Succeeded notes that a process answers at an incarnation's address that replaced it.
func (t *Table) Succeeded(incarnation, successor string) {
	var before *memberpb.Member // replaced, never changed, by others that learn
	t.mu.Lock()
	if e := t.entries[incarnation]; e != nil {
		before = e.member
	}
	t.mu.Unlock()
	if before == nil {
		return
	}
	t.Learn(&memberpb.Member{
		Incarnation: successor,
		Name:        before.Name,
		Region:      before.Region,
		Domain:      before.Domain,
		PeerAddress: before.PeerAddress,
	}, true)
}

// Heard notes a sign of life of an incarnation.
func (t *Table) Heard(incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[incarnation]; e != nil {
		e.heard = t.now()
	}
}

// MarkLeaving notes that this instance leaves.
func (t *Table) MarkLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = &memberpb.Member{
		Incarnation: t.identity.Incarnation,
		Name:        t.identity.Name,
		Region:      t.identity.Region,
		Domain:      t.identity.Domain,
		PeerAddress: t.identity.PeerAddress,
		Leaving:     true,
	}
	t.entries[t.identity.Incarnation].member = t.self
}

// Self returns this instance as others see it.
func (t *Table) Self() *memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// silentBound grows with the fleet: with a bounded fan-out each peer is heard
// from less often, and three missed rounds of its turn are a sign.
func (t *Table) silentBound() time.Duration {
	const missedTurns = 3
	turn := time.Duration(float64(t.beat) * float64(len(t.entries)) / float64(2*t.fanout))
	return max(t.bound, missedTurns*turn)
}

// Silent reports whether an incarnation has not been heard of for the bound. An
// incarnation that was replaced by a newer one of its name is silent for good.
func (t *Table) Silent(incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silent(incarnation)
}

func (t *Table) silent(incarnation string) bool {
	if incarnation == t.identity.Incarnation {
		return false
	}
	e := t.entries[incarnation]
	if e == nil || t.byName[e.member.Name] != incarnation {
		return true
	}
	return t.now().Sub(e.heard) > t.silentBound()
}

// HeardWithin reports whether the newest incarnation of a name has been heard of, or
// learned of, within a time.
func (t *Table) HeardWithin(name string, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[t.byName[name]]
	return e != nil && !e.member.Leaving && t.now().Sub(e.heard) <= within
}

// Address returns the peer address of an incarnation; empty if it is unknown.
func (t *Table) Address(incarnation string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[incarnation]; e != nil {
		return e.member.PeerAddress
	}
	return ""
}

// Live returns the members that are neither silent nor leaving, this one too
// unless it leaves, ordered by incarnation.
func (t *Table) Live() []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live()
}

func (t *Table) live() []*memberpb.Member {
	out := make([]*memberpb.Member, 0, len(t.entries))
	for incarnation, e := range t.entries {
		if !e.member.Leaving && !t.silent(incarnation) {
			out = append(out, e.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Incarnation < out[j].Incarnation })
	return out
}

// Others returns the live members but for this one.
func (t *Table) Others() []*memberpb.Member {
	return slices.DeleteFunc(t.Live(), func(m *memberpb.Member) bool {
		return m.Incarnation == t.identity.Incarnation
	})
}

// Count returns how many instances are known by name, silent ones too but not
// those that leave.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, incarnation := range t.byName {
		if e := t.entries[incarnation]; e != nil && !e.member.Leaving {
			count++
		}
	}
	return count
}

// NextRound returns the peers that the next round of heartbeats goes to, silent
// ones too: they may be back. Long silent ones are forgotten here.
func (t *Table) NextRound() []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]*memberpb.Member, 0, len(t.entries))
	for incarnation, e := range t.entries {
		if incarnation == t.identity.Incarnation {
			continue
		}
		replaced := t.byName[e.member.Name] != incarnation
		if t.now().Sub(e.heard) > forgetAfter || (replaced && t.silent(incarnation)) {
			t.forget(incarnation, e)
			continue
		}
		peers = append(peers, e.member)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Incarnation < peers[j].Incarnation })
	return t.rotate(peers)
}

func (t *Table) forget(incarnation string, e *entry) {
	delete(t.entries, incarnation)
	if t.byName[e.member.Name] == incarnation {
		delete(t.byName, e.member.Name)
	}
}

func (t *Table) rotate(peers []*memberpb.Member) []*memberpb.Member {
	if len(peers) <= t.fanout {
		return peers
	}
	round := make([]*memberpb.Member, 0, t.fanout)
	for i := 0; i < t.fanout; i++ {
		round = append(round, peers[(t.next+i)%len(peers)])
	}
	t.next = (t.next + t.fanout) % len(peers)
	return round
}

// View is one member as shown to operators.
type View struct {
	Incarnation string        `json:"incarnation"`
	Name        string        `json:"name"`
	Region      string        `json:"region"`
	Domain      string        `json:"domain"`
	PeerAddress string        `json:"peer_address"`
	Leaving     bool          `json:"leaving"`
	Silent      bool          `json:"silent"`
	Heard       time.Duration `json:"heard_nanos_ago"`
}

// View returns every known member.
func (t *Table) View() []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := make([]View, 0, len(t.entries))
	for incarnation, e := range t.entries {
		views = append(views, View{
			Incarnation: incarnation,
			Name:        e.member.Name,
			Region:      e.member.Region,
			Domain:      e.member.Domain,
			PeerAddress: e.member.PeerAddress,
			Leaving:     e.member.Leaving,
			Silent:      t.silent(incarnation),
			Heard:       t.now().Sub(e.heard),
		})
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Incarnation < views[j].Incarnation })
	return views
}
