// Package soak runs the real program as separate processes and injects seeded faults from
// outside, single, in series and overlapping, while clients send requests. From what
// clients and upstreams observe, it checks the guarantees: a non-idempotent request runs at
// most once, refusals are true, each client gets its own whole answer, no account spends
// more than it prepaid, planned work cuts no request off, and the fleet serves all routes
// again afterwards.
//
// Faults are injected by signals and by relays on loopback addresses. The processes have no
// storage. Their clocks cannot be stepped from outside, but a paused process sees its clock
// jump. Instances reach each other directly: network partitions between them are tested
// elsewhere.
package soak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// Options configures a run.
type Options struct {
	// Seed draws the faults and the clients' requests.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Instances, Upstreams and Clients are the numbers of processes, stand-ins and clients.
	Instances, Upstreams, Clients int
	// Program is the path of the instance's program, Dir a directory for settings and
	// logs, which are not removed.
	Program, Dir string
	// MaxMemoryBytes bounds the resident memory of a process; 0 for no bound.
	MaxMemoryBytes int64
	// Out gets a line for each fault and violation; nil for no output.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Faults     int
	Requests   int
	Statuses   map[string]int
	Violations []string
	// CrashingRequests is the number of crashing requests, UpstreamCrashes how many
	// upstreams they crashed.
	CrashingRequests, UpstreamCrashes int
	// Resumed is the number of streams that clients resumed, WentOn how many of them went on.
	Resumed, WentOn int
	// ExcusedOverspend is how many tokens were spent beyond the prepaid amount after store
	// rollbacks during which instances died or were paused. That is no violation.
	ExcusedOverspend int64
	// Unanswered is the number of requests whose connections were accepted and ended without any answer
	// and without a failure, and which did not run. That is no violation.
	Unanswered int
	// MaxMemoryBytes is the largest resident memory of a process that was read.
	MaxMemoryBytes int64
}

// String implements fmt.Stringer.
func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d faults, %d requests %v, %d violations, %d tokens overspent after store rollbacks, %d crashing requests that crashed %d upstreams, %d of %d resumed streams went on, %d without an answer beside no failure, at most %d MB of memory",
		r.Seed, r.Faults, r.Requests, r.Statuses, len(r.Violations), r.ExcusedOverspend, r.CrashingRequests, r.UpstreamCrashes, r.WentOn, r.Resumed, r.Unanswered, r.MaxMemoryBytes>>20)
}

// injectedFault records when a fault was in effect, and at which instance.
type injectedFault struct {
	kind     Kind
	instance *instance
	from, to time.Time
}

// runner is the state of one run.
type runner struct {
	opts   Options
	fleet  *fleet
	probes int
	// crashing are the requests that crash upstreams, crashes how many upstreams they crashed.
	crashing []*crashingRequest
	crashes  int
	// unanswered counts requests without an answer that did not run; only checkRuns changes it.
	unanswered int
	// maxMemory is the largest resident memory of a process; only watchMemory changes it.
	maxMemory int64

	mu               sync.Mutex
	requests         []*request
	faults           []*injectedFault
	lostPeriods      []lostPeriod
	violations       []string
	excusedOverspend int64
	// activeEmptyings is the number of active emptyings of each domain.
	activeEmptyings map[string]int
}

// maxViolations bounds the recorded violations: one cause can violate a guarantee for each
// request.
const maxViolations = 50

// readyTimeout is how long a fleet may take to start.
const readyTimeout = 30 * time.Second

// Run starts a fleet, injects the faults of the seed and checks the guarantees. It returns an
// error only if the fleet did not start; violations are in the report.
func Run(opts Options) (*Report, error) {
	r := &runner{opts: opts, crashing: newCrashingRequests(opts.Seed), activeEmptyings: map[string]int{}}
	var err error
	if r.fleet, err = newFleet(opts, r.onUpstreamCrash); err != nil {
		return nil, err
	}
	defer r.fleet.close()
	if err := r.awaitReady(); err != nil {
		return nil, err
	}
	plan := NewPlan(opts.Seed, opts.Duration)
	r.injectAll(plan)
	time.Sleep(runsVisibleDelay)
	r.checkRecovery()
	r.checkRuns()
	r.checkCrashes()
	r.checkCold()
	return r.report(len(plan)), nil
}

func (r *runner) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, i := range r.fleet.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("instance %s is not ready after %v; see its log in %s", i.name, readyTimeout, r.opts.Dir)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// injectAll runs the clients and injects the faults of a plan. It returns when all faults and
// clients have ended.
func (r *runner) injectAll(plan []Fault) {
	ctx, stopClients := context.WithCancel(context.Background())
	var workers, faults sync.WaitGroup
	for n := range r.opts.Clients {
		workers.Go(func() { r.runClient(ctx, n) })
	}
	for _, e := range newEmptyings(r.opts.Seed, r.opts.Duration) {
		workers.Go(func() { r.emptyDomain(ctx, e) })
	}
	workers.Go(func() { r.watchMemory(ctx) })
	for n, f := range r.crashing {
		workers.Go(func() { r.sendRepeatedly(ctx, n, f) })
	}
	start := time.Now()
	for _, f := range plan {
		time.Sleep(time.Until(start.Add(f.Start)))
		r.logf("%s", f)
		faults.Go(func() { r.injectAndRecord(f) })
	}
	pause.For(context.Background(), time.Until(start.Add(r.opts.Duration)))
	faults.Wait()
	stopClients()
	workers.Wait()
}

// injectAndRecord injects a fault and records when and at which instance.
func (r *runner) injectAndRecord(f Fault) {
	s := &injectedFault{kind: f.Kind, instance: r.fleet.instances[f.Target%len(r.fleet.instances)], from: time.Now()}
	r.mu.Lock()
	r.faults = append(r.faults, s)
	r.mu.Unlock()
	r.inject(context.Background(), f)
	r.mu.Lock()
	s.to = time.Now()
	r.mu.Unlock()
}

// faultBetween reports whether a recorded fault that match accepts was in effect in a period.
func (r *runner) faultBetween(from, to time.Time, match func(*injectedFault) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.faults {
		if match(s) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// failureBetween reports whether any failure was in effect in a period.
func (r *runner) failureBetween(from, to time.Time) bool {
	return r.faultBetween(from, to, func(s *injectedFault) bool { return !plannedKinds[s.kind] })
}

// interruptedBetween reports whether an instance was killed, paused or stopped in a period.
func (r *runner) interruptedBetween(i *instance, from, to time.Time) bool {
	return r.faultBetween(from, to, func(s *injectedFault) bool {
		return s.instance == i && (s.kind == Kill || s.kind == Pause || s.kind == Stop)
	})
}

// plannedWorkBetween reports whether an instance was stopped or reloaded as planned in a period.
func (r *runner) plannedWorkBetween(i *instance, from, to time.Time) bool {
	return r.faultBetween(from, to, func(s *injectedFault) bool {
		return s.instance == i && (s.kind == Stop || s.kind == Reload)
	})
}

// record checks an answer and keeps the request for checkRuns.
func (r *runner) record(s *request) {
	r.checkAnswer(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, s)
}

// reportViolation logs and records the violation of a guarantee.
func (r *runner) reportViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logf("VIOLATION %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, text)
	}
}

func (r *runner) logf(format string, args ...any) {
	if r.opts.Out != nil {
		_, _ = fmt.Fprintf(r.opts.Out, "seed %d "+format+"\n", append([]any{r.opts.Seed}, args...)...)
	}
}

func (r *runner) report(faults int) *Report {
	report := &Report{
		Seed: r.opts.Seed, Faults: faults, Requests: len(r.requests), Statuses: map[string]int{}, Violations: r.violations, ExcusedOverspend: r.excusedOverspend,
		CrashingRequests: len(r.crashing), UpstreamCrashes: r.crashes, Unanswered: r.unanswered, MaxMemoryBytes: r.maxMemory,
	}
	report.Resumed, report.WentOn = r.countResumed()
	for _, s := range r.requests {
		name := fmt.Sprint(s.status)
		switch {
		case s.leavesEarly && s.err != nil:
			name = "left"
		case s.err != nil:
			name = "broken"
		}
		report.Statuses[name]++
	}
	return report
}
