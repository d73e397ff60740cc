// Package member keeps what one instance knows of the others: from the
// platform's lagging list, from heartbeats, and from every message that comes.
// Nothing that must be safe depends on its being right; it decides whom to ask
// first and when to work around somebody.
package member

import (
	"math/rand/v2"
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
	// member is the newest that is known of it; replaced, never changed.
	member *memberpb.Member
	// heard is the last sign of life, stated when its state was learned.
	heard, stated time.Time
	// missed says that it has not answered this instance's last heartbeat.
	missed bool
	// scores holds the member's scores for the keys that were asked for.
	scores map[string]uint64
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
	draw   func(n int) int

	mu      sync.Mutex
	self    *memberpb.Member
	entries map[string]*entry
	byName  map[string]string // name → newest incarnation
	next    int
	news    news
	turns   []string // incarnations whose heartbeats are still due in this order
	// suspected are those whose time to refute it runs.
	suspected map[string]*entry
	hash      uint64
	hashed    bool // hash is that of the present entries
	views     views
}

// Config sizes a table.
type Config struct {
	// Self is this instance.
	Self *memberpb.Member
	// Silent is how long a peer may be silent before others work around it; 0 leaves that
	// to the states that instances tell each other (see Prober), which need no message from
	// each member to each other one.
	Silent time.Duration
	// Heartbeat is the time between two rounds of heartbeats.
	Heartbeat time.Duration
	// Fanout is how many peers one round goes to.
	Fanout int
	// Now is the clock.
	Now func() time.Time
	// Draw returns a number below n, at random; nil for the process's own source.
	Draw func(n int) int
}

// DefaultFanout bounds a round of heartbeats, so that an instance's heartbeat
// traffic does not grow with the fleet.
const DefaultFanout = 8

// NewTable returns a table that knows this instance only.
func NewTable(cfg Config) *Table {
	t := &Table{
		identity:  cfg.Self,
		self:      cfg.Self,
		bound:     cfg.Silent,
		fanout:    cfg.Fanout,
		beat:      cfg.Heartbeat,
		now:       cfg.Now,
		draw:      cfg.Draw,
		entries:   map[string]*entry{},
		byName:    map[string]string{},
		news:      news{},
		suspected: map[string]*entry{},
	}
	if t.draw == nil {
		t.draw = rand.IntN
	}
	t.entries[cfg.Self.Incarnation] = &entry{member: cfg.Self, heard: cfg.Now()}
	t.byName[cfg.Self.Name] = cfg.Self.Incarnation
	return t
}

// Learn takes in a member. Direct knowledge, a message from the member itself,
// counts as a sign of life; hearsay only makes it known. Incarnations rise with
// time, so an older one of the same name never replaces a newer one.
func (t *Table) Learn(m *memberpb.Member, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learn(m, direct)
}

func (t *Table) learn(m *memberpb.Member, direct bool) {
	if m == nil || m.Incarnation == "" {
		return
	}
	if m.Incarnation == t.identity.Incarnation {
		t.refute(m)
		return
	}
	e := t.entries[m.Incarnation]
	if e == nil {
		if e = t.add(m, direct); e == nil {
			return
		}
	}
	if direct {
		t.signOfLife(e)
	}
	if supersedes(m, e.member) {
		t.restate(e, m)
	}
}

// add takes in an incarnation that is not known; nil for one that is not worth it.
func (t *Table) add(m *memberpb.Member, direct bool) *entry {
	if newest := t.byName[m.Name]; newest > m.Incarnation {
		return nil
	}
	if m.State == memberpb.State_SILENT && !direct {
		return nil
	}
	e := &entry{member: m, heard: t.now(), stated: t.now()}
	t.entries[m.Incarnation] = e
	t.byName[m.Name] = m.Incarnation
	t.news.add(m.Incarnation)
	t.changed()
	return e
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
		t.signOfLife(e)
	}
}

// MarkLeaving notes that this instance leaves.
func (t *Table) MarkLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	leaving := restated(t.self, memberpb.State_ALIVE, t.self.Revision+1)
	leaving.Leaving = true
	t.setSelf(leaving)
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
	if t.bound == 0 {
		return t.statedSilent(e)
	}
	return t.now().Sub(e.heard) > t.silentBound()
}

// HeardWithin reports whether the newest incarnation of a name has been heard of, or
// learned of, within a time; where others are asked for signs of life, whether it has been
// taken for live within that time.
func (t *Table) HeardWithin(name string, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[t.byName[name]]
	if e == nil || e.member.Leaving {
		return false
	}
	if t.bound == 0 {
		return !t.statedSilent(e) || t.now().Sub(e.stated) <= within
	}
	return t.now().Sub(e.heard) <= within
}

// LiveNamed returns the newest incarnation of a name if it is neither silent nor leaving, empty
// if there is none, and whether one is known at all.
func (t *Table) LiveNamed(name string) (incarnation string, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	incarnation = t.byName[name]
	e := t.entries[incarnation]
	if e == nil {
		return "", false
	}
	if e.member.Leaving || t.silent(incarnation) {
		return "", true
	}
	return incarnation, true
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
	return slices.Clone(t.live())
}

// CountLive returns how many members Live returns.
func (t *Table) CountLive() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.live())
}

// live returns the live members in a slice that is not to be changed; t.mu is held.
func (t *Table) live() []*memberpb.Member {
	if t.views.live != nil && t.keepsViews() {
		return t.views.live
	}
	out := make([]*memberpb.Member, 0, len(t.entries))
	for incarnation, e := range t.entries {
		if !e.member.Leaving && !t.silent(incarnation) {
			out = append(out, e.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Incarnation < out[j].Incarnation })
	t.views.live = out
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
	t.forgetOld()
	peers := make([]*memberpb.Member, 0, len(t.entries))
	for incarnation, e := range t.entries {
		if incarnation != t.identity.Incarnation {
			peers = append(peers, e.member)
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Incarnation < peers[j].Incarnation })
	return t.rotate(peers)
}

// forgetOld forgets those that have been silent for long, and the replaced ones; t.mu is held.
func (t *Table) forgetOld() {
	for incarnation, e := range t.entries {
		if incarnation == t.identity.Incarnation || !t.silent(incarnation) {
			continue
		}
		replaced := t.byName[e.member.Name] != incarnation
		last := e.heard
		if e.stated.After(last) {
			last = e.stated
		}
		if replaced || t.now().Sub(last) > forgetAfter {
			t.forget(incarnation, e)
		}
	}
}

func (t *Table) forget(incarnation string, e *entry) {
	delete(t.entries, incarnation)
	delete(t.suspected, incarnation)
	t.news.drop(incarnation)
	t.changed()
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
