// Package fleetfake drives the budget slice's real decision code on small fakes
// of the store, the peers and the clock, all in one goroutine. It serves the
// slice's property tests and the experiment; it is no simulator of a cluster:
// a call either happens at once or fails.
package fleetfake

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// errFake is every injected fault.
var errFake = errors.New("injected fault")

// SilentBound is how long an instance must be unreachable to count as silent.
const SilentBound = 3 * time.Second

// Faults switches what goes wrong, as probabilities for each call.
type Faults struct {
	// StoreDown makes every call to the store fail without effect.
	StoreDown bool
	// StoreSlow makes every write of a request that waits take effect after the
	// request has given up on it; writes that nobody waits for succeed.
	StoreSlow bool
	// LoseWriteAnswer makes a write take effect and report a fault.
	LoseWriteAnswer float64
	// LoseRequest and LoseReply lose messages between instances.
	LoseRequest, LoseReply float64
	// PauseInCall stops the caller within a call, long past every limit, while
	// the others go on.
	PauseInCall float64
}

// Fleet is a set of nodes with their fakes.
type Fleet struct {
	// Nodes holds the present incarnation at each place.
	Nodes []*Member
	// Faults may be changed at any time.
	Faults Faults
	// Prepaid and Generation are the document in force.
	Prepaid    map[string]int64
	Generation uint64
	// Writes and Reads count the store's calls.
	Writes, Reads int64
	// Messages counts calls between instances.
	Messages int64
	// WhilePaused, if set, is what the others do while a caller is paused.
	WhilePaused func(paused *Member)
	// Reclaims counts grants that witnesses reclaimed.
	Reclaims int

	cfg          budget.Config
	rng          *rand.Rand
	now          time.Time
	shards       map[int][]byte
	cut          map[[2]int]bool
	nesting      int
	waiting      bool // a request waits for what is being done
	incarnations int
}

// Member is one place with the node that stands in it.
type Member struct {
	// Node is the real decision code.
	Node *budget.Node
	// Incarnation names the node.
	Incarnation string
	// Place is its index; Domain its failure domain.
	Place, Domain int
	// Dead and Paused tell its state.
	Dead, Paused bool

	fleet     *Fleet
	busy      int  // calls it is part of
	held      bool // waits for a call in which somebody is paused
	downSince time.Time
	cutSince  map[int]time.Time
}

// New returns a fleet of nodes spread over the failure domains.
func New(nodes, domains int, cfg budget.Config, prepaid map[string]int64, rng *rand.Rand) *Fleet {
	f := &Fleet{
		Prepaid:    prepaid,
		Generation: 1,
		cfg:        cfg,
		rng:        rng,
		now:        time.Unix(1_700_000_000, 0),
		shards:     map[int][]byte{},
		cut:        map[[2]int]bool{},
	}
	for place := 0; place < nodes; place++ {
		f.Nodes = append(f.Nodes, f.newMember(place, place%domains))
	}
	return f
}

func (f *Fleet) newMember(place, domain int) *Member {
	f.incarnations++
	m := &Member{
		Incarnation: incarnationName(place, f.incarnations),
		Place:       place,
		Domain:      domain,
		fleet:       f,
		cutSince:    map[int]time.Time{},
	}
	cfg := f.cfg
	cfg.Self = m.Incarnation
	m.Node = budget.NewNode(cfg, budget.Deps{
		Ledger:   store{m},
		Peers:    peers{m},
		Fleet:    view{m},
		Prepaid:  f.prepaidOf,
		Observer: observer{f},
		Now:      func() time.Time { return f.now },
	})
	return m
}

func incarnationName(place, count int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	return string(letters[place%len(letters)]) + "-" + time.Duration(count).String()
}

func (f *Fleet) prepaidOf(shard int) []budget.ServicePrepaid {
	amounts := map[string]int64{}
	for id, amount := range f.Prepaid {
		if ledger.ShardOf(id, f.cfg.Shards) == shard {
			amounts[id] = amount
		}
	}
	return []budget.ServicePrepaid{{Service: "s", Generation: f.Generation, Amounts: amounts}}
}

// Advance moves the clock.
func (f *Fleet) Advance(d time.Duration) { f.now = f.now.Add(d) }

// Now returns the fleet's clock.
func (f *Fleet) Now() time.Time { return f.now }

// Tick ticks every node that runs.
func (f *Fleet) Tick() {
	for _, m := range f.Nodes {
		if m.Up() {
			m.Node.Tick(context.Background())
		}
	}
}

// Reserve reserves at a place, as a request that waits for the answer.
func (f *Fleet) Reserve(place int, id string, tokens int64, into *budget.Reservation) error {
	f.waiting = true
	defer func() { f.waiting = false }()
	return f.Nodes[place].Node.Reserve(context.Background(), id, tokens, into)
}

// Crash ends the node at a place for good and starts a new one there.
func (f *Fleet) Crash(place int) {
	old := f.Nodes[place]
	old.Dead = true
	f.Nodes[place] = f.newMember(place, old.Domain)
}

// Pause stops a node, and Resume lets it go on where it was.
func (f *Fleet) Pause(place int) {
	f.Nodes[place].Paused = true
	f.Nodes[place].downSince = f.now
}

// Resume ends a pause.
func (f *Fleet) Resume(place int) { f.Nodes[place].Paused = false }

// Cut breaks or mends the way from one place to another.
func (f *Fleet) Cut(from, to int, cut bool) {
	f.cut[[2]int{from, to}] = cut
	since := time.Time{}
	if cut {
		since = f.now
	}
	f.Nodes[from].cutSince[to] = since
}

// Shard returns the committed state of a shard.
func (f *Fleet) Shard(n int) *ledger.Shard {
	shard, err := ledger.Decode(f.shards[n])
	if err != nil {
		panic(err) // the fake wrote it itself
	}
	return shard
}

// Budget returns the committed state of a budget; nil if nobody touched it.
func (f *Fleet) Budget(id string) *ledger.Budget {
	return f.Shard(ledger.ShardOf(id, f.cfg.Shards)).Budgets[id]
}

// Up reports whether the node can do anything now.
func (m *Member) Up() bool { return !m.Dead && !m.Paused && !m.held }

// pause stops the caller in the middle of a call, at most one at a time.
func (m *Member) pause() {
	f := m.fleet
	if f.nesting > 0 || f.WhilePaused == nil || f.rng.Float64() >= f.Faults.PauseInCall {
		return
	}
	f.nesting++
	m.Paused = true
	m.downSince = f.now
	f.hold(true)
	f.WhilePaused(m)
	f.hold(false)
	m.Paused = false
	f.nesting--
}

// hold stops, or lets go on, every node that waits for a call in progress.
func (f *Fleet) hold(held bool) {
	for _, m := range f.Nodes {
		m.held = held && m.busy > 0
	}
}
