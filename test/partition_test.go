package test

import (
	"testing"

	"github.com/lavenderring/lavenderring/pkg/standin/relay"
)

// cutInstance cuts the way of all others to an instance, or mends it. It still
// reaches them itself: a one-way partition, unless they are cut too.
func (f *fleet) cutInstance(n int, cut bool) {
	f.t.Helper()
	f.post(f.relays[n], "/faults", relay.Faults{Cut: cut})
}

func (f *fleet) awaitSilent(at, count int) {
	f.t.Helper()
	f.await("silence", func() bool {
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

// The instances lose each other, first one of them in one direction, then all in
// both, while crews keep asking at each and the budget runs out. Each goes on
// alone with what it can draw from the store; nobody spends what another holds.
// When they find each other again the books agree to the token.
func TestPartitionNeverOverspends(t *testing.T) {
	const prepaid = 60_000
	f := newFleet(t, options{instances: 3, engines: 2, prepaid: prepaid, tokenMillis: 1, peerRelays: true})
	l := startLoad(f, 6, 60)
	l.awaitWhole(10)
	f.cutInstance(0, true)
	l.awaitWhole(30)
	for n := range 3 {
		f.cutInstance(n, true)
	}
	for n := range 3 {
		f.awaitSilent(n, 2)
	}
	l.awaitWhole(60)
	f.await("the budget to be used up", func() bool {
		return ask(f.instances[0].address, crewKey, false, 60, question).refusedUnrun()
	})
	for n := range 3 {
		f.cutInstance(n, false)
	}
	f.awaitMembers(3)
	answers := l.end()
	f.stopAll()
	checkBooks(t, f, answers, prepaid)
	b := f.budget(crewBudget)
	if billed := f.statement().Total(crewBudget); b.Spent() != billed {
		t.Errorf("the bills say %d, the ledger %d", billed, b.Spent())
	}
}
