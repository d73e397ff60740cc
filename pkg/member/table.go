// Package member maintains one instance's view of the fleet's membership. It is built from the
// platform's list, which lags, from heartbeats and from every message received. No safety property
// depends on its accuracy: it only decides which instance to contact first and when to work around
// an instance.
package member

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// forgetAfter is how long an incarnation stays in the table after it has become silent.
const forgetAfter = 10 * time.Minute

// entry is the table's record of one incarnation of an instance.
type entry struct {
	// member is the newest known state; it is replaced, never modified.
	member *memberpb.Member
	// lastHeard is the time of the incarnation's last message, stateLearned the time when this
	// instance learned its present state.
	lastHeard, stateLearned time.Time
	// missedHeartbeat says that the incarnation has not answered this instance's last heartbeat.
	missedHeartbeat bool
	// scores caches the member's scores by key.
	scores map[string]uint64
}

// Table holds the known incarnations. It is safe for concurrent use.
type Table struct {
	// identity is this instance's member record at the start; its fields never change. self is the
	// record as disseminated now; it is read and replaced only with mu held.
	identity *memberpb.Member

	silenceTimeout    time.Duration
	fanout            int
	heartbeatInterval time.Duration
	now               func() time.Time
	randIntN          func(n int) int

	mu             sync.Mutex
	self           *memberpb.Member
	entries        map[string]*entry
	byName         map[string]string // name → newest incarnation
	nextPeer       int
	updates        pendingUpdates
	heartbeatQueue []string // incarnations to visit next, in this order
	// suspected holds members whose suspicionTimeout has not passed yet.
	suspected map[string]*entry
	hash      uint64
	hashValid bool // hash matches the present entries
	cache     viewCache
}

// Config configures a table.
type Config struct {
	// Self is this instance.
	Self *memberpb.Member
	// SilenceTimeout is how long a peer may be silent before others work around it. If it is 0,
	// silence is a state that instances disseminate (see Gossip.Run), which does not require
	// messages between every two members.
	SilenceTimeout time.Duration
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval time.Duration
	// Fanout is how many peers receive a heartbeat in one round.
	Fanout int
	// Now returns the current time.
	Now func() time.Time
	// RandIntN returns a random number in [0, n). If it is nil, rand.IntN is used.
	RandIntN func(n int) int
}

// DefaultFanout bounds a round of heartbeats, so that an instance's heartbeat traffic does not grow
// with the fleet.
const DefaultFanout = 8

// NewTable returns a table that contains only this instance.
func NewTable(cfg Config) *Table {
	t := &Table{
		identity:          cfg.Self,
		self:              cfg.Self,
		silenceTimeout:    cfg.SilenceTimeout,
		fanout:            cfg.Fanout,
		heartbeatInterval: cfg.HeartbeatInterval,
		now:               cfg.Now,
		randIntN:          cfg.RandIntN,
		entries:           map[string]*entry{},
		byName:            map[string]string{},
		updates:           pendingUpdates{},
		suspected:         map[string]*entry{},
	}
	if t.randIntN == nil {
		t.randIntN = rand.IntN
	}
	t.entries[cfg.Self.Incarnation] = &entry{member: cfg.Self, lastHeard: cfg.Now()}
	t.byName[cfg.Self.Name] = cfg.Self.Incarnation
	return t
}

// Learn merges a record of a member into the table. If direct is set, the record came from the member
// itself, which proves that it is alive; a record from another source only adds the member.
// Incarnations increase with time, so an older one of the same name never replaces a newer one.
func (t *Table) Learn(m *memberpb.Member, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(m, direct)
}

func (t *Table) merge(m *memberpb.Member, direct bool) {
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
		t.markHeard(e)
	}
	if supersedes(m, e.member) {
		t.replaceMember(e, m)
	}
}

// add creates the entry of an unknown incarnation. It returns nil if a newer incarnation of the
// name is known, or if another instance reports it as silent.
func (t *Table) add(m *memberpb.Member, direct bool) *entry {
	if newest := t.byName[m.Name]; newest > m.Incarnation {
		return nil
	}
	if m.State == memberpb.State_SILENT && !direct {
		return nil
	}
	e := &entry{member: m, lastHeard: t.now(), stateLearned: t.now()}
	t.entries[m.Incarnation] = e
	t.byName[m.Name] = m.Incarnation
	t.updates.add(m.Incarnation)
	t.invalidateCache()
	return e
}

// NoteSuccessor records that the process which now answers at an incarnation's address is successor, a
// newer incarnation of the same name.
func (t *Table) NoteSuccessor(incarnation, successor string) {
	var before *memberpb.Member // never modified, only replaced in its entry: safe to read unlocked
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

// MarkHeard records that an incarnation has sent a message.
func (t *Table) MarkHeard(incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[incarnation]; e != nil {
		t.markHeard(e)
	}
}

// MarkLeaving records and disseminates that this instance leaves.
func (t *Table) MarkLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	leaving := withState(t.self, memberpb.State_ALIVE, t.self.Revision+1)
	leaving.Leaving = true
	t.setSelf(leaving)
}

// Self returns this instance's member record as sent to others.
func (t *Table) Self() *memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// effectiveSilenceTimeout returns the silence timeout, which grows with the fleet: with a bounded
// fan-out each peer sends heartbeats to this instance less often, and a peer is silent only after it
// has missed three.
func (t *Table) effectiveSilenceTimeout() time.Duration {
	const missedHeartbeats = 3
	interval := time.Duration(float64(t.heartbeatInterval) * float64(len(t.entries)) / float64(2*t.fanout))
	return max(t.silenceTimeout, missedHeartbeats*interval)
}

// Silent reports whether an incarnation has sent no message for the silence timeout or, without a
// timeout, is declared silent. An incarnation that was replaced by a newer one of its name remains
// silent. Unknown incarnations are silent.
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
	if t.silenceTimeout == 0 {
		return t.isDeclaredSilent(e)
	}
	return t.now().Sub(e.lastHeard) > t.effectiveSilenceTimeout()
}

// HeardWithin reports whether the newest incarnation of a name has sent a message, or was added to the
// table, within a time. Where silence is a disseminated state, it reports instead whether the
// incarnation is not declared silent, or was declared silent within that time. It is false for a
// member that leaves.
func (t *Table) HeardWithin(name string, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[t.byName[name]]
	if e == nil || e.member.Leaving {
		return false
	}
	if t.silenceTimeout == 0 {
		return !t.isDeclaredSilent(e) || t.now().Sub(e.stateLearned) <= within
	}
	return t.now().Sub(e.lastHeard) <= within
}

// LiveByName returns the newest incarnation of a name if it is neither silent nor leaving, or else
// an empty string, and whether any incarnation of the name is known.
func (t *Table) LiveByName(name string) (incarnation string, known bool) {
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

// Address returns the peer address of an incarnation, or an empty string if it is unknown.
func (t *Table) Address(incarnation string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[incarnation]; e != nil {
		return e.member.PeerAddress
	}
	return ""
}

// Live returns the members that are neither silent nor leaving, including this instance unless it
// leaves, ordered by incarnation.
func (t *Table) Live() []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.live())
}

// CountLive returns the number of members that Live returns.
func (t *Table) CountLive() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.live())
}

// live returns the live members in a shared slice that must not be modified; t.mu is held.
func (t *Table) live() []*memberpb.Member {
	if t.cache.live != nil && t.canCache() {
		return t.cache.live
	}
	out := make([]*memberpb.Member, 0, len(t.entries))
	for incarnation, e := range t.entries {
		if !e.member.Leaving && !t.silent(incarnation) {
			out = append(out, e.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Incarnation < out[j].Incarnation })
	t.cache.live = out
	return out
}

// Others returns the live members except this instance.
func (t *Table) Others() []*memberpb.Member {
	return slices.DeleteFunc(t.Live(), func(m *memberpb.Member) bool {
		return m.Incarnation == t.identity.Incarnation
	})
}

// Count returns how many instance names are known, including silent instances but not those that
// leave.
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

// NextRound returns the peers to send the next round of heartbeats to, including silent ones, since
// they may be back. It also removes entries that have been silent for forgetAfter.
func (t *Table) NextRound() []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetExpired()
	peers := make([]*memberpb.Member, 0, len(t.entries))
	for incarnation, e := range t.entries {
		if incarnation != t.identity.Incarnation {
			peers = append(peers, e.member)
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Incarnation < peers[j].Incarnation })
	return t.rotate(peers)
}

// forgetExpired removes entries that have been silent for forgetAfter or were replaced by a newer
// incarnation; t.mu is held.
func (t *Table) forgetExpired() {
	for incarnation, e := range t.entries {
		if incarnation == t.identity.Incarnation || !t.silent(incarnation) {
			continue
		}
		replaced := t.byName[e.member.Name] != incarnation
		last := e.lastHeard
		if e.stateLearned.After(last) {
			last = e.stateLearned
		}
		if replaced || t.now().Sub(last) > forgetAfter {
			t.forget(incarnation, e)
		}
	}
}

func (t *Table) forget(incarnation string, e *entry) {
	delete(t.entries, incarnation)
	delete(t.suspected, incarnation)
	t.updates.remove(incarnation)
	t.invalidateCache()
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
		round = append(round, peers[(t.nextPeer+i)%len(peers)])
	}
	t.nextPeer = (t.nextPeer + t.fanout) % len(peers)
	return round
}

// View describes one member to operators.
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

// View returns a description of every known member, ordered by incarnation.
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
			Heard:       t.now().Sub(e.lastHeard),
		})
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Incarnation < views[j].Incarnation })
	return views
}
