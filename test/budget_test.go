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

// loadPatience is when a caller of the load hangs up on a silent instance.
const loadPatience = 2 * time.Second

// jobPrice is what the test document asks for one call of the plain service.
const jobPrice = 10

// load asks at all instances from several callers until stop, and counts what
// became of the questions.
type load struct {
	f       *fleet
	stop    atomic.Bool
	callers sync.WaitGroup
	mu      sync.Mutex
	answers []answer
}

func startLoad(f *fleet, callers int, maxTokens int64) *load {
	l := &load{f: f}
	for n := range callers {
		l.callers.Go(func() {
			for i := 0; !l.stop.Load(); i++ {
				p := f.instances[(n+i)%len(f.instances)]
				a := askFor(loadPatience, p.address, crewKey, i%2 == 0, maxTokens, question)
				l.mu.Lock()
				l.answers = append(l.answers, a)
				l.mu.Unlock()
				if !a.whole {
					time.Sleep(lookAgain)
				}
			}
		})
	}
	return l
}

func (l *load) end() []answer {
	l.stop.Store(true)
	l.callers.Wait()
	return l.answers
}

func (l *load) awaitWhole(count int) {
	l.f.t.Helper()
	l.f.t.Cleanup(l.tellLast)
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

// tellLast prints the last answers of a failed test.
func (l *load) tellLast() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.f.t.Failed() && len(l.answers) > 0 {
		last := l.answers[len(l.answers)-1]
		l.f.t.Logf("%d answers, the last: %d %s %v", len(l.answers), last.status, last.body, last.err)
	}
}

// checkBooks compares the engines' own count with the bills and the ledger.
// Every whole answer has exactly one bill of exactly its cost; nothing is billed
// that no engine counted; and no budget is spent beyond what was prepaid.
func checkBooks(t *testing.T, f *fleet, answers []answer, prepaid int64) {
	t.Helper()
	usage := f.engineUsage()
	var spent int64
	for _, tokens := range usage {
		spent += tokens
	}
	spent += jobPrice * int64(len(f.runs()))
	if spent > prepaid {
		t.Errorf("the engines counted %d tokens, %d were prepaid", spent, prepaid)
	}
	statement := f.statement()
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
				t.Errorf("request %s was answered whole and has no record", request)
			}
			continue
		}
		if record.Tokens != usage[request] {
			t.Errorf("request %s is billed %d, its engine counted %d", request, record.Tokens, usage[request])
		}
	}
	if b := f.budget(crewBudget); b.Spent() > spent {
		t.Errorf("the ledger bills %d, the engines counted %d", b.Spent(), spent)
	}
}

// Nothing fails. When all instances have stopped, the ledger's total, the sum of
// the bills and the engines' count are one number, and nothing is withheld.
func TestBooksAgreeToTheToken(t *testing.T) {
	const prepaid = 1_000_000
	f := newFleet(t, options{instances: 3, engines: 2, prepaid: prepaid, tokenMillis: 1})
	l := startLoad(f, 6, 20)
	l.awaitWhole(60)
	answers := l.end()
	f.stopAll()
	checkBooks(t, f, answers, prepaid)
	var spent int64
	for _, tokens := range f.engineUsage() {
		spent += tokens
	}
	b := f.budget(crewBudget)
	if billed := f.statement().Total(crewBudget); billed != spent || b.Spent() != spent {
		t.Errorf("engines counted %d, bills say %d, the ledger says %d", spent, billed, b.Spent())
	}
	if b.Free() != prepaid-spent {
		t.Errorf("free is %d, should be %d; grants left: %d", b.Free(), prepaid-spent, len(b.Grants))
	}
}

// A small budget is drained by all instances at once while one is killed and one
// is frozen past every limit and woken. Callers see refusals when it is used up;
// the engines never count more than was prepaid.
func TestKillAndFreezeNeverOverspend(t *testing.T) {
	const prepaid = 30_000
	f := newFleet(t, options{instances: 3, engines: 2, prepaid: prepaid, tokenMillis: 1})
	l := startLoad(f, 8, 100)
	l.awaitWhole(10)
	f.instances[2].kill()
	f.instances[1].signal(syscall.SIGSTOP)
	l.awaitWhole(30)
	f.await("the reclaim", func() bool {
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
		return ask(f.instances[0].address, crewKey, false, 100, question).status == 402
	})
	answers := l.end()
	f.instances = f.instances[:2]
	f.stopAll()
	checkBooks(t, f, answers, prepaid)
}

// The store takes writes and loses its answers, is slow, and is away for a
// while, under load. Draws are absolute targets and settle by reading back.
func TestStoreFaultsNeverOverspend(t *testing.T) {
	const prepaid = 60_000
	f := newFleet(t, options{instances: 3, engines: 2, prepaid: prepaid, tokenMillis: 1})
	l := startLoad(f, 6, 60)
	for round := range 3 {
		f.post(f.platform.address, "/faults", standin.Faults{LoseAnswers: 4})
		l.awaitWhole(10 + 20*round)
		f.post(f.platform.address, "/faults", standin.Faults{Outage: true})
		l.awaitWhole(20 + 20*round)
		f.post(f.platform.address, "/faults", standin.Faults{SlowMillis: 200})
	}
	f.post(f.platform.address, "/faults", standin.Faults{})
	answers := l.end()
	f.stopAll()
	checkBooks(t, f, answers, prepaid)
}
