package member

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// Bounds of what heartbeats carry of other members.
const (
	// newsPerMessage is how many members one message tells of: some 6 kB at 90 bytes each,
	// 5 ms on a link of 10 Mbit/s. With 24, 295 instances that start at once knew each other
	// after twice the time.
	newsPerMessage = 64
	// spareTellings is how often each instance tells news beyond the logarithm of the fleet's
	// size, which is what an epidemic needs on average (each round doubles those that know);
	// what it misses is found by comparing tables.
	spareTellings = 2
)

// news counts, by incarnation, how often this instance has told what it learned last of it.
type news map[string]int

func (n news) add(incarnation string)  { n[incarnation] = 0 }
func (n news) drop(incarnation string) { delete(n, incarnation) }

// takeNews returns the members that a message tells of, least told first; t.mu is held.
func (t *Table) takeNews() []*memberpb.Member {
	due := make([]string, 0, len(t.news))
	for incarnation := range t.news {
		due = append(due, incarnation)
	}
	sort.Slice(due, func(i, j int) bool {
		a, b := t.news[due[i]], t.news[due[j]]
		return a < b || (a == b && due[i] < due[j])
	})
	due = due[:min(len(due), newsPerMessage)]
	tellings := bits.Len(uint(len(t.entries))) + spareTellings
	told := make([]*memberpb.Member, 0, len(due))
	for _, incarnation := range due {
		told = append(told, t.entries[incarnation].member)
		t.news[incarnation]++
		if t.news[incarnation] >= tellings {
			t.news.drop(incarnation)
		}
	}
	return told
}

// NewsFor returns what a message to a member tells of others: of the receiver itself, if it is
// suspected, since only it can refute that, and what was learned lately.
func (t *Table) NewsFor(incarnation string) []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[incarnation]
	var told []*memberpb.Member
	if e == nil || !e.missed { // what the dead are told is told to nobody
		told = t.takeNews()
	}
	if e != nil && e.member.State != memberpb.State_ALIVE {
		told = append(told, e.member)
	}
	return told
}

// wantsWhole reports that another instance's whole table is of use: no news is on its way that
// would make up the difference, or so much that a table is less.
func (t *Table) wantsWhole() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.news) == 0 || len(t.news) > newsPerMessage
}

// Hash is equal for tables that take the same members for live.
func (t *Table) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hashed {
		t.hash, t.hashed = t.sumOfLive(), true
	}
	return t.hash
}

func (t *Table) sumOfLive() uint64 {
	var sum uint64
	for incarnation, e := range t.entries {
		if t.byName[e.member.Name] == incarnation && e.member.State != memberpb.State_SILENT && !e.member.Leaving {
			sum ^= xxhash.Sum64String(incarnation)
		}
	}
	return sum
}

// Whole returns all that is known, for an instance that knows less.
func (t *Table) Whole() []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	whole := make([]*memberpb.Member, 0, len(t.entries))
	for incarnation, e := range t.entries {
		if t.byName[e.member.Name] == incarnation {
			whole = append(whole, e.member)
		}
	}
	return whole
}

// LearnWhole takes in another instance's whole table. What is new in it is not told on: its
// sender and others have told it, and a table's worth of news from each newcomer would crowd
// out what nobody knows yet.
func (t *Table) LearnWhole(whole []*memberpb.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range whole {
		told, waiting := t.news[m.Incarnation]
		t.learn(m, false)
		switch {
		case m.Incarnation == t.identity.Incarnation: // a refutation has to be told
		case waiting:
			t.news[m.Incarnation] = told
		default:
			t.news.drop(m.Incarnation)
		}
	}
}
