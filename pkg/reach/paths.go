// Package reach connects an instance to upstreams: over its own links, or through another instance if
// those do not lead to an upstream.
//
// A connection that cannot be established shows only that the upstream is not reached from here. Whether
// the upstream or the own link is the cause is known to the other instances, so it is they who are asked,
// both for a connection and before an upstream counts as crashed.
package reach

import (
	"sync"
	"time"

	"github.com/qmuntal/stateless"
)

// Parameters of the state of an instance's own links.
const (
	// failureLifetime is how long an address counts as not reached after the last failure.
	failureLifetime = 3 * time.Second
	// checkInterval is the shortest time between two direct connections to an address that is not
	// reached.
	checkInterval = 500 * time.Millisecond
	// silenceCheckInterval is the shortest time between two checks whether a service has gone silent.
	silenceCheckInterval = 500 * time.Millisecond
	// minFailedAddresses is the number of addresses of a service that must have failed, with nothing
	// heard of the service since, for it to count as not reached. A single upstream may have ended.
	minFailedAddresses = 2
)

// States of a service's paths.
const (
	stateReached   = "reached"
	stateUnreached = "unreached"
)

// Triggers of the transitions between the states.
const (
	triggerConnected = "connected"
	triggerFailed    = "failed"
)

// Change reports that an instance no longer reaches a service over its own links, or does again.
type Change struct {
	Service string
	Reached bool
	// Silent says that all the failed connections timed out.
	Silent bool
	// Failed holds the addresses that failed; empty if Reached.
	Failed []string
	// After is how long the service was not reached; 0 unless Reached.
	After time.Duration
}

// Paths holds which services and upstreams an instance reaches over its own links, by the results of its
// connections. It is safe for concurrent use.
type Paths struct {
	now      func() time.Time
	onChange func(Change)

	mu       sync.Mutex
	services map[string]*servicePaths
}

type servicePaths struct {
	machine *stateless.StateMachine
	// failures holds the addresses whose last connection failed, checkedAt when a direct connection to
	// an address that does not count as reached was last started.
	failures  map[string]pathFailure
	checkedAt map[string]time.Time
	// heardAt is when an upstream was last heard of over a direct connection, also by its being
	// established.
	heardAt time.Time
	// silenceCheckedAt is when StartSilenceCheck last reported true.
	silenceCheckedAt time.Time
	// unreachedSince is the time of the last transition to stateUnreached.
	unreachedSince time.Time
}

type pathFailure struct {
	at     time.Time
	silent bool
}

// NewPaths returns a state in which everything counts as reached. onChange is called, without a lock held,
// when a service's state changes; it may be nil.
func NewPaths(now func() time.Time, onChange func(Change)) *Paths {
	if onChange == nil {
		onChange = func(Change) {}
	}
	return &Paths{now: now, onChange: onChange, services: map[string]*servicePaths{}}
}

func (p *Paths) service(name string) *servicePaths {
	s := p.services[name]
	if s == nil {
		machine := stateless.NewStateMachine(stateReached)
		machine.Configure(stateReached).Permit(triggerFailed, stateUnreached).Ignore(triggerConnected)
		machine.Configure(stateUnreached).Permit(triggerConnected, stateReached).Ignore(triggerFailed)
		s = &servicePaths{machine: machine, failures: map[string]pathFailure{}, checkedAt: map[string]time.Time{}}
		p.services[name] = s
	}
	return s
}

func (s *servicePaths) unreached() bool { return s.machine.MustState() == stateUnreached }

// fire makes a transition; both triggers are configured in both states, so none is rejected.
func (s *servicePaths) fire(trigger string) { _ = s.machine.Fire(trigger) }

// NoteConnected records that a direct connection to an address was established.
func (p *Paths) NoteConnected(service, address string) {
	p.mu.Lock()
	s := p.service(service)
	s.heardAt = p.now()
	delete(s.failures, address)
	delete(s.checkedAt, address)
	change := Change{Service: service, Reached: true, After: s.heardAt.Sub(s.unreachedSince)}
	changed := s.unreached()
	s.fire(triggerConnected)
	p.mu.Unlock()
	if changed {
		p.onChange(change)
	}
}

// NoteFailed records that a direct connection to an address could not be established; silent says that
// it timed out.
func (p *Paths) NoteFailed(service, address string, silent bool) {
	p.mu.Lock()
	s := p.service(service)
	now := p.now()
	s.failures[address] = pathFailure{at: now, silent: silent}
	s.checkedAt[address] = now
	failed, allSilent := s.failedSinceHeard(now)
	changed := len(failed) >= minFailedAddresses && !s.unreached()
	if changed {
		s.unreachedSince = now
		s.fire(triggerFailed)
	}
	p.mu.Unlock()
	if changed {
		p.onChange(Change{Service: service, Silent: allSilent, Failed: failed})
	}
}

// failedSinceHeard returns the addresses that failed lately with nothing heard of the service since, and
// whether all of them timed out.
func (s *servicePaths) failedSinceHeard(now time.Time) (failed []string, allSilent bool) {
	allSilent = true
	for address, f := range s.failures {
		if now.Sub(f.at) >= failureLifetime {
			delete(s.failures, address)
			delete(s.checkedAt, address)
			continue
		}
		if f.at.After(s.heardAt) {
			failed = append(failed, address)
			allSilent = allSilent && f.silent
		}
	}
	return failed, allSilent
}

// NoteHeard records that an upstream of the service was heard of over a direct connection.
func (p *Paths) NoteHeard(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(service).heardAt = p.now()
}

// StartSilenceCheck reports whether nothing was heard of a service over direct connections for a time, and
// records that this is being checked. It does so once in each silenceCheckInterval.
func (p *Paths) StartSilenceCheck(service string, silence time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	now := p.now()
	if now.Sub(s.heardAt) < silence || now.Sub(s.silenceCheckedAt) < silenceCheckInterval {
		return false
	}
	s.silenceCheckedAt = now
	return true
}

// Reaches reports whether an address counts as reached over the own links.
func (p *Paths) Reaches(service, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	if s.unreached() {
		return false
	}
	f, failed := s.failures[address]
	return !failed || p.now().Sub(f.at) >= failureLifetime
}

// ReachesService reports whether a service counts as reached over the own links.
func (p *Paths) ReachesService(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.service(service).unreached()
}

// FailedSilently reports whether the last connection to an address timed out.
func (p *Paths) FailedSilently(service, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).failures[address].silent
}

// StartCheck reports whether a direct connection to an address that does not count as reached is due, and
// if so records that it starts now.
func (p *Paths) StartCheck(service, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	now := p.now()
	if last, checked := s.checkedAt[address]; checked && now.Sub(last) < checkInterval {
		return false
	}
	s.checkedAt[address] = now
	return true
}

// Unreached returns the names of the services that do not count as reached.
func (p *Paths) Unreached() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, s := range p.services {
		if s.unreached() {
			names = append(names, name)
		}
	}
	return names
}
