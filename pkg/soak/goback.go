package soak

import (
	"time"

	"github.com/lavenderring/lavenderring/platform/standin"
)

// How the store goes back.
const (
	// awayPart is the part of a fault's time, as a divisor, that the store is away before it comes
	// back; the copy is as old as the fault is long.
	awayPart = 2
	// settledTime is how long after its return the ledger may be unsettled, with room for
	// instances that are dead or paused then.
	settledTime = 10 * time.Second
)

// goBack has the store be away and come back from a copy; operators and upstreams write theirs
// again.
func (r *run) goBack(f Fault) {
	away := f.For / awayPart
	r.noteLost(time.Now().Add(-f.For), time.Now().Add(away+settledTime))
	r.fleet.store.RollBack(standin.Rollback{
		OutageMillis: away.Milliseconds(), CopyAgeMillis: f.For.Milliseconds(), Silent: f.Target%2 == 0,
	})
	if err := r.fleet.operator.write(); err != nil {
		r.violate("the configuration was not written again: %v", err)
	}
	r.fleet.announceAll()
}

// lostTime is a time in which the store may have lost draws.
type lostTime struct{ from, to time.Time }

func (r *run) noteLost(from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = append(r.lost, lostTime{from, to})
}

// unseen returns what may be spent twice of what a request cost: all of it, if it was spent in a
// time that the store lost, and instances died or were paused in it, so that perhaps nobody alive
// had seen the draw.
func (r *run) unseen(s *sending, cost int64) int64 {
	r.mu.Lock()
	lost := append([]lostTime{}, r.lost...)
	r.mu.Unlock()
	for _, l := range lost {
		if s.ended.Before(l.from) || s.began.After(l.to) {
			continue
		}
		if r.overlaps(l.from, l.to, func(s *struck) bool { return s.kind == Kill || s.kind == KillAll || s.kind == Pause }) {
			return cost
		}
	}
	return 0
}

// announceAll writes every upstream's entry again: in service, leaving, or gone.
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

// setLeaving notes whether an upstream has said that it leaves and is still there.
func (f *fleet) setLeaving(u *upstream, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[u] = leaving
}
