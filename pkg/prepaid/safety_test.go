package prepaid_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/lavenderring/lavenderring/pkg/prepaid"
)

// Sizes of one random history, in steps and in tokens.
const (
	historySteps   = 250
	historyPrepaid = 20_000
	largestRequest = 900
)

type openRequest struct {
	by          *member
	budget      string
	tokens      int64
	reservation *prepaid.Reservation
}

// history runs random requests and faults and records what was spent.
type history struct {
	fleet   *fleet
	open    []openRequest
	spent   map[string]int64
	allowed map[string]int64
	// allLive says that no instance crashes or is partitioned.
	allLive bool
}

func budgetName(n int) string { return fmt.Sprintf("account-%d", n) }

func newHistory(seed uint64) *history {
	tokens := map[string]int64{budgetName(0): historyPrepaid, budgetName(1): historyPrepaid / 4}
	h := &history{fleet: newFleet(seed, 4, tokens), spent: map[string]int64{}, allowed: map[string]int64{}}
	for id, amount := range tokens {
		h.allowed[id] = amount
	}
	h.fleet.loseAckChance, h.fleet.loseMessageChance = 0.2, 0.1
	if seed%2 == 0 {
		h.fleet.drawers = []string{"i1", "i2"}
	}
	return h
}

func (h *history) step() {
	rng := h.fleet.rng
	h.fleet.advance(time.Duration(rng.IntN(300)) * time.Millisecond)
	switch n := rng.IntN(100); {
	case n < 45:
		h.reserve()
	case n < 70:
		h.settle()
	case n < 84:
		h.member().Tick(context.Background())
	case n < 87:
		h.fleet.update(func() { h.fleet.storeDown = !h.fleet.storeDown })
	case n < 93 && h.allLive:
	case n < 91:
		m := h.member()
		h.fleet.update(func() { m.partitioned = !m.partitioned })
	case n < 93:
		h.crash()
	case n < 95:
		h.topUp()
	case n < 97:
		h.fleet.applyLateWrites()
	default:
		h.member().HandleRecall(budgetName(rng.IntN(2)))
	}
	synctest.Wait()
}

func (h *history) member() *member { return h.fleet.nodes[h.fleet.rng.IntN(len(h.fleet.nodes))] }

func (h *history) reserve() {
	m := h.member()
	if m.crashed {
		return
	}
	budget := budgetName(h.fleet.rng.IntN(2))
	tokens := 1 + h.fleet.rng.Int64N(largestRequest)
	r, err := m.Reserve(context.Background(), budget, tokens, true)
	if err == nil {
		h.open = append(h.open, openRequest{by: m, budget: budget, tokens: tokens, reservation: r})
	}
}

// settle ends a request whose upstream has counted any number of tokens up to the reserved ones.
func (h *history) settle() {
	if len(h.open) == 0 {
		return
	}
	i := h.fleet.rng.IntN(len(h.open))
	r := h.open[i]
	h.open = append(h.open[:i], h.open[i+1:]...)
	used := h.fleet.rng.Int64N(r.tokens + 1)
	h.spent[r.budget] += used
	if !r.by.crashed {
		r.by.Settle(r.reservation, used)
	}
}

// crash kills an instance, some during a planned stop; its running requests spend all their tokens.
// A new instance joins.
func (h *history) crash() {
	m := h.member()
	if m.crashed || len(h.fleet.nodes) > 12 {
		return
	}
	if h.fleet.rng.IntN(2) == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		m.Stop(ctx)
		cancel()
		synctest.Wait()
		h.tickOthers(m)
	}
	h.fleet.update(func() { m.crashed = true })
	h.fleet.join()
}

// tickOthers runs ticks of the other instances while one stops.
func (h *history) tickOthers(stopping *member) {
	for range h.fleet.rng.IntN(6) {
		h.fleet.advance(time.Duration(h.fleet.rng.IntN(600)) * time.Millisecond)
		if m := h.member(); m != stopping && !m.crashed {
			m.Tick(context.Background())
		}
		synctest.Wait()
		h.settle()
	}
}

func (h *history) topUp() {
	id := budgetName(h.fleet.rng.IntN(2))
	tokens := map[string]int64{}
	for other, amount := range h.fleet.amounts.Tokens {
		tokens[other] = amount
	}
	tokens[id] += 500
	h.allowed[id] += 500
	h.fleet.update(func() {
		h.fleet.amounts = prepaid.Amounts{Version: h.fleet.amounts.Version + 1, Tokens: tokens}
	})
}

// overspent describes a budget of which more was spent than prepaid; empty if there is none.
func (h *history) overspent() string {
	for id, sum := range h.sums() {
		if sum > h.allowed[id] {
			return fmt.Sprintf("%s: %d of %d", id, sum, h.allowed[id])
		}
	}
	return ""
}

// sums returns, by budget, the tokens spent plus the reservations of running requests.
func (h *history) sums() map[string]int64 {
	sums := map[string]int64{}
	for id, tokens := range h.spent {
		sums[id] = tokens
	}
	for _, r := range h.open {
		sums[r.budget] += r.tokens
	}
	return sums
}

func runHistory(seed uint64) (failure string) {
	h := newHistory(seed)
	for range historySteps {
		h.step()
		if failure = h.overspent(); failure != "" {
			return failure
		}
	}
	return ""
}

// Instances draw, lend and return tokens while the ledger loses answers, applies writes late and is
// unavailable, instances are partitioned and crash, and operators top up. Clients never get more than
// was prepaid: tokens are deducted durably from the ledger before they are spent, and a lost answer,
// a late write or a crash can only lose tokens.
func TestNeverMoreThanPrepaid(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 120
	properties := gopter.NewProperties(parameters)
	properties.Property("spent and running stay within prepaid", prop.ForAll(func(seed uint64) string {
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = runHistory(seed) })
		return failure
	}, gen.UInt64()))
	properties.TestingRun(t)
}
