// Package meeting has the instances of a fleet find each other: through the seeds that settings name,
// and through entries that some of them keep in the platform's store. From the first contact on
// heartbeats tell who else there is.
package meeting

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/member"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Kind is the kind of the instances' own entries in the store.
const Kind = "instances"

// How instances meet.
const (
	// meetRetry is how often an instance that knows no other looks for one.
	meetRetry = 250 * time.Millisecond
	// seedsFirst is how often it asks the seeds in vain before it asks the store: machines
	// that start together refuse connections for some hundred milliseconds.
	seedsFirst = 4
	// storeRetry is how often it reads the store's list while it knows no other.
	storeRetry = 2 * time.Second
	// meetAgain is how often one that knows others looks for more: at seeds that are no members, and a
	// registrar in the store's list as well. Groups that started apart, or were cut off from each other
	// for longer than members are remembered, find each other through it. meetSoon is the time to the
	// first such look: groups that start apart do so in the same seconds.
	meetAgain = 10 * time.Second
	meetSoon  = 2 * time.Second
	// vainTries is how often instances that the store lists are asked in vain before this one takes
	// itself for the only one: those that start at the same time do not answer yet.
	vainTries = 3
	// joinsAtOnce bounds the listed instances that are asked together. Others are drawn each time.
	joinsAtOnce = 8
	// settlesWithin is how long after the first contact the others count as known, though
	// answers may still show other tables because instances come all the time. Tables are whole
	// within 1.3 s where 295 start at once.
	settlesWithin = 2 * time.Second
	// registrars is how many instances of a region have an entry in the store, for those whose
	// seeds are all gone. If each had one, a start of all would be as many writes, and as many
	// lists of all.
	registrars = 3
	// registrarKey is what the instances of a region are ranked for (rendezvous hashing) to
	// have an entry.
	registrarKey = "registrars"
)

// Config says who this instance is and whom it is told of.
type Config struct {
	// Name is this instance's name, Address where others reach it.
	Name, Address string
	// Seeds are addresses of other instances.
	Seeds []string
}

// Gossip exchanges what is known of the members.
type Gossip interface {
	// Join makes this instance known at an address and learns whom that instance knows.
	Join(ctx context.Context, address string) error
	// Agreed reports whether other instances have shown the same members.
	Converged() bool
}

// Deps is what a meeting works with.
type Deps struct {
	Table  *member.Table
	Gossip Gossip
	Store  store.Lister
	Log    *eventlog.Log
}

// Meeting is how far this instance has met the others. It is safe for concurrent use.
type Meeting struct {
	Config
	Deps

	// first is when another was first met; nil before.
	first atomic.Pointer[time.Time]
	// looks counts the looks for more since then; touched by Run only.
	looks int
	// nobody says that the store lists nobody that answers.
	nobody atomic.Bool
	// registered says that the store has this instance's entry; it may lose it.
	registered atomic.Bool
}

// New returns a meeting; Run must be called.
func New(cfg Config, deps Deps) *Meeting { return &Meeting{Config: cfg, Deps: deps} }

// Joined reports whether the others are known.
func (m *Meeting) Joined() bool {
	if m.nobody.Load() || m.Gossip.Converged() {
		return true
	}
	first := m.first.Load()
	return first != nil && time.Since(*first) > settlesWithin
}

// FoundNobody reports that the store was read and lists nobody else that answers.
func (m *Meeting) FoundNobody() bool { return m.nobody.Load() }

// IsRegistrar reports whether this instance is one of those of its region that keep entries in the
// store.
func (m *Meeting) IsRegistrar() bool { return m.Table.RankInRegion(registrarKey) < registrars }

// StoreWentBack says that the store may have lost this instance's entry.
func (m *Meeting) StoreWentBack() { m.registered.Store(false) }

// Run makes this instance known and learns of the others until ctx ends: from the seeds, and from the
// store where no seed answers.
func (m *Meeting) Run(ctx context.Context) {
	for failed := 0; ctx.Err() == nil; {
		var interval time.Duration
		if !m.joinSeeds(ctx) && m.alone() {
			failed++
			interval = m.lookAlone(ctx, failed)
		} else {
			interval = m.lookForMore(ctx)
		}
		m.registerIfRanked(ctx)
		pause.For(ctx, interval/2+rand.N(interval))
	}
}

// lookAlone looks for others in the store, once seeds were asked in vain for long enough. It returns
// the time to the next look.
func (m *Meeting) lookAlone(ctx context.Context, failed int) time.Duration {
	if failed < seedsFirst && len(m.Seeds) > 0 {
		return meetRetry
	}
	m.meetThroughStore(ctx)
	if m.alone() {
		return storeRetry
	}
	return meetSoon
}

// lookForMore has a registrar send to those that the store lists and this group does not know. It
// returns the time to the next look.
func (m *Meeting) lookForMore(ctx context.Context) time.Duration {
	m.looks++
	if m.looks == 1 {
		return meetSoon // most of the others are still on their way
	}
	if !m.IsRegistrar() {
		return meetAgain
	}
	if listed, err := m.list(ctx); err == nil {
		m.joinListed(ctx, listed)
	}
	return meetAgain
}

// MeetAt makes the instance at an address known; if it does not answer it is not.
func (m *Meeting) MeetAt(ctx context.Context, address string) {
	if err := m.Gossip.Join(ctx, address); err != nil {
		m.Log.Event(eventlog.MembersUnknown, "", eventlog.Fields{"step": "meet", "peer": address, "cause": err.Error()})
	}
}

// met notes that another instance was met.
func (m *Meeting) met() {
	now := time.Now()
	m.first.CompareAndSwap(nil, &now)
}

func (m *Meeting) alone() bool { return len(m.Table.Others()) == 0 }

// joinSeeds sends to the seeds that are no members, and reports whether one answered.
func (m *Meeting) joinSeeds(ctx context.Context) bool { return m.joinAll(ctx, m.UnmetSeeds()) }

// joinAll sends to all of some addresses at once, and reports whether one answered.
func (m *Meeting) joinAll(ctx context.Context, addresses []string) bool {
	var answered atomic.Bool
	var asked sync.WaitGroup
	for _, address := range addresses {
		asked.Go(func() {
			if m.Gossip.Join(ctx, address) == nil {
				answered.Store(true)
				m.met()
			}
		})
	}
	asked.Wait()
	return answered.Load()
}

// UnmetSeeds returns the seeds' addresses at which no member is known to live.
func (m *Meeting) UnmetSeeds() []string { return m.unmet(m.Seeds) }

// unmet returns those of some addresses at which no member is known to live.
func (m *Meeting) unmet(addresses []string) []string {
	known := map[string]bool{m.Address: true}
	for _, other := range m.Table.Others() {
		known[other.PeerAddress] = true
	}
	var unmet []string
	for _, address := range addresses {
		if !known[address] {
			unmet = append(unmet, address)
		}
	}
	return unmet
}

// meetThroughStore registers this instance and sends to those that the store lists. A group of
// instances that all lack their seeds meets in this way: each finds what was written before its
// own entry, so of two at least one finds the other.
func (m *Meeting) meetThroughStore(ctx context.Context) {
	if !m.registered.Load() {
		m.register(ctx)
	}
	listed, err := m.list(ctx)
	if err != nil {
		return
	}
	for try := range vainTries {
		if try > 0 {
			pause.For(ctx, meetRetry)
		}
		if !m.alone() || m.joinListed(ctx, listed) {
			return
		}
		if len(m.unmet(listed)) == 0 {
			break
		}
	}
	m.nobody.Store(true)
}

// list reads the addresses of the store's entries.
func (m *Meeting) list(ctx context.Context) ([]string, error) {
	list, err := m.Store.List(ctx, Kind)
	if err != nil {
		m.Log.Event(eventlog.MembersUnknown, "", eventlog.Fields{"step": "list instances", "cause": err.Error()})
		return nil, err
	}
	var addresses []string
	for _, object := range list.Objects {
		var other memberpb.Member
		if err := json.Unmarshal(object.Value, &other); err != nil {
			m.Log.Event(eventlog.ConfigRejected, "", eventlog.Fields{"peer": object.Key, "cause": err.Error()})
			continue
		}
		addresses = append(addresses, other.PeerAddress)
	}
	return addresses, nil
}

// joinListed sends to some listed instances that are no members, and reports whether one answered.
func (m *Meeting) joinListed(ctx context.Context, listed []string) bool {
	unmet := m.unmet(listed)
	rand.Shuffle(len(unmet), func(i, j int) { unmet[i], unmet[j] = unmet[j], unmet[i] })
	return m.joinAll(ctx, unmet[:min(joinsAtOnce, len(unmet))])
}

// registerIfRanked writes this instance's entry if it is one of those that have one.
func (m *Meeting) registerIfRanked(ctx context.Context) {
	if !m.registered.Load() && m.Joined() && m.IsRegistrar() {
		m.register(ctx)
	}
}

// register writes this instance's entry; what failed is tried again later.
func (m *Meeting) register(ctx context.Context) {
	value, err := json.Marshal(m.Table.Self())
	if err == nil {
		change := func([]byte) ([]byte, error) { return value, nil }
		err = store.Update(ctx, m.Store, Kind+"/"+m.Name, change)
	}
	if err != nil {
		m.Log.Event(eventlog.MembersUnknown, "", eventlog.Fields{"step": "register", "cause": err.Error()})
		return
	}
	m.registered.Store(true)
}
