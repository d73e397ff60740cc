package member

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// Bounds on the updates about other members that heartbeats carry.
const (
	// maxUpdatesPerMessage bounds the members in one message: 64 of 90 bytes each are about 6 kB,
	// or 5 ms on a 10 Mbit/s link. With a bound of 24, 295 instances that start at once took twice
	// as long until they knew each other.
	maxUpdatesPerMessage = 64
	// extraTransmissions is how often each instance sends an update beyond the logarithm of the
	// fleet size. The logarithm is what epidemic dissemination needs on average, since each round
	// doubles the number of informed instances. Instances that it misses are found by comparing
	// table hashes.
	extraTransmissions = 2
)

// pendingUpdates counts, by incarnation, how often this instance has sent the latest update about
// that member.
type pendingUpdates map[string]int

func (p pendingUpdates) add(incarnation string)    { p[incarnation] = 0 }
func (p pendingUpdates) remove(incarnation string) { delete(p, incarnation) }

// nextUpdates returns the members to include in a message, those sent least often first, and
// counts the transmission; t.mu is held.
func (t *Table) nextUpdates() []*memberpb.Member {
	pending := make([]string, 0, len(t.updates))
	for incarnation := range t.updates {
		pending = append(pending, incarnation)
	}
	sort.Slice(pending, func(i, j int) bool {
		a, b := t.updates[pending[i]], t.updates[pending[j]]
		return a < b || (a == b && pending[i] < pending[j])
	})
	pending = pending[:min(len(pending), maxUpdatesPerMessage)]
	maxTransmissions := bits.Len(uint(len(t.entries))) + extraTransmissions
	updates := make([]*memberpb.Member, 0, len(pending))
	for _, incarnation := range pending {
		updates = append(updates, t.entries[incarnation].member)
		t.updates[incarnation]++
		if t.updates[incarnation] >= maxTransmissions {
			t.updates.remove(incarnation)
		}
	}
	return updates
}

// UpdatesFor returns the members to include in a message to a member: recent updates, and the
// receiver itself if it is suspected or silent, since only the receiver can refute that.
func (t *Table) UpdatesFor(incarnation string) []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[incarnation]
	var updates []*memberpb.Member
	// A member that missed a heartbeat may have crashed: updates sent to it would count as sent
	// but reach no instance.
	if e == nil || !e.missedHeartbeat {
		updates = t.nextUpdates()
	}
	if e != nil && e.member.State != memberpb.State_ALIVE {
		updates = append(updates, e.member)
	}
	return updates
}

// needsFullTable reports whether requesting another instance's full table is useful: either no
// updates are pending that could explain a difference, or there are so many that a full table is
// smaller.
func (t *Table) needsFullTable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.updates) == 0 || len(t.updates) > maxUpdatesPerMessage
}

// Hash returns a hash that is equal for tables with the same live members.
func (t *Table) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hashValid {
		t.hash, t.hashValid = t.hashLive(), true
	}
	return t.hash
}

func (t *Table) hashLive() uint64 {
	var sum uint64
	for incarnation, e := range t.entries {
		if t.byName[e.member.Name] == incarnation && e.member.State != memberpb.State_SILENT && !e.member.Leaving {
			sum ^= xxhash.Sum64String(incarnation)
		}
	}
	return sum
}

// FullTable returns the newest incarnation of every known member, to be sent to an instance that
// may know fewer.
func (t *Table) FullTable() []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]*memberpb.Member, 0, len(t.entries))
	for incarnation, e := range t.entries {
		if t.byName[e.member.Name] == incarnation {
			members = append(members, e.member)
		}
	}
	return members
}

// MergeFullTable merges another instance's full table. Its entries are not queued as updates: the
// sender and others have disseminated them already, and a full table of updates from each joining
// instance would crowd out updates that no other instance has.
func (t *Table) MergeFullTable(members []*memberpb.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		transmissions, pending := t.updates[m.Incarnation]
		t.merge(m, false)
		switch {
		case m.Incarnation == t.identity.Incarnation: // a refutation must be disseminated
		case pending:
			t.updates[m.Incarnation] = transmissions
		default:
			t.updates.remove(m.Incarnation)
		}
	}
}
