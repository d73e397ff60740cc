// Package meeting lets the instances of a fleet discover each other: through the configured seeds,
// and through entries that some instances keep in the platform's store. After the first contact,
// heartbeats carry the other members.
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

// Kind is the object kind of the instances' entries in the store.
const Kind = "instances"

// Parameters of discovery.
const (
	// retryInterval is how often an instance that knows no other tries its seeds.
	retryInterval = 250 * time.Millisecond
	// minSeedAttempts is how many attempts to join the seeds must fail before the store is read:
	// instances that start together refuse connections for several hundred milliseconds.
	minSeedAttempts = 4
	// storeRetryInterval is how often an instance that knows no other reads the entries in the
	// store.
	storeRetryInterval = 2 * time.Second
	// searchInterval is how often an instance that knows others searches for more: at seeds that are
	// not live members and, if it is a registrar, among the entries in the store. Such searches
	// connect groups of instances that formed separately, or that were partitioned for longer than
	// the member table keeps silent members. firstSearchDelay is the shorter time to the first
	// search, since groups that form separately do so when the fleet starts.
	searchInterval   = 10 * time.Second
	firstSearchDelay = 2 * time.Second
	// maxListedAttempts is how many attempts to join instances listed in the store must fail before
	// this instance concludes that it is the only one: listed instances that start at the same time
	// may not answer yet.
	maxListedAttempts = 3
	// maxConcurrentJoins bounds the listed instances that are contacted at once; each attempt picks
	// them at random.
	maxConcurrentJoins = 8
	// settleTimeout is the time after the first contact from which on this instance counts as joined
	// even if its table has not converged, which joining instances can delay. When 295 instances
	// start at once, their tables converge within 1.3 s.
	settleTimeout = 2 * time.Second
	// numRegistrars is how many instances of a region keep an entry in the store, for instances
	// whose seeds are all gone. If every instance kept one, a simultaneous start of the fleet
	// would cause as many writes, and as many reads of the full list.
	numRegistrars = 3
	// registrarKey is the rendezvous hashing key by which the registrars of a region are chosen.
	registrarKey = "registrars"
)

// Config holds this instance's identity and its seeds.
type Config struct {
	// Name is this instance's name, Address its peer address.
	Name, Address string
	// Seeds are the peer addresses of other instances.
	Seeds []string
}

// Gossip exchanges membership tables with other instances.
type Gossip interface {
	// Join exchanges full tables with the instance at an address.
	Join(ctx context.Context, address string) error
	// Converged reports whether other instances have had the same table as this one.
	Converged() bool
}

// Deps holds the dependencies of a Discovery.
type Deps struct {
	Table  *member.Table
	Gossip Gossip
	Store  store.Lister
	Log    *eventlog.Log
}

// Discovery finds other instances and tracks whether this one has joined them. It is safe for
// concurrent use.
type Discovery struct {
	Config
	Deps

	// firstContact is when another instance first answered; nil before.
	firstContact atomic.Pointer[time.Time]
	// searches counts the searches for further instances; used by Run only.
	searches int
	// foundNobody says that the store was read and lists no other instance that answers.
	foundNobody atomic.Bool
	// registered says that this instance has written its entry; the store may lose it.
	registered atomic.Bool
}

// New returns a Discovery; Run must be called.
func New(cfg Config, deps Deps) *Discovery { return &Discovery{Config: cfg, Deps: deps} }

// Joined reports whether this instance knows the other instances, or has found that there are none.
func (m *Discovery) Joined() bool {
	if m.foundNobody.Load() || m.Gossip.Converged() {
		return true
	}
	first := m.firstContact.Load()
	return first != nil && time.Since(*first) > settleTimeout
}

// FoundNobody reports whether the store was read and lists no other instance that answers.
func (m *Discovery) FoundNobody() bool { return m.foundNobody.Load() }

// IsRegistrar reports whether this instance is one of those in its region that keep an entry in the
// store.
func (m *Discovery) IsRegistrar() bool { return m.Table.RankInRegion(registrarKey) < numRegistrars }

// NoteStoreRollback records that the store was rolled back to an older copy and may have lost this
// instance's entry.
func (m *Discovery) NoteStoreRollback() { m.registered.Store(false) }

// Run announces this instance and discovers others until ctx ends: through the seeds, and through the
// store if no seed answers.
func (m *Discovery) Run(ctx context.Context) {
	for failedAttempts := 0; ctx.Err() == nil; {
		var interval time.Duration
		if !m.joinSeeds(ctx) && m.isAlone() {
			failedAttempts++
			interval = m.searchStoreWhenAlone(ctx, failedAttempts)
		} else {
			interval = m.searchForMore(ctx)
		}
		m.registerIfRanked(ctx)
		pause.For(ctx, interval/2+rand.N(interval))
	}
}

// searchStoreWhenAlone searches for other instances in the store once enough attempts at the seeds
// have failed. It returns the time to the next attempt.
func (m *Discovery) searchStoreWhenAlone(ctx context.Context, failedAttempts int) time.Duration {
	if failedAttempts < minSeedAttempts && len(m.Seeds) > 0 {
		return retryInterval
	}
	m.joinThroughStore(ctx)
	if m.isAlone() {
		return storeRetryInterval
	}
	return firstSearchDelay
}

// searchForMore contacts, if this instance is a registrar, the instances that are listed in the store
// but are not live members. It returns the time to the next search.
func (m *Discovery) searchForMore(ctx context.Context) time.Duration {
	m.searches++
	if m.searches == 1 {
		return firstSearchDelay // most other instances are still starting
	}
	if !m.IsRegistrar() {
		return searchInterval
	}
	if listed, err := m.listAddresses(ctx); err == nil {
		m.joinListed(ctx, listed)
	}
	return searchInterval
}

// DiscoverAt exchanges full tables with the instance at an address, which adds that instance to the
// members. If the exchange fails, the failure is logged.
func (m *Discovery) DiscoverAt(ctx context.Context, address string) {
	if err := m.Gossip.Join(ctx, address); err != nil {
		m.Log.Event(eventlog.MembersUnknown, "", eventlog.Fields{"step": "meet", "peer": address, "cause": err.Error()})
	}
}

// noteContact records the time of the first contact with another instance.
func (m *Discovery) noteContact() {
	now := time.Now()
	m.firstContact.CompareAndSwap(nil, &now)
}

func (m *Discovery) isAlone() bool { return len(m.Table.Others()) == 0 }

// joinSeeds joins the seeds that are not live members, and reports whether one answered.
func (m *Discovery) joinSeeds(ctx context.Context) bool { return m.joinAll(ctx, m.UnknownSeeds()) }

// joinAll joins the instances at all addresses concurrently, and reports whether one answered.
func (m *Discovery) joinAll(ctx context.Context, addresses []string) bool {
	var answered atomic.Bool
	var joins sync.WaitGroup
	for _, address := range addresses {
		joins.Go(func() {
			if m.Gossip.Join(ctx, address) == nil {
				answered.Store(true)
				m.noteContact()
			}
		})
	}
	joins.Wait()
	return answered.Load()
}

// UnknownSeeds returns the addresses of the seeds at which there is no live member.
func (m *Discovery) UnknownSeeds() []string { return m.unknown(m.Seeds) }

// unknown returns the addresses at which there is no live member.
func (m *Discovery) unknown(addresses []string) []string {
	known := map[string]bool{m.Address: true}
	for _, other := range m.Table.Others() {
		known[other.PeerAddress] = true
	}
	var unknown []string
	for _, address := range addresses {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	return unknown
}

// joinThroughStore registers this instance and joins those listed in the store. This connects
// instances none of whose seeds answers: each finds the entries written before its own, so of any
// two instances at least one finds the other.
func (m *Discovery) joinThroughStore(ctx context.Context) {
	if !m.registered.Load() {
		m.register(ctx)
	}
	listed, err := m.listAddresses(ctx)
	if err != nil {
		return
	}
	for attempt := range maxListedAttempts {
		if attempt > 0 {
			pause.For(ctx, retryInterval)
		}
		if !m.isAlone() || m.joinListed(ctx, listed) {
			return
		}
		if len(m.unknown(listed)) == 0 {
			break
		}
	}
	m.foundNobody.Store(true)
}

// listAddresses reads the peer addresses of the entries in the store.
func (m *Discovery) listAddresses(ctx context.Context) ([]string, error) {
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

// joinListed joins up to maxConcurrentJoins listed instances that are not live members, chosen at
// random, and reports whether one answered.
func (m *Discovery) joinListed(ctx context.Context, listed []string) bool {
	unknown := m.unknown(listed)
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	return m.joinAll(ctx, unknown[:min(maxConcurrentJoins, len(unknown))])
}

// registerIfRanked writes this instance's entry if it is a registrar and has none yet.
func (m *Discovery) registerIfRanked(ctx context.Context) {
	if !m.registered.Load() && m.Joined() && m.IsRegistrar() {
		m.register(ctx)
	}
}

// register writes this instance's entry; a failure is logged, and a later call of
// registerIfRanked or joinThroughStore retries it.
func (m *Discovery) register(ctx context.Context) {
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
