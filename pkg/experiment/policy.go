package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/budget/fleetfake"
)

// reservation is a policy's record of the tokens reserved for one admitted request.
type reservation any

// fleet is a simulated fleet that runs one policy. The simulation sends it requests and faults.
type fleet interface {
	// reserve reports whether an instance admits a request of an account that costs at most
	// maxTokens.
	reserve(instance int, account int, maxTokens int64) (reservation, bool)
	// settle ends a request at the instance that admitted it; used is its real cost.
	settle(instance int, res reservation, used int64)
	// tick advances the virtual time by a second, to now.
	tick(now time.Duration)
	// topUp sets the prepaid tokens of all accounts.
	topUp(prepaid []int64)
	// crash kills an instance and starts a new one in its place.
	crash(instance int)
	// setPaused pauses or resumes an instance.
	setPaused(instance int, paused bool)
	// setLinkDown breaks or repairs the link from one instance to another, in this direction.
	setLinkDown(from, to int, down bool)
	// setStoreFaults sets the faults of the store; loseAnswer is the probability that the answer
	// to a write is lost.
	setStoreFaults(down, slow bool, loseAnswer float64)
	// numStoreCalls returns the number of store calls so far.
	numStoreCalls() int64
	// inDoubt returns the number of tokens that no request can use for now.
	inDoubt() int64
}

// Policy is a way to keep requests within the prepaid tokens of their accounts.
type Policy struct {
	// Name is the policy's name in tables.
	Name string
	// Safe reports whether the policy guarantees not to overspend.
	Safe bool
	// newFleet returns a fleet that runs the policy.
	newFleet func(d Deployment, prepaid []int64, rng *rand.Rand) fleet
}

// Policies are the policy of this project, a weaker form of it without witnesses, and the
// baselines.
var Policies = []Policy{
	{"countersigned grants", true, newGrants(false)},
	{"grants, unwitnessed", true, newGrants(true)},
	{"equal split", true, newEqualSplit},
	{"store write per request", true, newPerRequest},
	{"one home instance", true, newHome},
	{"counting afterwards", false, newCountAfterwards},
}

// numLedgerShards is the number of ledger shards in the experiment.
const numLedgerShards = 4

// grants runs the real decision code of package budget on fakes of its network and store.
type grants struct {
	fleet *fleetfake.Fleet
}

func newGrants(unwitnessed bool) func(Deployment, []int64, *rand.Rand) fleet {
	return func(d Deployment, prepaid []int64, rng *rand.Rand) fleet {
		cfg := budget.Config{Shards: numLedgerShards, Unwitnessed: unwitnessed, MinSignedTokens: 64}
		return &grants{fleet: fleetfake.New(d.Instances, d.Domains, cfg, prepaidByBudget(prepaid), rng)}
	}
}

// prepaidByBudget returns the prepaid tokens by budget ID.
func prepaidByBudget(prepaid []int64) map[string]int64 {
	out := map[string]int64{}
	for n, tokens := range prepaid {
		out[budgetID(n)] = tokens
	}
	return out
}

func (g *grants) reserve(instance, n int, maxTokens int64) (reservation, bool) {
	r := &budget.Reservation{}
	if g.fleet.Reserve(instance, budgetID(n), maxTokens, r) != nil {
		return nil, false
	}
	return r, true
}

func (g *grants) settle(instance int, res reservation, used int64) {
	g.fleet.Instances[instance].Node.Settle(res.(*budget.Reservation), used)
}

func (g *grants) tick(time.Duration) {
	g.fleet.Advance(time.Second)
	g.fleet.Tick()
}

func (g *grants) topUp(prepaid []int64) {
	g.fleet.Prepaid = prepaidByBudget(prepaid)
	g.fleet.Generation++
}

func (g *grants) crash(instance int) { g.fleet.Crash(instance) }

func (g *grants) setPaused(instance int, paused bool) {
	if paused {
		g.fleet.Pause(instance)
		return
	}
	g.fleet.Resume(instance)
}

func (g *grants) setLinkDown(from, to int, down bool) { g.fleet.SetLinkDown(from, to, down) }

func (g *grants) setStoreFaults(down, slow bool, loseAnswer float64) {
	g.fleet.Faults.StoreDown = down
	g.fleet.Faults.StoreSlow = slow
	g.fleet.Faults.LoseWriteAnswer = loseAnswer
}

func (g *grants) numStoreCalls() int64 { return g.fleet.Reads + g.fleet.Writes }

func (g *grants) inDoubt() int64 {
	var doubt int64
	for shard := 0; shard < numLedgerShards; shard++ {
		for _, b := range g.fleet.Shard(shard).Budgets {
			doubt += b.InDoubt()
		}
	}
	return doubt
}
