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

// Two operators read the same version and write different edits. One edit takes
// effect; the other gets a conflict, so that its operator can merge the edits.
func TestRacingOperatorsOneWins(t *testing.T) {
	f := newFleet(t, options{instances: 2, prepaid: 1000})
	for round := range 5 {
		object, err := f.store.Get(t.Context(), configsync.DocumentPrefix+service)
		f.must(err)
		var writers sync.WaitGroup
		results := make([]error, 2)
		for n := range results {
			doc := *f.doc
			doc.Accounts = append([]document.Account{}, f.doc.Accounts...)
			// Each edit must change something: the store accepts a write of unchanged contents at any version.
			doc.Accounts[n].PrepaidTokens = int64(1010 + 10*round)
			text := encodeDocument(t, &doc)
			writers.Go(func() { _, results[n] = f.writeDocument(text, object.Position) })
		}
		writers.Wait()
		won := 0
		for _, err := range results {
			if err == nil {
				won++
			} else if !errors.Is(err, store.ErrConflict) {
				t.Error(err)
			}
		}
		if won != 1 {
			t.Errorf("round %d: %d edits took effect, expected 1", round, won)
		}
		f.awaitGeneration(uint64(2 + round))
	}
}

// An operator writes an invalid document to the store, past the check of the
// command line. The document accepted before stays in force, and the status in the
// store names every fault.
func TestInvalidEditLeavesTheAcceptedInForce(t *testing.T) {
	f := newFleet(t, options{instances: 2, engines: 1, prepaid: 100_000})
	object, err := f.store.Get(t.Context(), configsync.DocumentPrefix+service)
	f.must(err)
	invalid := strings.Replace(string(object.Value), "prepaid_tokens = 100000", "prepaid_tokens = -5", 1)
	invalid = strings.Replace(invalid, "max_output_tokens = 400", "max_output_tokens = 0", 1)
	_, err = f.writeDocument([]byte(invalid), object.Position)
	f.must(err)
	f.await("the reasons in the status", func() bool {
		status, err := f.store.Get(t.Context(), configsync.StatusPrefix+service)
		text := string(status.Value)
		return err == nil && strings.Contains(text, "prepaid_tokens") && strings.Contains(text, "max_output_tokens")
	})
	if a := askModel(f.instances[0].address, crewKey, true, 5, samplePrompt); !a.whole {
		t.Errorf("a request under the accepted document got %d %s", a.status, a.body)
	}
	if status, _ := f.status(f.instances[0]); status.Generations[service] != 1 {
		t.Errorf("generations in force are %v, expected generation 1", status.Generations)
	}
}

// The store becomes unavailable right after an edit was accepted. An instance
// that starts during the outage queries its seeds and starts with the newest
// generation that they hold, never without a configuration or with an older one.
func TestInstanceStartedInOutageHasTheNewest(t *testing.T) {
	f := newFleet(t, options{instances: 2, engines: 1, prepaid: 100_000})
	f.doc.Pools[0].MaxOutputTokens = 300
	f.apply(f.doc)
	f.awaitGeneration(2)
	f.post(f.platform.address, "/faults", standin.Faults{Outage: true})
	started := f.startInstance(2, []string{f.peerAddress(f.instances[0])})
	f.awaitReady(started)
	status, err := f.status(started)
	f.must(err)
	if status.Generations[service] != 2 {
		t.Errorf("the instance started with generations %v, expected generation 2", status.Generations)
	}
}

// peerAddress reads an instance's own peer address from its status.
func (f *fleet) peerAddress(p *process) string {
	f.t.Helper()
	status, err := f.status(p)
	f.must(err)
	for _, m := range status.Members {
		if m.Incarnation == status.Incarnation {
			return m.PeerAddress
		}
	}
	f.t.Fatalf("the instance at %s does not list itself as a member", p.control)
	return ""
}

// An engine is marked as leaving. Once the edit is in force, the engine gets no
// new requests, and the streams that run on it are completed.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	f := newFleet(t, options{instances: 3, engines: 2, prepaid: 10_000_000, tokenMillis: 10})
	running := make(chan answer, 6)
	for n := range 6 {
		go func() { running <- askModel(f.instances[n%3].address, crewKey, true, 200, samplePrompt) }()
	}
	f.await("all streams to run", func() bool { return len(f.engineUsage()) == 6 })
	f.doc.Pools[0].Upstreams[0].State = document.StateLeaving
	f.apply(f.doc)
	f.awaitGeneration(2)
	before := countEngineRequests(f, 0)
	for n := range 20 {
		expectWhole(t, f, askModel(f.instances[n%3].address, crewKey, false, 2, samplePrompt))
	}
	if after := countEngineRequests(f, 0); after != before {
		t.Errorf("the leaving engine got %d new requests", after-before)
	}
	for range 6 {
		expectWhole(t, f, <-running)
	}
}

// countEngineRequests returns for how many requests one engine has counted tokens.
func countEngineRequests(f *fleet, engine int) int {
	single := *f
	single.engines = f.engines[engine : engine+1]
	return len(single.engineUsage())
}

// rollingRounds is how often each instance is replaced; manual runs set more rounds.
var rollingRounds = flag.Int("rolling", 1, "rounds of TestRollingRestartLosesNothing")

// All instances are replaced one after the other under load. Clients send a
// request to another instance when one refuses it or is gone, as a load balancer
// does. No job is lost or runs twice, and bills, ledger and upstreams agree afterwards.
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
	var clients sync.WaitGroup
	var jobs int
	for n := range 4 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				job := fmt.Sprintf("job-%d-%d", n, i)
				if !sendWithFailover(pick, n+i, func(p *process) answer { return assign(p.address, job, job) }) {
					t.Errorf("%s was lost", job)
				}
				sendWithFailover(pick, n+i, func(p *process) answer { return askModel(p.address, crewKey, true, 30, samplePrompt) })
				mu.Lock()
				jobs++
				mu.Unlock()
			}
		})
	}
	for restart := range 3 * *rollingRounds {
		n := restart % 3
		old := pick(n)
		replacement := f.startInstance(n, nil)
		f.awaitReady(replacement)
		mu.Lock()
		instances[n] = replacement
		mu.Unlock()
		old.signal(syscall.SIGTERM)
		if err := old.cmd.Wait(); err != nil {
			t.Errorf("the stopped instance %d ended with %v", n, err)
		}
	}
	close(stop)
	clients.Wait()
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
	checkAccounting(t, f, nil, prepaid)
}

// sendWithFailover sends a request as a load balancer does: to the next instance
// when one refuses it as not run or its connection fails. It reports whether a whole
// answer came.
func sendWithFailover(pick func(int) *process, n int, send func(*process) answer) bool {
	for try := range 6 {
		a := send(pick(n + try))
		if a.whole {
			return true
		}
		if a.err == nil && !a.refusedNotRun() {
			return false
		}
	}
	return false
}
