package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/budget/fleetfake"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// Sizes of the random histories.
const (
	historyInstances = 6
	historyDomains   = 3
	historyShards    = 2
	historyBudgets   = 3
	historySteps     = 400
	historyPrepaid   = 1500
	maxRequestTokens = 300
	faultFreeTicks   = 30
	numHistories     = 80
)

// history runs random operations and faults on a fleet and records the tokens that
// the engines would have counted.
type history struct {
	rng          *rand.Rand
	fleet        *fleetfake.Fleet
	openRequests []openRequest
	spent        map[string]int64
	maxPrepaid   map[string]int64
	failure      string
	test         *testing.T
}

type openRequest struct {
	instance    *fleetfake.Instance
	budget      string
	reservation *budget.Reservation
}

func budgetID(i int) string { return fmt.Sprintf("s/account-%d", i) }

func newHistory(seed uint64) *history {
	rng := rand.New(rand.NewPCG(seed, 1))
	prepaid := map[string]int64{}
	maxPrepaid := map[string]int64{}
	for i := 0; i < historyBudgets; i++ {
		prepaid[budgetID(i)] = historyPrepaid
		maxPrepaid[budgetID(i)] = historyPrepaid
	}
	cfg := budget.Config{Shards: historyShards, RecordInterval: 2 * time.Second, MinSignedTokens: 100}
	h := &history{
		rng:        rng,
		fleet:      fleetfake.New(historyInstances, historyDomains, cfg, prepaid, rng),
		spent:      map[string]int64{},
		maxPrepaid: maxPrepaid,
	}
	h.fleet.Faults = fleetfake.Faults{
		LoseWriteAnswer: 0.1,
		LoseRequest:     0.05,
		LoseReply:       0.1,
		PauseInCall:     0.02,
	}
	h.fleet.WhilePaused = h.whilePaused
	return h
}

// whilePaused lets the other instances continue until the paused one counts as
// silent, and for a few seconds more.
func (h *history) whilePaused(*fleetfake.Instance) {
	for i := 0; i < 6; i++ {
		h.fleet.Advance(time.Second)
		h.fleet.Tick()
		h.reserve()
		h.settle()
	}
}

func (h *history) run() string {
	for step := 0; step < historySteps && h.failure == ""; step++ {
		h.step()
		h.check()
	}
	h.endFaults()
	return h.failure
}

func (h *history) step() {
	h.fleet.Advance(time.Duration(h.rng.IntN(1000)) * time.Millisecond)
	switch n := h.rng.IntN(100); {
	case n < 50:
		h.reserve()
	case n < 75:
		h.settle()
	case n < 88:
		h.fleet.Tick()
	case n < 90:
		h.fleet.Faults.StoreDown = !h.fleet.Faults.StoreDown
	case n < 92:
		h.crash()
	case n < 94:
		h.topUp()
	case n < 96:
		h.togglePause()
	default:
		h.toggleLink()
	}
}

func (h *history) reserve() {
	instance := h.fleet.Instances[h.rng.IntN(historyInstances)]
	if !instance.Up() {
		return
	}
	request := openRequest{
		instance:    instance,
		budget:      budgetID(h.rng.IntN(historyBudgets)),
		reservation: &budget.Reservation{},
	}
	tokens := int64(1 + h.rng.IntN(maxRequestTokens))
	err := instance.Node.Reserve(h.test.Context(), request.budget, tokens, request.reservation)
	if err == nil {
		h.openRequests = append(h.openRequests, request)
	}
}

// settle ends a random request. The engine has spent the tokens even if the
// instance that reserved them has crashed and bills nothing.
func (h *history) settle() {
	if len(h.openRequests) == 0 {
		return
	}
	i := h.rng.IntN(len(h.openRequests))
	request := h.openRequests[i]
	if !request.instance.Up() && !request.instance.Crashed {
		return
	}
	h.openRequests = append(h.openRequests[:i], h.openRequests[i+1:]...)
	used := request.reservation.Tokens()
	if h.rng.IntN(3) == 0 {
		used = h.rng.Int64N(used + 1)
	}
	h.spent[request.budget] += used
	if !request.instance.Crashed {
		request.instance.Node.Settle(request.reservation, used)
	}
}

func (h *history) crash() { h.fleet.Crash(h.rng.IntN(historyInstances)) }

func (h *history) topUp() {
	name := budgetID(h.rng.IntN(historyBudgets))
	prepaid := map[string]int64{}
	for id, amount := range h.fleet.Prepaid {
		prepaid[id] = amount
	}
	prepaid[name] = max(prepaid[name]+int64(h.rng.IntN(2000)-500), 0)
	h.fleet.Prepaid = prepaid
	h.fleet.Generation++
	h.maxPrepaid[name] = max(h.maxPrepaid[name], prepaid[name])
}

func (h *history) togglePause() {
	index := h.rng.IntN(historyInstances)
	if h.fleet.Instances[index].Paused {
		h.fleet.Resume(index)
		return
	}
	h.fleet.Pause(index)
}

func (h *history) toggleLink() {
	from, to := h.rng.IntN(historyInstances), h.rng.IntN(historyInstances)
	if from != to {
		h.fleet.SetLinkDown(from, to, h.rng.IntN(2) == 0)
	}
}

// check compares the engines' count with the highest prepaid amount so far.
func (h *history) check() {
	for name, spent := range h.spent {
		if spent > h.maxPrepaid[name] && h.failure == "" {
			h.failure = fmt.Sprintf("%s: %d tokens spent of %d prepaid", name, spent, h.maxPrepaid[name])
		}
	}
	h.checkCommitted()
}

// checkCommitted checks the last committed state: the settled and held tokens of a
// budget never exceed the prepaid amount, and are never fewer than the tokens that
// are spent or that an instance can still spend.
func (h *history) checkCommitted() {
	for name, maxPrepaid := range h.maxPrepaid {
		b := h.fleet.Budget(name)
		if b == nil || h.failure != "" {
			continue
		}
		if settledAndHeld(b) > maxPrepaid {
			h.failure = fmt.Sprintf("%s: the ledger holds %d tokens of %d prepaid", name, settledAndHeld(b), maxPrepaid)
		}
		if spendable := h.spent[name] + h.available(name); spendable > settledAndHeld(b) {
			h.failure = fmt.Sprintf("%s: %d tokens are spent or can be spent, the ledger holds %d", name, spendable, settledAndHeld(b))
		}
	}
}

// available returns the tokens of a budget that are reserved for open requests, or
// free at instances that have not crashed.
func (h *history) available(name string) int64 {
	var tokens int64
	for _, request := range h.openRequests {
		if request.budget == name {
			tokens += request.reservation.Tokens()
		}
	}
	for _, instance := range h.fleet.Instances {
		tokens += instance.Node.Spender().Free(name)
	}
	return tokens
}

func settledAndHeld(b *ledger.Budget) int64 {
	tokens := b.Settled
	for _, g := range b.Grants {
		tokens += g.Held()
	}
	return tokens
}

// endFaults ends all faults and requests, runs some ticks, and checks the ledger
// against the engines' count of spent tokens. The ledger may hold more tokens than
// were spent, since those of crashed instances stay in doubt, but never fewer, and
// it never bills more.
func (h *history) endFaults() {
	h.fleet.Faults = fleetfake.Faults{}
	for index := range h.fleet.Instances {
		h.fleet.Resume(index)
		for other := range h.fleet.Instances {
			h.fleet.SetLinkDown(index, other, false)
		}
	}
	for len(h.openRequests) > 0 {
		h.settle()
	}
	for i := 0; i < faultFreeTicks; i++ {
		h.fleet.Advance(time.Second)
		h.fleet.Tick()
	}
	h.check()
	h.checkLedger()
}

func (h *history) checkLedger() {
	for name, spent := range h.spent {
		b := h.fleet.Budget(name)
		if b == nil || h.failure != "" {
			continue
		}
		if spent > settledAndHeld(b) {
			h.failure = fmt.Sprintf("%s: engines counted %d tokens, the ledger holds %d", name, spent, settledAndHeld(b))
		}
		if b.Spent() > spent {
			h.failure = fmt.Sprintf("%s: engines counted %d tokens, the ledger bills %d", name, spent, b.Spent())
		}
	}
}

// No client account spends more than it prepaid, whatever faults occur. Instances
// crash, or pause within calls and resume; messages and answers of the store are
// lost; links fail in one direction; budgets are raised and lowered. The guarantee
// holds because every token is deducted from the ledger before it can be spent, and
// is freed only if the instance that held it reports it as returned, or if the
// grant's witness has never signed it.
func TestNoHistoryOverspends(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = numHistories
	properties := gopter.NewProperties(parameters)
	properties.Property("spent never above prepaid, ledger never below spent", prop.ForAll(
		func(seed uint64) string {
			h := newHistory(seed)
			h.test = t
			return h.run()
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}
