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

// findDrawer returns the instance that, by the ledger, has drawn the most tokens of the account.
func (f *routedFleet) findDrawer() *routedInstance {
	f.t.Helper()
	var most int64
	drawer := ""
	for n := range 4 {
		object, err := f.client.Get(f.t.Context(), fmt.Sprintf("ledgers/%04d", n))
		if err != nil {
			continue // no instance has written this shard yet
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
	f.t.Fatalf("the ledger names no running instance that has drawn tokens: %q", drawer)
	return nil
}

// spentTokens returns the cost in tokens of everything that the engines have run.
func (f *routedFleet) spentTokens() int64 {
	var cost int64
	for _, engine := range f.engines {
		for _, run := range engine.Runs() {
			cost += promptTokens + int64(run.Events)
		}
	}
	return cost
}

// rewriteStore writes the configuration and the upstreams' entries again, as operators and upstreams do
// after a store rollback.
func (f *routedFleet) rewriteStore() {
	f.t.Helper()
	f.writeConfig()
	for n, u := range f.plainUpstreams {
		f.store.Announce(u, "jobs", domainOf(n), u.Address, false)
	}
	for n, u := range f.engines {
		f.store.Announce(u, "models", domainOf(n), u.Address, false)
	}
}

// Guards against an account that spends more than it prepaid after a store rollback. Its tokens were
// drawn, acknowledged and spent; then the store came back from a copy that is older than the draws, and
// the instance that had made them died. The others read a ledger in which the tokens are free, and
// would draw them again.
func TestNothingIsSpentTwiceAfterTheStoreWentBack(t *testing.T) {
	const streams = 40
	f := newRoutedFleet(t, 3, streams*(promptTokens+streamEvents))
	time.Sleep(time.Second)
	start := time.Now()
	for n := range streams * 3 / 4 {
		f.send(f.instances[n%3], fmt.Sprintf("before-%d", n), "stream", "x")
	}
	time.Sleep(1200 * time.Millisecond) // time for two reports of each instance
	drawer := f.findDrawer()
	f.store.RollBack(standin.Rollback{OutageMillis: 300, CopyAgeMillis: time.Since(start).Milliseconds() + 200})
	drawer.kill()
	f.rewriteStore()
	served := 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); {
		for n, i := range f.instances {
			if i != drawer && f.send(i, fmt.Sprintf("after-%d-%d", n, served), "stream", "x").status == http.StatusOK {
				served++
			}
		}
	}
	if spent := f.spentTokens(); spent > f.prepaid {
		t.Errorf("%d tokens of %d prepaid were spent, %d streams after the store rollback", spent, f.prepaid, served)
	}
}

// Guards against a removed route that is still served, and a leaving upstream that still gets requests,
// for as long as the store's revision is below the one that the instances had seen. After a store
// rollback, what is written again has lower versions, which an instance that accepts higher versions
// only would ignore.
func TestChangesAreInForceAfterTheStoreWentBack(t *testing.T) {
	const maxDelay = 8 * time.Second // four times the 2 s bound, as room for a busy machine
	f := newRoutedFleet(t, 3, 1_000_000)
	time.Sleep(time.Second)
	start := time.Now()
	for range 40 {
		f.writeConfig()
	}
	time.Sleep(time.Second)
	f.store.RollBack(standin.Rollback{OutageMillis: 300, CopyAgeMillis: time.Since(start).Milliseconds() + 200})
	f.rewriteStore()
	f.omittedRoutes["safe"] = true
	f.writeConfig()
	leaving := f.plainUpstreams[0]
	f.markLeaving(leaving)
	if took := f.awaitChangesInForce(leaving); took > maxDelay {
		t.Errorf("the changes took %v to be in force, more than %v", took, maxDelay)
	}
}

// Guards against a request that runs twice after a store rollback. Its idempotency key was claimed and
// it ran; then the store came back from a copy that is older than the claim, and the client's retry
// would claim the key again.
func TestNothingRunsTwiceAfterTheStoreWentBack(t *testing.T) {
	f := newFleet(t, options{instances: 3, services: 1, prepaid: 10_000})
	time.Sleep(time.Second)
	if a := assign(f.instances[0].address, "job-1", "leak-17"); !a.whole {
		t.Fatalf("the job before the store rollback got %d %s", a.status, a.body)
	}
	time.Sleep(300 * time.Millisecond) // until the outcome is recorded
	f.post(f.platform.address, "/go-back", standin.Rollback{OutageMillis: 200, CopyAgeMillis: 900})
	time.Sleep(time.Second)
	a := assign(f.instances[1].address, "job-1", "leak-17")
	if runs := f.runsOf("leak-17"); runs != 1 || a.refusedNotRun() {
		t.Errorf("the job ran %d times; the retry got %d %s", runs, a.status, a.body)
	}
}
