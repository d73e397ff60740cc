package follow

import (
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// freshness is what is known of a copy's completeness. It is safe for concurrent use.
type freshness struct {
	mu sync.Mutex
	// since is the position up to which the copy has everything.
	since store.Position
	// changed is the position of the last known change, or a later one up to since.
	changed store.Position
	// read is when an own call was last answered, confirmed the time of the latest reading
	// by which another instance confirmed the copy.
	read, confirmed time.Time
	// published is the last change that another instance published, missedSince when this
	// copy first lacked it.
	published   store.Position
	missedSince time.Time
	// lacks wakes who waits for what this copy may lack.
	lacks chan struct{}
	// returnedAt is when the store was last found to answer again after an outage.
	returnedAt time.Time
}

func (s *freshness) upTo() store.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since
}

// positions returns the one up to which the copy has everything, and that of the last change.
func (s *freshness) positions() (since, changed store.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since, s.changed
}

// forget makes the next call read the whole list, of this era or a later one.
func (s *freshness) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since.Version = 0
}

// reach notes an answered call.
func (s *freshness) reach(since, changed store.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = store.Later(s.since, since)
	s.changed = store.Later(s.changed, changed)
	s.read = time.Now()
}

// handed notes that another instance handed on what changed up to a position.
func (s *freshness) handed(upTo, changed store.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = store.Later(s.since, upTo)
	s.changed = store.Later(s.changed, changed)
}

// returned notes that an outage ended some time ago, and reports whether that is news: each end is
// told several times, by instances that noticed it at different times, also after this one has
// forgotten it.
func (s *freshness) returned(ago time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-ago)
	if !s.returnedAt.IsZero() && at.Sub(s.returnedAt) < sameOutage {
		return false
	}
	s.returnedAt = at
	return true
}

// confirmedWithin reports whether another instance read the store lately.
func (s *freshness) confirmedWithin(age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.confirmed.IsZero() && time.Since(s.confirmed) <= age
}

// sinceOutage returns how long ago the last outage was over; false if that is long ago.
func (s *freshness) sinceOutage() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ago := time.Since(s.returnedAt)
	return ago, !s.returnedAt.IsZero() && ago < outageTold
}

// sameOutage is how far apart instances notice the end of one outage: some probe the store once in
// 0.4 s, in calls that are given up after a second.
const sameOutage = 2 * time.Second

// outageTold is for how long others are told of an outage's end: entries of live upstreams that
// lapsed in it are written again within about two seconds.
const outageTold = 3 * time.Second

// confirm notes what another instance read. A position that this copy has reached confirms it
// as of the time of that reading, also if the other has not seen this copy's last change yet;
// a later one shows that it lacks something. The word of an era that is over says nothing.
func (s *freshness) confirm(lastChange store.Position, age time.Duration) (complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lastChange.Era < s.since.Era {
		return true
	}
	if !s.since.Before(lastChange) {
		if at := time.Now().Add(-age); at.After(s.confirmed) {
			s.confirmed = at
		}
		return true
	}
	if !s.since.Before(s.published) {
		s.missedSince = time.Now()
	}
	s.published = store.Later(s.published, lastChange)
	select {
	case s.wake() <- struct{}{}:
	default: // it will look anyway
	}
	return false
}

// trusted returns for how long the copy may still be trusted without another answer, and
// for what reason not longer; behindLimit is how long it may lack a published change.
func (s *freshness) trusted(timeout, behindLimit time.Duration) (Reason, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unconfirmed := timeout - time.Since(s.confirmed)
	if !s.since.Before(s.published) {
		return Unconfirmed, unconfirmed
	}
	behind := behindLimit - time.Since(s.missedSince)
	if behind <= unconfirmed {
		return Behind, behind
	}
	return Unconfirmed, unconfirmed
}

// lacksPublished reports that another instance published a change which this copy lacks.
func (s *freshness) lacksPublished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since.Before(s.published)
}

// lacking returns a channel that receives when the copy may lack a change.
func (s *freshness) lacking() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wake()
}

// wake returns the channel; s.mu is held.
func (s *freshness) wake() chan struct{} {
	if s.lacks == nil {
		s.lacks = make(chan struct{}, 1)
	}
	return s.lacks
}

// readAge returns how long ago an own call was answered; false before the first.
func (s *freshness) readAge() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.read), !s.read.IsZero()
}

func (s *freshness) age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.read
	if s.confirmed.After(last) {
		last = s.confirmed
	}
	return time.Since(last), !last.IsZero()
}

func (s *freshness) lastChange() (store.Position, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed, time.Since(s.read), !s.read.IsZero()
}
