package test

import (
	"testing"

	"github.com/lavenderring/lavenderring/pkg/standin/relay"
)

// setPartitioned blocks or restores the connections from all other instances to
// instance n. It still reaches them itself: the partition is one-way, unless the
// others are partitioned too.
func (f *fleet) setPartitioned(n int, cut bool) {
	f.t.Helper()
	f.post(f.peerRelayControls[n], "/faults", relay.Faults{Cut: cut})
}

// awaitSilent waits until one instance considers count members silent.
func (f *fleet) awaitSilent(at, count int) {
	f.t.Helper()
	f.await("silent members", func() bool {
		status, err := f.status(f.instances[at])
		silent := 0
		for _, m := range status.Members {
			if m.Silent {
				silent++
			}
		}
		return err == nil && silent >= count
	})
}

// The instances are partitioned from each other, first one of them in one
// direction, then all in both, while clients keep sending to each and the budget
// runs out. Each instance goes on with the tokens that it can draw from the store,
// and none spends what another holds. After the partition has healed, bills and
// ledger agree to the token.
func TestPartitionNeverOverspends(t *testing.T) {
	const prepaid = 60_000
	f := newFleet(t, options{instances: 3, engines: 2, prepaid: prepaid, tokenMillis: 1, usePeerRelays: true})
	l := startLoad(f, 6, 60)
	l.awaitWholeAnswers(10)
	f.setPartitioned(0, true)
	l.awaitWholeAnswers(30)
	for n := range 3 {
		f.setPartitioned(n, true)
	}
	for n := range 3 {
		f.awaitSilent(n, 2)
	}
	l.awaitWholeAnswers(60)
	f.await("the budget to be used up", func() bool {
		return askModel(f.instances[0].address, crewKey, false, 60, samplePrompt).refusedNotRun()
	})
	for n := range 3 {
		f.setPartitioned(n, false)
	}
	f.awaitMembers(3)
	answers := l.finish()
	f.stopAll()
	checkAccounting(t, f, answers, prepaid)
	b := f.readBudget(crewBudget)
	if billed := f.readStatement().Total(crewBudget); b.Spent() != billed {
		t.Errorf("the bills total %d tokens, the ledger %d", billed, b.Spent())
	}
}
