package test

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// Two operators show the same version and apply different edits. One takes
// effect; the other is told and can bring its edit together with the first's.
func TestRacingOperatorsOneWins(t *testing.T) {
	f := newFleet(t, options{instances: 2, prepaid: 1000})
	for round := range 5 {
		object, err := f.store.Get(t.Context(), configsync.DocumentPrefix+service)
		f.must(err)
		var race sync.WaitGroup
		results := make([]error, 2)
		for n := range results {
			doc := *f.doc
			doc.Accounts = append([]document.Account{}, f.doc.Accounts...)
			// Each edit changes something: the store takes one that does not from anyone.
			doc.Accounts[n].PrepaidTokens = int64(1010 + 10*round)
			text := encodeDocument(t, &doc)
			race.Go(func() { _, results[n] = f.write(text, object.Position) })
		}
		race.Wait()
		won := 0
		for _, err := range results {
			if err == nil {
				won++
			} else if !errors.Is(err, store.ErrConflict) {
				t.Error(err)
			}
		}
		if won != 1 {
			t.Errorf("round %d: %d edits took effect", round, won)
		}
		f.awaitGeneration(uint64(2 + round))
	}
}

// An operator writes a document with faults past the command line's check. The
// one accepted before stays in force, and the status says every reason.
func TestInvalidEditLeavesTheAcceptedInForce(t *testing.T) {
	f := newFleet(t, options{instances: 2, engines: 1, prepaid: 100_000})
	object, err := f.store.Get(t.Context(), configsync.DocumentPrefix+service)
	f.must(err)
	bad := strings.Replace(string(object.Value), "prepaid_tokens = 100000", "prepaid_tokens = -5", 1)
	bad = strings.Replace(bad, "max_output_tokens = 400", "max_output_tokens = 0", 1)
	_, err = f.write([]byte(bad), object.Position)
	f.must(err)
	f.await("the reason", func() bool {
		status, err := f.store.Get(t.Context(), configsync.StatusPrefix+service)
		text := string(status.Value)
		return err == nil && strings.Contains(text, "prepaid_tokens") && strings.Contains(text, "max_output_tokens")
	})
	if a := ask(f.instances[0].address, crewKey, true, 5, question); !a.whole {
		t.Errorf("got %d %s", a.status, a.body)
	}
	if status, _ := f.status(f.instances[0]); status.Generations[service] != 1 {
		t.Errorf("in force: %v", status.Generations)
	}
}

// The platform goes away right after an edit was accepted by some. An instance
// that starts in the outage asks its seeds and comes up with the newest that
// they know, never with nothing or an old one.
func TestInstanceStartedInOutageHasTheNewest(t *testing.T) {
	f := newFleet(t, options{instances: 2, engines: 1, prepaid: 100_000})
	f.doc.Pools[0].MaxOutputTokens = 300
	f.apply(f.doc)
	f.awaitGeneration(2)
	f.post(f.platform.address, "/faults", standin.Faults{Outage: true})
	late := f.startInstance(2, []string{f.peerAddress(f.instances[0])})
	f.awaitReady(late)
	status, err := f.status(late)
	f.must(err)
	if status.Generations[service] != 2 {
		t.Errorf("it came up with %v", status.Generations)
	}
}

// peerAddress reads an instance's own peer address from its settings.
func (f *fleet) peerAddress(p *process) string {
	f.t.Helper()
	status, err := f.status(p)
	f.must(err)
	for _, m := range status.Members {
		if m.Incarnation == status.Incarnation {
			return m.PeerAddress
		}
	}
	f.t.Fatal("an instance does not list itself")
	return ""
}

// An engine is marked as leaving. Once the edit is in force nothing new is sent
// to it, though the stream that runs on it is finished.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	f := newFleet(t, options{instances: 3, engines: 2, prepaid: 10_000_000, tokenMillis: 10})
	running := make(chan answer, 6)
	for n := range 6 {
		go func() { running <- ask(f.instances[n%3].address, crewKey, true, 200, question) }()
	}
	f.await("streams under way", func() bool { return len(f.engineUsage()) == 6 })
	f.doc.Pools[0].Upstreams[0].State = document.StateLeaving
	f.apply(f.doc)
	f.awaitGeneration(2)
	before := usageCount(f, 0)
	for n := range 20 {
		expectWhole(t, f, ask(f.instances[n%3].address, crewKey, false, 2, question))
	}
	if after := usageCount(f, 0); after != before {
		t.Errorf("the leaving engine got %d new requests", after-before)
	}
	for range 6 {
		expectWhole(t, f, <-running)
	}
}

func usageCount(f *fleet, engine int) int {
	one := *f
	one.engines = f.engines[engine : engine+1]
	return len(one.engineUsage())
}

// rollingRounds is how often each instance is replaced; more are run by hand.
var rollingRounds = flag.Int("rolling", 1, "rounds of TestRollingRestartLosesNothing")

// All instances are replaced one after the other under load, by callers who, as
// the balancer does, go to another instance when one refuses or is gone. Nothing
// that was begun is lost, and the books agree afterwards.
func TestRollingRestartLosesNothing(t *testing.T) {
	const prepaid = 10_000_000
	f := newFleet(t, options{instances: 3, engines: 2, services: 2, prepaid: prepaid, tokenMillis: 1})
	var mu sync.Mutex
	instances := append([]*process{}, f.instances...)
	pick := func(n int) *process {
		mu.Lock()
		defer mu.Unlock()
		return instances[n%len(instances)]
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var jobs int
	for n := range 4 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				job := fmt.Sprintf("job-%d-%d", n, i)
				if !balanced(pick, n+i, func(p *process) answer { return assign(p.address, job, job) }) {
					t.Errorf("%s was lost", job)
				}
				balanced(pick, n+i, func(p *process) answer { return ask(p.address, crewKey, true, 30, question) })
				mu.Lock()
				jobs++
				mu.Unlock()
			}
		})
	}
	for restart := range 3 * *rollingRounds {
		n := restart % 3
		old := pick(n)
		fresh := f.startInstance(n, nil)
		f.awaitReady(fresh)
		mu.Lock()
		instances[n] = fresh
		mu.Unlock()
		old.signal(syscall.SIGTERM)
		if err := old.cmd.Wait(); err != nil {
			t.Errorf("instance %d: %v", n, err)
		}
	}
	close(stop)
	callers.Wait()
	f.instances = instances
	f.stopAll()
	counts := map[string]int{}
	for _, run := range f.runs() {
		counts[run.Body]++
	}
	if len(counts) != jobs {
		t.Errorf("%d jobs were assigned, %d ran", jobs, len(counts))
	}
	for job, count := range counts {
		if count != 1 {
			t.Errorf("%s ran %d times", job, count)
		}
	}
	checkBooks(t, f, nil, prepaid)
}

// balanced sends a request as the balancer would: on to the next instance while
// one is stopping or gone before it took the request.
func balanced(pick func(int) *process, n int, send func(*process) answer) bool {
	for try := range 6 {
		a := send(pick(n + try))
		if a.whole {
			return true
		}
		if a.err == nil && !a.refusedUnrun() {
			return false
		}
	}
	return false
}
