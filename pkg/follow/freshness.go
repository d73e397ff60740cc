package follow

import (
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// freshness records how complete a copy is known to be. It is safe for concurrent use.
type freshness struct {
	mu sync.Mutex
	// position is the position up to which the copy is complete.
	position store.Position
	// lastChanged is the position of the last known change, or a later one up to position.
	lastChanged store.Position
	// lastRead is the moment as of which the last answer to one of this instance's own calls showed
	// the copy to be complete. lastConfirmed is the latest such moment of another instance's read
	// that confirmed the copy.
	lastRead, lastConfirmed time.Time
	// lastPublished is the position of the last change that another instance published. behindSince
	// is when this copy began to lack such a change.
	lastPublished store.Position
	behindSince   time.Time
	// wakeup wakes a goroutine that waits for changes that this copy may lack.
	wakeup chan struct{}
	// outageEndedAt is when the store was last found to answer again after an outage.
	outageEndedAt time.Time
}

func (s *freshness) currentPosition() store.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position
}

// reset lets the copy be replaced by a list at an earlier position of its era.
func (s *freshness) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position.Version = 0
}

// recordReadAsOf records an answered call: the position that the copy has reached, its last change,
// and the moment as of which it is complete.
func (s *freshness) recordReadAsOf(since, changed store.Position, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position = store.Later(s.position, since)
	s.lastChanged = store.Later(s.lastChanged, changed)
	if asOf.After(s.lastRead) {
		s.lastRead = asOf
	}
}

// advance records that another instance supplied the changes up to a position.
func (s *freshness) advance(upTo, changed store.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position = store.Later(s.position, upTo)
	s.lastChanged = store.Later(s.lastChanged, changed)
}

// recordOutageEnd records that an outage ended some time ago, and reports whether that end was not
// known yet. Each end is reported several times, by instances that noticed it at different times,
// and possibly after this instance has stopped reporting it itself.
func (s *freshness) recordOutageEnd(ago time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-ago)
	if !s.outageEndedAt.IsZero() && at.Sub(s.outageEndedAt) < sameOutageTolerance {
		return false
	}
	s.outageEndedAt = at
	return true
}

// confirmedWithin reports whether the copy was confirmed by a read of another instance within the
// given age.
func (s *freshness) confirmedWithin(age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastConfirmed.IsZero() && time.Since(s.lastConfirmed) <= age
}

// timeSinceOutage returns the time since the last outage ended; false if it ended outageReportPeriod
// ago or earlier.
func (s *freshness) timeSinceOutage() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ago := time.Since(s.outageEndedAt)
	return ago, !s.outageEndedAt.IsZero() && ago < outageReportPeriod
}

// sameOutageTolerance is the maximum difference between the times at which instances notice the end
// of one outage: some probe the store once in 0.4 s, with calls that time out after a second.
const sameOutageTolerance = 2 * time.Second

// outageReportPeriod is how long the end of an outage is reported to other instances: entries of
// live upstreams that expired during the outage are written again within about two seconds.
const outageReportPeriod = 3 * time.Second

// confirm records a read of the store by another instance, age ago, that showed no change after
// lastChange. If this copy has reached lastChange, it is confirmed as of the time of that read, even
// if the other instance has not seen this copy's last change yet. Otherwise this copy lacks a change.
// A confirmation from a past era is ignored.
func (s *freshness) confirm(lastChange store.Position, age time.Duration) (complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reachesLocked(lastChange) {
		return false
	}
	if lastChange.Era < s.position.Era {
		return true
	}
	if at := time.Now().Add(-age); at.After(s.lastConfirmed) {
		s.lastConfirmed = at
	}
	return true
}

// reaches reports whether this copy has a change that another instance published. If not, it lacks
// the change from now on. A change of a past era is ignored.
func (s *freshness) reaches(published store.Position) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachesLocked(published)
}

// reachesLocked is reaches for callers that hold s.mu.
func (s *freshness) reachesLocked(published store.Position) bool {
	if published.Era < s.position.Era || !s.position.Before(published) {
		return true
	}
	if !s.position.Before(s.lastPublished) {
		s.behindSince = time.Now()
	}
	s.lastPublished = store.Later(s.lastPublished, published)
	select {
	case s.wakeupChan() <- struct{}{}:
	default: // a wakeup is already pending
	}
	return false
}

// timeUntilStale returns how long the copy may still be relied on without another confirmation, and
// the reason why not longer. behindLimit is how long it may lack a published change.
func (s *freshness) timeUntilStale(timeout, behindLimit time.Duration) (Reason, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unconfirmed := timeout - time.Since(s.lastConfirmed)
	if !s.position.Before(s.lastPublished) {
		return Unconfirmed, unconfirmed
	}
	behind := behindLimit - time.Since(s.behindSince)
	if behind <= unconfirmed {
		return Behind, behind
	}
	return Unconfirmed, unconfirmed
}

// isBehind reports whether another instance published a change that this copy lacks.
func (s *freshness) isBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position.Before(s.lastPublished)
}

// wakeups returns a channel that receives when the copy may lack a change.
func (s *freshness) wakeups() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wakeupChan()
}

// wakeupChan returns the wakeup channel and creates it if needed. s.mu must be held.
func (s *freshness) wakeupChan() chan struct{} {
	if s.wakeup == nil {
		s.wakeup = make(chan struct{}, 1)
	}
	return s.wakeup
}

// readAge returns the time since the copy was complete according to one of this instance's own
// calls; false before the first.
func (s *freshness) readAge() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastRead), !s.lastRead.IsZero()
}

func (s *freshness) age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastRead
	if s.lastConfirmed.After(last) {
		last = s.lastConfirmed
	}
	return time.Since(last), !last.IsZero()
}

// statement is what an instance knows of a copy at one moment.
type statement struct {
	// position is the position up to which the copy is complete. Nothing of it changed after
	// lastChanged up to position.
	position, lastChanged store.Position
	// readAge is the time since one of the instance's own calls showed that nothing changed after
	// lastChanged; read is false before the first such call.
	readAge time.Duration
	read    bool
}

// statement returns what is known of the copy now.
func (s *freshness) statement() statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return statement{
		position: s.position, lastChanged: s.lastChanged, readAge: time.Since(s.lastRead), read: !s.lastRead.IsZero(),
	}
}
