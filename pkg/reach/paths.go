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
	// silenceCheckInterval is the shortest time between two checks whether a group has gone silent.
	silenceCheckInterval = 500 * time.Millisecond
	// minFailedAddresses is the number of addresses of a group that must have failed, with nothing heard
	// of the group since, for it to count as not reached. A single upstream may have ended.
	minFailedAddresses = 2
)

// States of a group's paths.
const (
	stateReached   = "reached"
	stateUnreached = "unreached"
)

// Triggers of the transitions between the states.
const (
	triggerConnected = "connected"
	triggerFailed    = "failed"
)

// Group is the upstreams of one service in one failure domain, to which the same links lead.
type Group struct{ Service, Domain string }

// Change reports that an instance no longer reaches a group of upstreams over its own links, or does again.
type Change struct {
	Group
	Reached bool
	// Silent says that all the failed connections timed out.
	Silent bool
	// Failed holds the addresses that failed; empty if Reached.
	Failed []string
	// After is how long the group was not reached; 0 unless Reached.
	After time.Duration
}

// Paths holds which groups and upstreams an instance reaches over its own links, by the results of its
// connections. It is safe for concurrent use.
type Paths struct {
	now      func() time.Time
	onChange func(Change)

	mu     sync.Mutex
	groups map[Group]*groupPaths
}

type groupPaths struct {
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
// when a group's state changes; it may be nil.
func NewPaths(now func() time.Time, onChange func(Change)) *Paths {
	if onChange == nil {
		onChange = func(Change) {}
	}
	return &Paths{now: now, onChange: onChange, groups: map[Group]*groupPaths{}}
}

func (p *Paths) group(key Group) *groupPaths {
	s := p.groups[key]
	if s == nil {
		machine := stateless.NewStateMachine(stateReached)
		machine.Configure(stateReached).Permit(triggerFailed, stateUnreached).Ignore(triggerConnected)
		machine.Configure(stateUnreached).Permit(triggerConnected, stateReached).Ignore(triggerFailed)
		s = &groupPaths{machine: machine, failures: map[string]pathFailure{}, checkedAt: map[string]time.Time{}}
		p.groups[key] = s
	}
	return s
}

func (s *groupPaths) unreached() bool { return s.machine.MustState() == stateUnreached }

// fire makes a transition; both triggers are configured in both states, so none is rejected.
func (s *groupPaths) fire(trigger string) { _ = s.machine.Fire(trigger) }

// NoteConnected records that a direct connection to an address was established.
func (p *Paths) NoteConnected(group Group, address string) {
	p.mu.Lock()
	s := p.group(group)
	s.heardAt = p.now()
	delete(s.failures, address)
	delete(s.checkedAt, address)
	change := Change{Group: group, Reached: true, After: s.heardAt.Sub(s.unreachedSince)}
	changed := s.unreached()
	s.fire(triggerConnected)
	p.mu.Unlock()
	if changed {
		p.onChange(change)
	}
}

// NoteFailed records that a direct connection to an address could not be established; silent says that
// it timed out.
func (p *Paths) NoteFailed(group Group, address string, silent bool) {
	p.mu.Lock()
	s := p.group(group)
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
		p.onChange(Change{Group: group, Silent: allSilent, Failed: failed})
	}
}

// failedSinceHeard returns the addresses that failed lately with nothing heard of the group since, and
// whether all of them timed out.
func (s *groupPaths) failedSinceHeard(now time.Time) (failed []string, allSilent bool) {
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

// NoteHeard records that an upstream of the group was heard of over a direct connection.
func (p *Paths) NoteHeard(group Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group(group).heardAt = p.now()
}

// StartSilenceCheck reports whether nothing was heard of a group over direct connections for a time, and
// records that this is being checked. It does so once in each silenceCheckInterval.
func (p *Paths) StartSilenceCheck(group Group, silence time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.group(group)
	now := p.now()
	if now.Sub(s.heardAt) < silence || now.Sub(s.silenceCheckedAt) < silenceCheckInterval {
		return false
	}
	s.silenceCheckedAt = now
	return true
}

// Reaches reports whether an address counts as reached over the own links.
func (p *Paths) Reaches(group Group, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.group(group)
	if s.unreached() {
		return false
	}
	f, failed := s.failures[address]
	return !failed || p.now().Sub(f.at) >= failureLifetime
}

// ReachesGroup reports whether a group counts as reached over the own links.
func (p *Paths) ReachesGroup(group Group) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.group(group).unreached()
}

// FailedSilently reports whether the last connection to an address timed out.
func (p *Paths) FailedSilently(group Group, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group(group).failures[address].silent
}

// StartCheck reports whether a direct connection to an address that does not count as reached is due, and
// if so records that it starts now.
func (p *Paths) StartCheck(group Group, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.group(group)
	now := p.now()
	if last, checked := s.checkedAt[address]; checked && now.Sub(last) < checkInterval {
		return false
	}
	s.checkedAt[address] = now
	return true
}

// Unreached returns the groups that do not count as reached.
func (p *Paths) Unreached() []Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	var groups []Group
	for key, s := range p.groups {
		if s.unreached() {
			groups = append(groups, key)
		}
	}
	return groups
}
