// Package soak runs the real program as separate processes, lets seeded faults strike
// from outside, alone, in series and overlapping, while clients use the fleet, and checks
// from what clients and upstreams see that the promises hold: at most one run of what may
// not be repeated, true refusals, whole and own answers, no spending beyond what is
// prepaid, planned work that cuts nothing off, and a fleet that serves again afterwards.
//
// Faults come by signals and by relays on loopback addresses. The processes have no
// storage. Their clocks cannot be stepped from outside; a paused process sees time jump.
// Instances reach each other directly: what separates them is played elsewhere.
package soak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// Options size a run.
type Options struct {
	// Seed draws the faults and the clients' requests.
	Seed uint64
	// Length is for how long faults strike.
	Length time.Duration
	// Instances, Upstreams and Clients are how many there are.
	Instances, Upstreams, Clients int
	// Program is the path of the instance's program, Dir a directory for settings and
	// logs, which are left there.
	Program, Dir string
	// Out takes the course of the run; nil for none.
	Out io.Writer
}

// Report is what a run showed.
type Report struct {
	Seed       uint64
	Faults     int
	Requests   int
	Statuses   map[string]int
	Violations []string
	// Fatal is how many requests crashed upstreams, Crashes how many they crashed.
	Fatal, Crashes int
	// Apart is what was overspent after the store went back while instances died, in tokens.
	Apart int64
}

// String implements fmt.Stringer.
func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d faults, %d requests %v, %d violations, %d tokens apart, %d fatal requests that crashed %d upstreams",
		r.Seed, r.Faults, r.Requests, r.Statuses, len(r.Violations), r.Apart, r.Fatal, r.Crashes)
}

// struck is when a fault was in force, and where.
type struck struct {
	kind     Kind
	instance *instance
	from, to time.Time
}

// run is one run.
type run struct {
	opts   Options
	fleet  *fleet
	probes int
	// fatal are the requests that crash upstreams, crashes how often they did.
	fatal   []*fatalRequest
	crashes int

	mu         sync.Mutex
	sendings   []*sending
	struck     []*struck
	lost       []lostTime
	violations []string
	apart      int64
	// emptied counts, by domain, the times that it is emptied for at present.
	emptied map[string]int
}

// mostViolations bounds what is remembered: one cause can break a promise for each
// request.
const mostViolations = 50

// readyTime is how long a fleet may take to start.
const readyTime = 30 * time.Second

// Run plays one run to its end.
func Run(opts Options) (*Report, error) {
	r := &run{opts: opts, fatal: newFatalRequests(opts.Seed), emptied: map[string]int{}}
	var err error
	if r.fleet, err = newFleet(opts, r.crashed); err != nil {
		return nil, err
	}
	defer r.fleet.close()
	if err := r.awaitReady(); err != nil {
		return nil, err
	}
	plan := NewPlan(opts.Seed, opts.Length)
	r.play(plan)
	time.Sleep(runsSettle)
	r.checkRecovery()
	r.checkRuns()
	r.checkFatal()
	r.checkCold()
	return r.report(len(plan)), nil
}

func (r *run) awaitReady() error {
	deadline := time.Now().Add(readyTime)
	for _, i := range r.fleet.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v; see its log in %s", i.name, readyTime, r.opts.Dir)
			}
			time.Sleep(recoverCheck)
		}
	}
	return nil
}

// play lets clients and faults run, and returns when all faults have ended.
func (r *run) play(plan []Fault) {
	clients, stopClients := context.WithCancel(context.Background())
	var using, striking sync.WaitGroup
	for n := range r.opts.Clients {
		using.Go(func() { r.client(clients, n) })
	}
	for _, e := range newEmptyings(r.opts.Seed, r.opts.Length) {
		using.Go(func() { r.empty(clients, e) })
	}
	for n, f := range r.fatal {
		using.Go(func() { r.keepSending(clients, n, f) })
	}
	began := time.Now()
	for _, f := range plan {
		time.Sleep(time.Until(began.Add(f.At)))
		r.say("%s", f)
		striking.Go(func() { r.strikeNoted(f) })
	}
	pause.For(context.Background(), time.Until(began.Add(r.opts.Length)))
	striking.Wait()
	stopClients()
	using.Wait()
}

// strikeNoted strikes and notes when and where.
func (r *run) strikeNoted(f Fault) {
	s := &struck{kind: f.Kind, instance: r.fleet.instances[f.Target%len(r.fleet.instances)], from: time.Now()}
	r.mu.Lock()
	r.struck = append(r.struck, s)
	r.mu.Unlock()
	r.strike(context.Background(), f)
	r.mu.Lock()
	s.to = time.Now()
	r.mu.Unlock()
}

// overlaps reports whether a noted fault that a choice accepts was in force in a time.
func (r *run) overlaps(from, to time.Time, choice func(*struck) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.struck {
		if choice(s) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// troubled reports a failure anywhere in a time.
func (r *run) troubled(from, to time.Time) bool {
	return r.overlaps(from, to, func(s *struck) bool { return !planned[s.kind] })
}

// troubledAt reports that an instance was killed, paused or replaced in a time.
func (r *run) troubledAt(i *instance, from, to time.Time) bool {
	return r.overlaps(from, to, func(s *struck) bool {
		return s.instance == i && (s.kind == Kill || s.kind == Pause || s.kind == Stop)
	})
}

// stoppedAt reports that an instance had planned work in a time.
func (r *run) stoppedAt(i *instance, from, to time.Time) bool {
	return r.overlaps(from, to, func(s *struck) bool {
		return s.instance == i && (s.kind == Stop || s.kind == Reload)
	})
}

func (r *run) note(s *sending) {
	r.checkAnswer(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendings = append(r.sendings, s)
}

func (r *run) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.say("VIOLATION %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < mostViolations {
		r.violations = append(r.violations, text)
	}
}

func (r *run) say(format string, args ...any) {
	if r.opts.Out != nil {
		_, _ = fmt.Fprintf(r.opts.Out, "seed %d "+format+"\n", append([]any{r.opts.Seed}, args...)...)
	}
}

func (r *run) report(faults int) *Report {
	report := &Report{
		Seed: r.opts.Seed, Faults: faults, Requests: len(r.sendings), Statuses: map[string]int{}, Violations: r.violations, Apart: r.apart,
		Fatal: len(r.fatal), Crashes: r.crashes,
	}
	for _, s := range r.sendings {
		name := fmt.Sprint(s.status)
		switch {
		case s.left && s.err != nil:
			name = "left"
		case s.err != nil:
			name = "broken"
		}
		report.Statuses[name]++
	}
	return report
}
