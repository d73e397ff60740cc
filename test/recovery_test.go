package test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/prepaid"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// drawerOf returns the instance that has drawn most of the account's tokens, by the ledger.
func (f *routed) drawerOf() *routedInstance {
	f.t.Helper()
	var most int64
	drawer := ""
	for n := range 4 {
		object, err := f.client.Get(f.t.Context(), fmt.Sprintf("ledgers/%04d", n))
		if err != nil {
			continue // nobody has written to this one
		}
		shard, err := prepaid.DecodeShard(object.Value)
		f.must(err)
		for name, writer := range shard.Writers {
			if drawn := writer.Counters["crew"].Drawn; drawn > most {
				drawer, most = name, drawn
			}
		}
	}
	for n, i := range f.instances {
		if strings.HasPrefix(drawer, fmt.Sprintf("edge-%d-", n)) {
			return i
		}
	}
	f.t.Fatalf("nobody has drawn: %q", drawer)
	return nil
}

// spent returns what the engines have run, in tokens.
func (f *routed) spent() int64 {
	var cost int64
	for _, engine := range f.engines {
		for _, run := range engine.Runs() {
			cost += promptTokens + int64(run.Events)
		}
	}
	return cost
}

// writeAgain writes what operators and upstreams write when the store has gone back.
func (f *routed) writeAgain() {
	f.t.Helper()
	f.configure()
	for n, u := range f.plain {
		f.store.Announce(u, "jobs", domainOf(n), u.Address, false)
	}
	for n, u := range f.engines {
		f.store.Announce(u, "models", domainOf(n), u.Address, false)
	}
}

// An account spends more than it prepaid. Its tokens were drawn, acknowledged and spent; then the
// store came back from a copy that is older than the draws, and the instance that had made them
// died. The others see a ledger in which the tokens are free, and draw them again.
func TestNothingIsSpentTwiceAfterTheStoreWentBack(t *testing.T) {
	const streams = 40
	f := newRouted(t, 3, streams*(promptTokens+streamEvents))
	time.Sleep(time.Second)
	began := time.Now()
	for n := range streams * 3 / 4 {
		f.send(f.instances[n%3], fmt.Sprintf("before-%d", n), "stream", "x")
	}
	time.Sleep(1200 * time.Millisecond) // two reports of each instance
	drawer := f.drawerOf()
	f.store.RollBack(standin.Rollback{OutageMillis: 300, CopyAgeMillis: time.Since(began).Milliseconds() + 200})
	drawer.kill()
	f.writeAgain()
	served := 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); {
		for n, i := range f.instances {
			if i != drawer && f.send(i, fmt.Sprintf("after-%d-%d", n, served), "stream", "x").status == http.StatusOK {
				served++
			}
		}
	}
	if spent := f.spent(); spent > f.prepaid {
		t.Errorf("%d tokens of %d prepaid were spent, %d streams after the store went back", spent, f.prepaid, served)
	}
}

// A dropped route is served, and an upstream that leaves gets work, for as long as the store's
// count of changes is below what the instances had seen: it has gone back, what is written there
// again has lower versions, and a copy moved to higher ones only.
func TestChangesAreInForceAfterTheStoreWentBack(t *testing.T) {
	const inForceWithin = 8 * time.Second // four times the bound, on a busy machine
	f := newRouted(t, 3, 1_000_000)
	time.Sleep(time.Second)
	began := time.Now()
	for range 40 {
		f.configure()
	}
	time.Sleep(time.Second)
	f.store.RollBack(standin.Rollback{OutageMillis: 300, CopyAgeMillis: time.Since(began).Milliseconds() + 200})
	f.writeAgain()
	f.without["safe"] = true
	f.configure()
	leaving := f.plain[0]
	f.leave(leaving)
	if took := f.awaitChanges(leaving); took > inForceWithin {
		t.Errorf("the changes took %v to be in force", took)
	}
}

// A job is booked twice. Its key was claimed and the job ran; then the store came back from a copy
// that is older than the claim, and the desk's retry claims the key anew.
func TestNothingRunsTwiceAfterTheStoreWentBack(t *testing.T) {
	f := newFleet(t, options{instances: 3, services: 1, prepaid: 10_000})
	time.Sleep(time.Second)
	if a := assign(f.instances[0].address, "job-1", "leak-17"); !a.whole {
		t.Fatalf("got %d %s", a.status, a.body)
	}
	time.Sleep(300 * time.Millisecond) // its outcome is recorded
	f.post(f.platform.address, "/go-back", standin.Rollback{OutageMillis: 200, CopyAgeMillis: 900})
	time.Sleep(time.Second)
	a := assign(f.instances[1].address, "job-1", "leak-17")
	if runs := f.runsOf("leak-17"); runs != 1 || a.refusedUnrun() {
		t.Errorf("the job ran %d times; the retry got %d %s", runs, a.status, a.body)
	}
}
