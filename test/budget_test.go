package test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/platform/standin"
)

// loadRequestTimeout is how long a client of the load waits for an answer.
const loadRequestTimeout = 2 * time.Second

// jobPrice is the price in tokens of one request to the plain service in the test document.
const jobPrice = 10

// load sends model requests to all instances from several clients until it is
// finished, and collects the answers.
type load struct {
	f       *fleet
	stopped atomic.Bool
	clients sync.WaitGroup
	mu      sync.Mutex
	answers []answer
}

func startLoad(f *fleet, clients int, maxTokens int64) *load {
	l := &load{f: f}
	for n := range clients {
		l.clients.Go(func() {
			for i := 0; !l.stopped.Load(); i++ {
				p := f.instances[(n+i)%len(f.instances)]
				a := askModelWithTimeout(loadRequestTimeout, p.address, crewKey, i%2 == 0, maxTokens, samplePrompt)
				l.mu.Lock()
				l.answers = append(l.answers, a)
				l.mu.Unlock()
				if !a.whole {
					time.Sleep(pollInterval)
				}
			}
		})
	}
	return l
}

// finish stops the load and returns its answers.
func (l *load) finish() []answer {
	l.stopped.Store(true)
	l.clients.Wait()
	return l.answers
}

// awaitWholeAnswers waits until the load has got count whole answers.
func (l *load) awaitWholeAnswers(count int) {
	l.f.t.Helper()
	l.f.t.Cleanup(l.logLastAnswer)
	l.f.await(fmt.Sprintf("%d whole answers", count), func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		whole := 0
		for _, a := range l.answers {
			if a.whole {
				whole++
			}
		}
		return whole >= count
	})
}

// logLastAnswer logs the number of answers and the last one if the test has failed.
func (l *load) logLastAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.f.t.Failed() && len(l.answers) > 0 {
		last := l.answers[len(l.answers)-1]
		l.f.t.Logf("%d answers, the last: %d %s %v", len(l.answers), last.status, last.body, last.err)
	}
}

// checkAccounting compares the engines' own count with the bills and the ledger.
// Every whole answer has exactly one bill over exactly its cost, or an open record;
// the ledger has no more tokens spent than the upstreams counted; and no budget is
// spent beyond what was prepaid.
func checkAccounting(t *testing.T, f *fleet, answers []answer, prepaid int64) {
	t.Helper()
	usage := f.engineUsage()
	var spent int64
	for _, tokens := range usage {
		spent += tokens
	}
	spent += jobPrice * int64(len(f.runs()))
	if spent > prepaid {
		t.Errorf("the upstreams counted %d tokens, %d were prepaid", spent, prepaid)
	}
	statement := f.readStatement()
	if len(statement.DuplicateBills) > 0 {
		t.Errorf("billed twice: %v", statement.DuplicateBills)
	}
	for _, a := range answers {
		if !a.whole {
			continue
		}
		request := a.header.Get("X-Request-Id")
		record := statement.Bills[request]
		if record == nil {
			if statement.Open[request] == nil {
				t.Errorf("request %s was answered whole and has neither a bill nor an open record", request)
			}
			continue
		}
		if record.Tokens != usage[request] {
			t.Errorf("request %s is billed %d tokens, its engine counted %d", request, record.Tokens, usage[request])
		}
	}
	if b := f.readBudget(crewBudget); b.Spent() > spent {
		t.Errorf("the ledger has %d tokens spent, the upstreams counted %d", b.Spent(), spent)
	}
}

// Without faults, once all instances have stopped, the ledger's total, the sum of the
// bills and the engines' count are equal, and all tokens that were not spent are free.
func TestBooksAgreeToTheToken(t *testing.T) {
	const prepaid = 1_000_000
	f := newFleet(t, options{instances: 3, engines: 2, prepaid: prepaid, tokenMillis: 1})
	l := startLoad(f, 6, 20)
	l.awaitWholeAnswers(60)
	answers := l.finish()
	f.stopAll()
	checkAccounting(t, f, answers, prepaid)
	var spent int64
	for _, tokens := range f.engineUsage() {
		spent += tokens
	}
	b := f.readBudget(crewBudget)
	if billed := f.readStatement().Total(crewBudget); billed != spent || b.Spent() != spent {
		t.Errorf("the engines counted %d tokens, the bills total %d, the ledger has %d", spent, billed, b.Spent())
	}
	if b.Free() != prepaid-spent {
		t.Errorf("%d tokens are free, expected %d; grants left: %d", b.Free(), prepaid-spent, len(b.Grants))
	}
}

// All instances spend a small budget at once while one is killed and one is paused
// beyond every timeout and resumed. Clients are refused when the budget is used up, and
// the engines never count more than was prepaid.
func TestKillAndFreezeNeverOverspend(t *testing.T) {
	const prepaid = 30_000
	f := newFleet(t, options{instances: 3, engines: 2, prepaid: prepaid, tokenMillis: 1})
	l := startLoad(f, 8, 100)
	l.awaitWholeAnswers(10)
	f.instances[2].kill()
	f.instances[1].signal(syscall.SIGSTOP)
	l.awaitWholeAnswers(30)
	f.await("two silent members", func() bool {
		status, err := f.status(f.instances[0])
		silent := 0
		for _, m := range status.Members {
			if m.Silent {
				silent++
			}
		}
		return err == nil && silent == 2
	})
	f.instances[1].signal(syscall.SIGCONT)
	f.await("the budget to be used up", func() bool {
		return askModel(f.instances[0].address, crewKey, false, 100, samplePrompt).status == 402
	})
	answers := l.finish()
	f.instances = f.instances[:2]
	f.stopAll()
	checkAccounting(t, f, answers, prepaid)
}

// Under load, the store loses the answers to writes that took effect, is slow, and is
// unavailable for a while. A draw is written as an absolute target, so an instance
// that got no answer settles it by reading the ledger back, and no token is drawn
// twice.
func TestStoreFaultsNeverOverspend(t *testing.T) {
	const prepaid = 60_000
	f := newFleet(t, options{instances: 3, engines: 2, prepaid: prepaid, tokenMillis: 1})
	l := startLoad(f, 6, 60)
	for round := range 3 {
		f.post(f.platform.address, "/faults", standin.Faults{LoseAnswers: 4})
		l.awaitWholeAnswers(10 + 20*round)
		f.post(f.platform.address, "/faults", standin.Faults{Outage: true})
		l.awaitWholeAnswers(20 + 20*round)
		f.post(f.platform.address, "/faults", standin.Faults{SlowMillis: 200})
	}
	f.post(f.platform.address, "/faults", standin.Faults{})
	answers := l.finish()
	f.stopAll()
	checkAccounting(t, f, answers, prepaid)
}
