package soak

import (
	"time"

	"github.com/lavenderring/lavenderring/platform/standin"
)

// Parameters of store rollbacks.
const (
	// outageDivisor sets how long the store is unavailable before it comes back: the fault's duration
	// divided by it. The copy is as old as the fault is long.
	outageDivisor = 2
	// unsettledDuration is how long the ledger may be unsettled after the store has come back. It
	// allows for instances that are dead or paused at that time.
	unsettledDuration = 10 * time.Second
)

// rollBackStore makes the store unavailable and then come back from a copy. Operators and upstreams
// write their configuration and entries again.
func (r *runner) rollBackStore(f Fault) {
	outage := f.Duration / outageDivisor
	r.recordLostPeriod(time.Now().Add(-f.Duration), time.Now().Add(outage+unsettledDuration))
	r.fleet.store.RollBack(standin.Rollback{
		OutageMillis: outage.Milliseconds(), CopyAgeMillis: f.Duration.Milliseconds(), Silent: f.Target%2 == 0,
	})
	if err := r.fleet.operator.write(); err != nil {
		r.reportViolation("write the configuration after a store rollback: %v", err)
	}
	r.fleet.announceAll()
}

// lostPeriod is a period in which the store may have lost draws.
type lostPeriod struct{ from, to time.Time }

func (r *runner) recordLostPeriod(from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostPeriods = append(r.lostPeriods, lostPeriod{from, to})
}

// unwitnessedCost returns how much of a request's cost may be spent twice: all of it, if it was spent
// in a period that the store lost, and instances died or were paused in that period, so that perhaps
// no running instance had witnessed the draw.
func (r *runner) unwitnessedCost(s *request, cost int64) int64 {
	r.mu.Lock()
	lost := append([]lostPeriod{}, r.lostPeriods...)
	r.mu.Unlock()
	for _, l := range lost {
		if s.end.Before(l.from) || s.start.After(l.to) {
			continue
		}
		if r.faultBetween(l.from, l.to, func(s *injectedFault) bool { return s.kind == Kill || s.kind == KillAll || s.kind == Pause }) {
			return cost
		}
	}
	return 0
}

// announceAll writes every upstream's entry again, as in service or leaving, and withdraws the entries
// of those that are gone.
func (f *fleet) announceAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	inService := map[*upstream]bool{}
	for _, u := range f.upstreams {
		inService[u] = true
	}
	for _, u := range f.all {
		switch {
		case inService[u]:
			f.store.Announce(u.Upstream, u.service, u.domain, u.relayAddress, false)
		case f.leaving[u]:
			f.store.Announce(u.Upstream, u.service, u.domain, u.relayAddress, true)
		default:
			f.store.Withdraw(u.Upstream)
		}
	}
}

// setLeaving records whether an upstream is announced as leaving and not yet withdrawn.
func (f *fleet) setLeaving(u *upstream, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[u] = leaving
}
