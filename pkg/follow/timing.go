package follow

import (
	"math/rand/v2"
	"time"
)

// DefaultBound is the time within which a change must be in force at all instances unless the
// settings say otherwise.
const DefaultBound = 2 * time.Second

// Parts of a bound that are not available for detecting that a copy is stale.
const (
	// requestTime covers a request that was assigned its upstream just before the change was known
	// and is still on its way to it.
	requestTime = 200 * time.Millisecond
	// answerAllowance covers one call, over a new connection, to a store that answers.
	answerAllowance = 100 * time.Millisecond
	// minBound is the shortest bound for which timeouts are computed: below it, timeouts are close
	// to the time of an answer, and every instance would call the store all the time.
	minBound = 500 * time.Millisecond
)

// Limits that do not grow with the bound.
const (
	// maxWatchTimeout: a shorter timeout costs more calls; this one costs 1.4 calls a second for
	// each kind, at one instance.
	maxWatchTimeout = 700 * time.Millisecond
	// maxLastTimeout: with it, an instance that lost its publishers in an outage is up to date
	// within 3 s, the time allowed for recovery.
	maxLastTimeout = 2200 * time.Millisecond
	// maxRelaxedWatchTimeout and maxRelaxedLastTimeout replace the two limits above for copies whose
	// bound is longer than that of other copies (RelaxedTimingFor).
	maxRelaxedWatchTimeout = 1500 * time.Millisecond
	maxRelaxedLastTimeout  = 3 * time.Second
	// maxBehindTimeout: passed from each instance to several others, a large configuration reaches
	// 300 instances within half a second; calling the store earlier would cost a needless call.
	maxBehindTimeout = 600 * time.Millisecond
	// maxHedgeDelay is longer than a slow store takes to answer.
	maxHedgeDelay = 350 * time.Millisecond
)

// Fractions of a bound or timeout.
const (
	hedgeFraction    = 0.175 // of the bound
	behindFraction   = 0.2   // of the bound
	reservedFraction = 0.3   // of the bound, at most
	watchFraction    = 0.52  // of the last rank's timeout
	firstFraction    = 0.6   // of the time between the watch timeout and the last rank's timeout
)

// Timing holds the timeouts for keeping copies current. All are derived from one bound: the time
// from the store's acknowledgement of a change until no instance uses the previous state.
//
// The last instance to learn of a change must do so within the bound less requestTime, even if no
// confirmation reaches it and its first call to the store is lost. That takes LastTimeout,
// HedgeDelay and one answer. A published change that no instance supplies takes a lost confirmation
// (WatchTimeout), the pause before the change is published (coalescePause), BehindTimeout,
// HedgeDelay and one answer. If the timeouts were chosen independently, their sum would exceed the
// bound in some of these cases, and requests would be sent to an upstream that announced long
// before that it leaves.
type Timing struct {
	// WatchTimeout is the timeout of a watch by an instance that publishes.
	WatchTimeout time.Duration
	// FirstTimeout is how long the instance of the second rank may go unconfirmed before it takes
	// over from the first; LastTimeout is the corresponding time for every rank from maxPublishers
	// on.
	FirstTimeout, LastTimeout time.Duration
	// BehindTimeout is how long a copy may lack a published change before the store is called.
	BehindTimeout time.Duration
	// HedgeDelay is how long a call that updates a copy goes unanswered before it is made a second
	// time in parallel, over another connection.
	HedgeDelay time.Duration
	// QueryLead is how long before its timeout an unconfirmed instance queries others, whose copies
	// may be confirmed: in most cases only a message was lost.
	QueryLead time.Duration
}

// TimingFor returns the timing for a bound.
func TimingFor(bound time.Duration) Timing { return newTiming(bound, maxWatchTimeout, maxLastTimeout) }

// RelaxedTimingFor returns the timing for a copy whose bound is longer than that of other copies:
// timeouts as long as the bound allows, so that the copy costs fewer calls. LastTimeout stays below
// the shortest time after an outage within which instances must be up to date.
func RelaxedTimingFor(bound time.Duration) Timing {
	return newTiming(bound, maxRelaxedWatchTimeout, maxRelaxedLastTimeout)
}

func newTiming(bound, watchLimit, lastLimit time.Duration) Timing {
	bound = max(bound, minBound)
	t := Timing{
		HedgeDelay:    min(maxHedgeDelay, fraction(bound, hedgeFraction)),
		BehindTimeout: min(maxBehindTimeout, fraction(bound, behindFraction)),
	}
	reserved := min(requestTime+answerAllowance, fraction(bound, reservedFraction))
	t.LastTimeout = min(lastLimit, bound-reserved-t.HedgeDelay)
	t.WatchTimeout = min(watchLimit, fraction(t.LastTimeout, watchFraction))
	t.FirstTimeout = t.WatchTimeout + fraction(t.LastTimeout-t.WatchTimeout, firstFraction)
	t.QueryLead = (t.FirstTimeout - t.WatchTimeout) / 3
	return t
}

func fraction(d time.Duration, ratio float64) time.Duration {
	return time.Duration(ratio * float64(d)).Round(time.Millisecond)
}

// ConfirmTimeout returns how long an instance of a rank may go unconfirmed; 0 for the first, which
// always watches the store.
func (t *Timing) ConfirmTimeout(rank int) time.Duration {
	if rank <= 0 {
		return 0
	}
	if rank >= maxPublishers {
		return t.LastTimeout
	}
	// The differences shrink with the rank: one of the first few ranks has to take over, unless the
	// store refuses many instances.
	return t.LastTimeout - (t.LastTimeout-t.FirstTimeout)/time.Duration(rank)
}

// watchSchedule aligns one instance's watches. The watches of all its copies end at the same times,
// so that one confirmation covers all of them while each is fresh. The start is random, so that
// instances which start together do not call the store together: in an outage all of them watch it.
type watchSchedule struct {
	start    time.Time
	interval time.Duration
}

func newWatchSchedule(every time.Duration) watchSchedule {
	return watchSchedule{start: time.Now().Add(-rand.N(every)), interval: every}
}

// untilNext returns the time until the next watch.
func (s watchSchedule) untilNext() time.Duration { return s.interval - time.Since(s.start)%s.interval }
