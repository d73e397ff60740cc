// Package fleetfake runs the real code of package budget on small fakes of the
// store, the peers and the clock, all in one goroutine. It is used by the
// property tests of package budget and by the experiment. It does not simulate
// the timing of a cluster: a call either completes at once or fails.
package fleetfake

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// errInjected is returned for every injected fault.
var errInjected = errors.New("injected fault")

// SilenceTimeout is how long an instance must be unreachable to count as silent.
const SilenceTimeout = 3 * time.Second

// Faults selects the faults to inject. Numbers are probabilities per call.
type Faults struct {
	// StoreDown makes every call to the store fail without effect.
	StoreDown bool
	// StoreSlow makes every write that a request waits for take effect but report
	// an error, as if the request had timed out first. Background writes succeed.
	StoreSlow bool
	// LoseWriteAnswer makes a write take effect without an answer; the client then
	// reads the shard again.
	LoseWriteAnswer float64
	// LoseRequest and LoseReply lose requests and replies between instances.
	LoseRequest, LoseReply float64
	// PauseInCall pauses the caller within a call, for longer than every timeout,
	// while the other instances continue.
	PauseInCall float64
}

// Fleet is a set of instances with their fakes.
type Fleet struct {
	// Instances holds the present incarnation of each instance, by index.
	Instances []*Instance
	// Faults may be changed at any time.
	Faults Faults
	// Prepaid holds the prepaid amounts, by budget, of the document in force;
	// Generation is its generation.
	Prepaid    map[string]int64
	Generation uint64
	// Writes and Reads count the calls to the store.
	Writes, Reads int64
	// Messages counts calls between instances.
	Messages int64
	// WhilePaused, if set, runs the other instances while a caller is paused.
	WhilePaused func(paused *Instance)
	// Reclaims counts grants that witnesses reclaimed.
	Reclaims int

	cfg             budget.Config
	rng             *rand.Rand
	now             time.Time
	shards          map[int][]byte
	linksDown       map[[2]int]bool
	pauseDepth      int
	requestWaiting  bool // a request waits for the current call
	numIncarnations int
}

// Instance is one incarnation of an instance, with its node.
type Instance struct {
	// Node is the code under test.
	Node *budget.Node
	// Incarnation is the unique name of the incarnation.
	Incarnation string
	// Index is the instance's index in the fleet, Domain its failure domain.
	Index, Domain int
	// Crashed reports that the incarnation has crashed, Paused that it is paused.
	Crashed, Paused bool

	fleet         *Fleet
	activeCalls   int  // calls that this instance sends or handles
	blocked       bool // takes part in a call in which an instance is paused
	pausedSince   time.Time
	linkDownSince map[int]time.Time
}

// New returns a fleet of instances spread over the failure domains.
func New(instances, domains int, cfg budget.Config, prepaid map[string]int64, rng *rand.Rand) *Fleet {
	f := &Fleet{
		Prepaid:    prepaid,
		Generation: 1,
		cfg:        cfg,
		rng:        rng,
		now:        time.Unix(1_700_000_000, 0),
		shards:     map[int][]byte{},
		linksDown:  map[[2]int]bool{},
	}
	for index := 0; index < instances; index++ {
		f.Instances = append(f.Instances, f.newInstance(index, index%domains))
	}
	return f
}

func (f *Fleet) newInstance(index, domain int) *Instance {
	f.numIncarnations++
	inst := &Instance{
		Incarnation:   incarnationName(index, f.numIncarnations),
		Index:         index,
		Domain:        domain,
		fleet:         f,
		linkDownSince: map[int]time.Time{},
	}
	cfg := f.cfg
	cfg.Self = inst.Incarnation
	inst.Node = budget.NewNode(cfg, budget.Deps{
		Ledger:   storeClient{inst},
		Peers:    peerClient{inst},
		Fleet:    fleetView{inst},
		Prepaid:  f.prepaidOf,
		Observer: observer{f},
		Now:      func() time.Time { return f.now },
	})
	return inst
}

func incarnationName(index, count int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	return string(letters[index%len(letters)]) + "-" + time.Duration(count).String()
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

// Advance advances the clock by d.
func (f *Fleet) Advance(d time.Duration) { f.now = f.now.Add(d) }

// Now returns the time of the fleet's clock.
func (f *Fleet) Now() time.Time { return f.now }

// Tick calls the node's Tick at every running instance.
func (f *Fleet) Tick() {
	for _, inst := range f.Instances {
		if inst.Up() {
			inst.Node.Tick(context.Background())
		}
	}
}

// Reserve reserves tokens at an instance, as a request that waits for the answer.
func (f *Fleet) Reserve(index int, budgetID string, tokens int64, into *budget.Reservation) error {
	f.requestWaiting = true
	defer func() { f.requestWaiting = false }()
	return f.Instances[index].Node.Reserve(context.Background(), budgetID, tokens, into)
}

// Crash ends an instance's incarnation and starts a new one.
func (f *Fleet) Crash(index int) {
	old := f.Instances[index]
	old.Crashed = true
	f.Instances[index] = f.newInstance(index, old.Domain)
}

// Pause pauses an instance; Resume lets it continue with its state.
func (f *Fleet) Pause(index int) {
	f.Instances[index].Paused = true
	f.Instances[index].pausedSince = f.now
}

// Resume ends an instance's pause.
func (f *Fleet) Resume(index int) { f.Instances[index].Paused = false }

// SetLinkDown breaks or restores the link from one instance to another, in this
// direction only.
func (f *Fleet) SetLinkDown(from, to int, down bool) {
	f.linksDown[[2]int{from, to}] = down
	since := time.Time{}
	if down {
		since = f.now
	}
	f.Instances[from].linkDownSince[to] = since
}

// Shard returns the committed state of a shard.
func (f *Fleet) Shard(n int) *ledger.Shard {
	shard, err := ledger.Decode(f.shards[n])
	if err != nil {
		panic(err) // only Update writes shards, and it encodes them itself
	}
	return shard
}

// Budget returns the committed state of a budget; nil if it is not in the ledger.
func (f *Fleet) Budget(budgetID string) *ledger.Budget {
	return f.Shard(ledger.ShardOf(budgetID, f.cfg.Shards)).Budgets[budgetID]
}

// Up reports whether the instance can run now.
func (inst *Instance) Up() bool { return !inst.Crashed && !inst.Paused && !inst.blocked }

// maybePause pauses the caller in the middle of a call with the probability
// Faults.PauseInCall, at most one instance at a time.
func (inst *Instance) maybePause() {
	f := inst.fleet
	if f.pauseDepth > 0 || f.WhilePaused == nil || f.rng.Float64() >= f.Faults.PauseInCall {
		return
	}
	f.pauseDepth++
	inst.Paused = true
	inst.pausedSince = f.now
	f.setBlocked(true)
	f.WhilePaused(inst)
	f.setBlocked(false)
	inst.Paused = false
	f.pauseDepth--
}

// setBlocked blocks every instance that takes part in a call in progress, or
// unblocks all instances.
func (f *Fleet) setBlocked(blocked bool) {
	for _, inst := range f.Instances {
		inst.blocked = blocked && inst.activeCalls > 0
	}
}
