package test

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/lavenderring/lavenderring/pkg/standin/plain"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// The desk presses "assign" and, hearing nothing, presses again and again, at
// whatever instance the balancer gives it. All presses carry one key; the claim
// on it is written before anything leaves, so one runs and the others wait for
// its answer or read it later.
func TestRetriesWithOneKeyRunOnce(t *testing.T) {
	f := newFleet(t, options{instances: 3, services: 2, prepaid: 10_000})
	for _, s := range f.services {
		f.post(s.control, "/_faults", plain.Faults{DelayMillis: 300})
	}
	var presses sync.WaitGroup
	answers := make([]answer, 9)
	for n := range answers {
		presses.Go(func() { answers[n] = assign(f.instances[n%3].address, "job-1", "leak-17") })
	}
	presses.Wait()
	answers = append(answers, assign(f.instances[1].address, "job-1", "leak-17"))
	for n, a := range answers {
		if !a.whole || a.body != answers[0].body {
			t.Errorf("press %d got %d %q, the first %q", n, a.status, a.body, answers[0].body)
		}
	}
	if runs := f.runsOf("leak-17"); runs != 1 {
		t.Errorf("the job ran %d times", runs)
	}
}

// The key of one job is used for another by mistake. Answering with the first
// job's confirmation would leave the second without a van.
func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	f := newFleet(t, options{instances: 2, services: 1, prepaid: 10_000})
	if a := assign(f.instances[0].address, "job-1", "leak-1"); !a.whole {
		t.Fatalf("got %d %s", a.status, a.body)
	}
	a := assign(f.instances[1].address, "job-1", "leak-2")
	if a.status != http.StatusUnprocessableEntity || !a.refusedUnrun() {
		t.Errorf("got %d %s", a.status, a.body)
	}
	if f.runsOf("leak-2") != 0 {
		t.Error("the other job ran")
	}
}

// The instance dies while the job is at the service. The desk's retry at another
// instance must neither run it again nor say "not run": the service has it. The
// claim names the dead instance, so the answer is "unknown" with the id to ask for.
func TestDeathDuringDispatchIsUnknownNeverTwice(t *testing.T) {
	f := newFleet(t, options{instances: 3, services: 1, prepaid: 10_000})
	f.post(f.services[0].control, "/_faults", plain.Faults{DelayMillis: 2000})
	first := make(chan answer, 1)
	go func() { first <- assign(f.instances[0].address, "job-1", "leak-17") }()
	f.await("the run", func() bool { return f.runsOf("leak-17") == 1 })
	f.instances[0].kill()
	<-first
	a := assign(f.instances[1].address, "job-1", "leak-17")
	if a.problem.Outcome != "unknown" || a.problem.Title != "outcome-unknown" {
		t.Errorf("got %d %s", a.status, a.body)
	}
	if runs := f.runsOf("leak-17"); runs != 1 {
		t.Errorf("the job ran %d times", runs)
	}
}

// The instance dies at one step of a booking after the other. Wherever it is, the
// desk's retry at another instance never makes it run twice, and what it is told
// is true: it ran, it did not, or nobody knows.
func TestDeathAtEachStepOfABooking(t *testing.T) {
	for _, step := range []struct {
		description string
		before      func(*fleet)
		reached     func(*fleet) bool
		ranBefore   int
	}{
		{
			description: "while the claim is on its way",
			before:      func(f *fleet) { f.post(f.platform.address, "/faults", standin.Faults{SlowMillis: 400}) },
			reached:     func(f *fleet) bool { status, err := f.status(f.instances[0]); return err == nil && status.Active == 1 },
		},
		{
			description: "while the service works",
			before:      func(f *fleet) { f.post(f.services[0].control, "/_faults", plain.Faults{DelayMillis: 1500}) },
			reached:     func(f *fleet) bool { return f.runsOf("leak-17") == 1 },
			ranBefore:   1,
		},
		{
			description: "before the outcome is recorded",
			before:      func(f *fleet) { f.post(f.services[0].control, "/_faults", plain.Faults{DelayMillis: 500}) },
			reached: func(f *fleet) bool {
				if f.runsOf("leak-17") == 0 {
					return false
				}
				f.post(f.platform.address, "/faults", standin.Faults{Outage: true})
				status, err := f.status(f.instances[0])
				return err == nil && status.Active == 0
			},
			ranBefore: 1,
		},
	} {
		t.Run(step.description, func(t *testing.T) {
			f := newFleet(t, options{instances: 2, services: 1, prepaid: 10_000})
			step.before(f)
			first := make(chan answer, 1)
			go func() { first <- assign(f.instances[0].address, "job-1", "leak-17") }()
			f.await(step.description, func() bool { return step.reached(f) })
			f.instances[0].kill()
			<-first
			f.post(f.platform.address, "/faults", standin.Faults{})
			f.post(f.services[0].control, "/_faults", plain.Faults{})
			a := assign(f.instances[1].address, "job-1", "leak-17")
			runs := f.runsOf("leak-17")
			if runs > 1 || runs < step.ranBefore {
				t.Errorf("the job ran %d times", runs)
			}
			if a.whole && runs != 1 || a.refusedUnrun() && runs != 0 {
				t.Errorf("told %d %s, and it ran %d times", a.status, a.body, runs)
			}
		})
	}
}

// The instance is frozen past every limit with the job at the service, and wakes
// after others have answered the retry. It may finish its own request; it
// dispatches nothing anew, and the retry after that gets the recorded answer.
func TestFrozenInstanceWakesWithoutHarm(t *testing.T) {
	f := newFleet(t, options{instances: 3, services: 1, prepaid: 10_000})
	f.post(f.services[0].control, "/_faults", plain.Faults{DelayMillis: 1000})
	first := make(chan answer, 1)
	go func() { first <- assign(f.instances[0].address, "job-1", "leak-17") }()
	f.await("the run", func() bool { return f.runsOf("leak-17") == 1 })
	f.instances[0].signal(syscall.SIGSTOP)
	if a := assign(f.instances[1].address, "job-1", "leak-17"); a.problem.Outcome != "unknown" {
		t.Errorf("while frozen: %d %s", a.status, a.body)
	}
	f.instances[0].signal(syscall.SIGCONT)
	if a := <-first; !a.whole {
		t.Errorf("the first press: %d %s %v", a.status, a.body, a.err)
	}
	f.await("the recorded answer", func() bool {
		return assign(f.instances[2].address, "job-1", "leak-17").whole
	})
	if runs := f.runsOf("leak-17"); runs != 1 {
		t.Errorf("the job ran %d times", runs)
	}
}

// The service runs the job and its connection breaks before the answer. The
// HTTP library would send some requests again by itself; here each goes out on a
// connection of its own that is dialled once.
func TestBrokenAnswerIsUnknownNeverTwice(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut} {
		t.Run(method, func(t *testing.T) {
			f := newFleet(t, options{instances: 2, services: 2, prepaid: 10_000})
			f.doc.Pools[1].NonIdempotent[0].Method = method
			f.doc.Accounts[0].PrepaidTokens++ // the store makes no version of a document that is the same
			f.apply(f.doc)
			f.awaitGeneration(2)
			for _, s := range f.services {
				f.post(s.control, "/_faults", plain.Faults{DropAnswers: 5})
			}
			a := call(f.instances[0].address, crewKey, method, "/services/jobs/assign", "job-1", []byte(`{"job":"x"}`))
			if a.problem.Outcome != "unknown" {
				t.Errorf("got %d %s", a.status, a.body)
			}
			if runs := f.runsOf("x"); runs != 1 {
				t.Errorf("ran %d times", runs)
			}
		})
	}
}

// The platform is down. A job with a key cannot be claimed, so it is refused at
// once as "not run" with when to come back, and truly does not run. Questions
// to the model go on from tokens drawn before.
func TestStoreOutageRefusesTrulyUnrun(t *testing.T) {
	f := newFleet(t, options{instances: 2, engines: 1, services: 1, prepaid: 1_000_000})
	if a := ask(f.instances[0].address, crewKey, false, 5, "warm up"); !a.whole {
		t.Fatalf("got %d %s", a.status, a.body)
	}
	f.post(f.platform.address, "/faults", standin.Faults{Outage: true})
	a := assign(f.instances[0].address, "job-1", "leak-17")
	if !a.refusedUnrun() || a.header.Get("Retry-After") == "" {
		t.Errorf("got %d %s", a.status, a.body)
	}
	if runs := f.runsOf("leak-17"); runs != 0 {
		t.Errorf("the refused job ran %d times", runs)
	}
	for range 5 {
		if a := ask(f.instances[0].address, crewKey, true, 5, "pipe?"); !a.whole {
			t.Errorf("a question in the outage: %d %s", a.status, a.body)
		}
	}
	f.post(f.platform.address, "/faults", standin.Faults{})
	f.await("the job after the outage", func() bool {
		return assign(f.instances[0].address, "job-1", "leak-17").whole
	})
	if runs := f.runsOf("leak-17"); runs != 1 {
		t.Errorf("after the outage the job ran %d times", runs)
	}
}

// Each claim's write takes effect and its answer is lost. The claimer reads back
// and finds its own request's id; taking the loss for a failure would refuse
// "not run" with the claim standing, or claim twice.
func TestLostStoreAnswersClaimOnce(t *testing.T) {
	f := newFleet(t, options{instances: 2, services: 1, prepaid: 100_000})
	for n := range 5 {
		job := "leak-" + strings.Repeat("i", n+1)
		f.post(f.platform.address, "/faults", standin.Faults{LoseAnswers: 3})
		first := assign(f.instances[n%2].address, job, job)
		second := assign(f.instances[(n+1)%2].address, job, job)
		if !first.whole || second.body != first.body {
			t.Errorf("%s: got %d %s, then %d %s", job, first.status, first.body, second.status, second.body)
		}
		if runs := f.runsOf(job); runs != 1 {
			t.Errorf("%s ran %d times", job, runs)
		}
	}
}

// A service is not there at all: no connection takes the request, so it moves on
// to a replica that is, even though it may not be repeated, and with none left
// the refusal "not run" is true.
func TestUnreachableServiceIsNotRun(t *testing.T) {
	f := newFleet(t, options{instances: 1, services: 2, prepaid: 10_000, deadlineMillis: 3000})
	f.services[0].kill()
	f.services = f.services[1:]
	for n := range 12 {
		job := "leak-" + strings.Repeat("i", n+1)
		a := assign(f.instances[0].address, job, job)
		if !a.whole && !a.refusedUnrun() {
			t.Errorf("got %d %s", a.status, a.body)
		}
		if ran := f.runsOf(job) == 1; ran != a.whole {
			t.Errorf("%s: answered whole %v, ran %v", job, a.whole, ran)
		}
	}
	f.services[0].kill()
	a := assign(f.instances[0].address, "last", "last")
	if !a.refusedUnrun() {
		t.Errorf("got %d %s", a.status, a.body)
	}
}
