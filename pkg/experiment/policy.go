package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/budget/fleetfake"
)

// admission is one admitted request's reservation with a policy.
type admission any

// system is what a policy can be hit by. The runner calls it.
type system interface {
	// reserve admits a request of an account at an instance, or not.
	reserve(instance int, account int, bound int64) (admission, bool)
	// settle ends a request at its instance.
	settle(instance int, t admission, used int64)
	// tick lets a second pass.
	tick(now time.Duration)
	// topUp changes what accounts prepaid.
	topUp(prepaid []int64)
	// crash kills an instance and starts another in its place.
	crash(instance int)
	// pause stops an instance or lets it go on.
	pause(instance int, paused bool)
	// cut breaks or mends the way from one instance to another.
	cut(from, to int, cut bool)
	// store sets the store's faults.
	store(down, slow bool, loseAnswer float64)
	// calls returns the store calls made so far.
	calls() int64
	// inDoubt returns the tokens that no request can use any more for now.
	inDoubt() int64
}

// Policy makes a system.
type Policy struct {
	// Name is the policy's name in tables.
	Name string
	// Safe says that it promises not to overspend.
	Safe bool
	make func(d Deployment, prepaid []int64, rng *rand.Rand) system
}

// Policies are this project's, two weaker forms of it, and the baselines.
var Policies = []Policy{
	{"countersigned grants", true, newGrants(false)},
	{"grants, unwitnessed", true, newGrants(true)},
	{"equal split", true, newSplit},
	{"store write per request", true, newPerRequest},
	{"one home instance", true, newHome},
	{"counting afterwards", false, newAfterwards},
}

// experimentShards is the number of ledger shards in the experiment.
const experimentShards = 4

// grants is the real decision code on its fakes.
type grants struct {
	fleet *fleetfake.Fleet
}

func newGrants(unwitnessed bool) func(Deployment, []int64, *rand.Rand) system {
	return func(d Deployment, prepaid []int64, rng *rand.Rand) system {
		cfg := budget.Config{Shards: experimentShards, Unwitnessed: unwitnessed, MinSignedTokens: 64}
		return &grants{fleet: fleetfake.New(d.Instances, d.Domains, cfg, named(prepaid), rng)}
	}
}

func named(prepaid []int64) map[string]int64 {
	out := map[string]int64{}
	for n, tokens := range prepaid {
		out[account(n)] = tokens
	}
	return out
}

func (g *grants) reserve(instance, n int, bound int64) (admission, bool) {
	r := &budget.Reservation{}
	if g.fleet.Reserve(instance, account(n), bound, r) != nil {
		return nil, false
	}
	return r, true
}

func (g *grants) settle(instance int, t admission, used int64) {
	g.fleet.Instances[instance].Node.Settle(t.(*budget.Reservation), used)
}

func (g *grants) tick(time.Duration) {
	g.fleet.Advance(time.Second)
	g.fleet.Tick()
}

func (g *grants) topUp(prepaid []int64) {
	g.fleet.Prepaid = named(prepaid)
	g.fleet.Generation++
}

func (g *grants) crash(instance int) { g.fleet.Crash(instance) }

func (g *grants) pause(instance int, paused bool) {
	if paused {
		g.fleet.Pause(instance)
		return
	}
	g.fleet.Resume(instance)
}

func (g *grants) cut(from, to int, cut bool) { g.fleet.SetLinkDown(from, to, cut) }

func (g *grants) store(down, slow bool, loseAnswer float64) {
	g.fleet.Faults.StoreDown = down
	g.fleet.Faults.StoreSlow = slow
	g.fleet.Faults.LoseWriteAnswer = loseAnswer
}

func (g *grants) calls() int64 { return g.fleet.Reads + g.fleet.Writes }

func (g *grants) inDoubt() int64 {
	var doubt int64
	for shard := 0; shard < experimentShards; shard++ {
		for _, b := range g.fleet.Shard(shard).Budgets {
			doubt += b.InDoubt()
		}
	}
	return doubt
}
