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

// A client that gets no answer retries with the same idempotency key, at any
// instance. The claim on the key is written before the request is sent to an
// upstream, so one request runs and the others wait for its answer or read the
// recorded one.
func TestRetriesWithOneKeyRunOnce(t *testing.T) {
	f := newFleet(t, options{instances: 3, services: 2, prepaid: 10_000})
	for _, s := range f.services {
		f.post(s.control, "/_faults", plain.Faults{DelayMillis: 300})
	}
	var requests sync.WaitGroup
	answers := make([]answer, 9)
	for n := range answers {
		requests.Go(func() { answers[n] = assign(f.instances[n%3].address, "job-1", "leak-17") })
	}
	requests.Wait()
	answers = append(answers, assign(f.instances[1].address, "job-1", "leak-17"))
	for n, a := range answers {
		if !a.whole || a.body != answers[0].body {
			t.Errorf("request %d got %d %q, the first %q", n, a.status, a.body, answers[0].body)
		}
	}
	if runs := f.runsOf("leak-17"); runs != 1 {
		t.Errorf("the job ran %d times", runs)
	}
}

// A client uses the idempotency key of one request for another. Replaying the
// first answer would confirm a job that never ran, so the second is refused.
func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	f := newFleet(t, options{instances: 2, services: 1, prepaid: 10_000})
	if a := assign(f.instances[0].address, "job-1", "leak-1"); !a.whole {
		t.Fatalf("the first job got %d %s", a.status, a.body)
	}
	a := assign(f.instances[1].address, "job-1", "leak-2")
	if a.status != http.StatusUnprocessableEntity || !a.refusedNotRun() {
		t.Errorf("another job with the same key got %d %s", a.status, a.body)
	}
	if f.runsOf("leak-2") != 0 {
		t.Error("the other job ran")
	}
}

// An instance is killed while its request is at the upstream. The retry at
// another instance must neither run the request again nor report "not run", since
// the upstream has it. The existing claim names the dead instance, so the answer
// is "unknown", with the id under which the outcome can be looked up.
func TestDeathDuringDispatchIsUnknownNeverTwice(t *testing.T) {
	f := newFleet(t, options{instances: 3, services: 1, prepaid: 10_000})
	f.post(f.services[0].control, "/_faults", plain.Faults{DelayMillis: 2000})
	first := make(chan answer, 1)
	go func() { first <- assign(f.instances[0].address, "job-1", "leak-17") }()
	f.await("the request to run at an upstream", func() bool { return f.runsOf("leak-17") == 1 })
	f.instances[0].kill()
	<-first
	a := assign(f.instances[1].address, "job-1", "leak-17")
	if a.problem.Outcome != "unknown" || a.problem.Title != "outcome-unknown" {
		t.Errorf("the retry got %d %s", a.status, a.body)
	}
	if runs := f.runsOf("leak-17"); runs != 1 {
		t.Errorf("the job ran %d times", runs)
	}
}

// An instance is killed at each step of a non-idempotent request. The retry at
// another instance never runs the request a second time, and its answer states the
// true outcome: ran, not run or unknown.
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
			if a.whole && runs != 1 || a.refusedNotRun() && runs != 0 {
				t.Errorf("the retry got %d %s, and the job ran %d times", a.status, a.body, runs)
			}
		})
	}
}

// An instance is paused beyond every timeout while its request is at the
// upstream, and resumes after another instance has answered the retry. It may
// finish its own request but dispatches nothing again, and a later retry gets the
// recorded answer.
func TestFrozenInstanceWakesWithoutHarm(t *testing.T) {
	f := newFleet(t, options{instances: 3, services: 1, prepaid: 10_000})
	f.post(f.services[0].control, "/_faults", plain.Faults{DelayMillis: 1000})
	first := make(chan answer, 1)
	go func() { first <- assign(f.instances[0].address, "job-1", "leak-17") }()
	f.await("the request to run at an upstream", func() bool { return f.runsOf("leak-17") == 1 })
	f.instances[0].signal(syscall.SIGSTOP)
	if a := assign(f.instances[1].address, "job-1", "leak-17"); a.problem.Outcome != "unknown" {
		t.Errorf("a retry while the instance is paused got %d %s", a.status, a.body)
	}
	f.instances[0].signal(syscall.SIGCONT)
	if a := <-first; !a.whole {
		t.Errorf("the first request got %d %s %v", a.status, a.body, a.err)
	}
	f.await("the recorded answer", func() bool {
		return assign(f.instances[2].address, "job-1", "leak-17").whole
	})
	if runs := f.runsOf("leak-17"); runs != 1 {
		t.Errorf("the job ran %d times", runs)
	}
}

// An upstream runs the request and its connection breaks before the answer. The
// HTTP library resends some requests by itself; the instance prevents that by
// sending each request on a connection of its own that is dialled once.
func TestBrokenAnswerIsUnknownNeverTwice(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut} {
		t.Run(method, func(t *testing.T) {
			f := newFleet(t, options{instances: 2, services: 2, prepaid: 10_000})
			f.doc.Pools[1].NonIdempotent[0].Method = method
			f.doc.Accounts[0].PrepaidTokens++ // the store creates no new version for an unchanged document
			f.apply(f.doc)
			f.awaitGeneration(2)
			for _, s := range f.services {
				f.post(s.control, "/_faults", plain.Faults{DropAnswers: 5})
			}
			a := call(f.instances[0].address, crewKey, method, "/services/jobs/assign", "job-1", []byte(`{"job":"x"}`))
			if a.problem.Outcome != "unknown" {
				t.Errorf("the job got %d %s, expected outcome unknown", a.status, a.body)
			}
			if runs := f.runsOf("x"); runs != 1 {
				t.Errorf("the job ran %d times", runs)
			}
		})
	}
}

// The store is unavailable. A request with an idempotency key cannot be claimed,
// so it is refused at once as "not run" with a Retry-After, and does not run. Model
// requests continue on tokens that were drawn before the outage.
func TestStoreOutageRefusesTrulyUnrun(t *testing.T) {
	f := newFleet(t, options{instances: 2, engines: 1, services: 1, prepaid: 1_000_000})
	if a := askModel(f.instances[0].address, crewKey, false, 5, "warm up"); !a.whole {
		t.Fatalf("a model request before the outage got %d %s", a.status, a.body)
	}
	f.post(f.platform.address, "/faults", standin.Faults{Outage: true})
	a := assign(f.instances[0].address, "job-1", "leak-17")
	if !a.refusedNotRun() || a.header.Get("Retry-After") == "" {
		t.Errorf("a job during the outage got %d %s with Retry-After %q", a.status, a.body, a.header.Get("Retry-After"))
	}
	if runs := f.runsOf("leak-17"); runs != 0 {
		t.Errorf("the refused job ran %d times", runs)
	}
	for range 5 {
		if a := askModel(f.instances[0].address, crewKey, true, 5, "pipe?"); !a.whole {
			t.Errorf("a model request during the outage got %d %s", a.status, a.body)
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

// The write of each claim takes effect and its answer is lost. The instance reads
// the claim back and finds its own request id; treating the loss as a failed write
// would report "not run" while the claim exists, or claim twice.
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

// An upstream accepts no connection. The request was sent to nobody, so even a
// non-idempotent one moves on to another upstream; with no upstream left, the
// refusal "not run" is true.
func TestUnreachableServiceIsNotRun(t *testing.T) {
	f := newFleet(t, options{instances: 1, services: 2, prepaid: 10_000, deadlineMillis: 3000})
	f.services[0].kill()
	f.services = f.services[1:]
	for n := range 12 {
		job := "leak-" + strings.Repeat("i", n+1)
		a := assign(f.instances[0].address, job, job)
		if !a.whole && !a.refusedNotRun() {
			t.Errorf("%s got %d %s", job, a.status, a.body)
		}
		if ran := f.runsOf(job) == 1; ran != a.whole {
			t.Errorf("%s: answered whole is %v, ran is %v", job, a.whole, ran)
		}
	}
	f.services[0].kill()
	a := assign(f.instances[0].address, "last", "last")
	if !a.refusedNotRun() {
		t.Errorf("with no upstream left, the job got %d %s", a.status, a.body)
	}
}
