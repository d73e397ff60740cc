package follow

import (
	"math/rand/v2"
	"time"
)

// DefaultBound is the time that a change may take to be in force everywhere where settings say
// nothing else.
const DefaultBound = 2 * time.Second

// What of a bound is not for noticing that a copy is old.
const (
	// requestTime is for a request that was given its upstream just before the change was known:
	// it is on its way to it.
	requestTime = 200 * time.Millisecond
	// answerAllowance is for one call to a store that answers, over a new connection.
	answerAllowance = 100 * time.Millisecond
	// shortestBound is the least bound that times are made for: below it, waits are of the size
	// of an answer, and every instance would ask the store all the time.
	shortestBound = 500 * time.Millisecond
)

// Times that do not grow with the bound any further.
const (
	// longestWait: a shorter one costs more calls; this one costs 1.4 a second for each kind,
	// at one instance.
	longestWait = 700 * time.Millisecond
	// longestLast: with it an instance that lost its publishers in an outage is up to date
	// within the 3 s that one may take to be over with.
	longestLast = 2200 * time.Millisecond
	// relaxedWait and relaxedLast are these two for copies whose bound is longer.
	relaxedWait = 1500 * time.Millisecond
	relaxedLast = 3 * time.Second
	// longestBehind: handed on from one instance to some others each, a large configuration
	// reaches 300 within half a second; what is asked of the store too soon costs a call.
	longestBehind = 600 * time.Millisecond
	// longestHedge is above what a slow store takes to answer.
	longestHedge = 350 * time.Millisecond
)

// Parts of a bound.
const (
	hedgePart    = 0.175 // of the bound
	behindPart   = 0.2   // of the bound
	reservedPart = 0.3   // of the bound, at most
	waitPart     = 0.52  // of the last rank's timeout
	firstPart    = 0.6   // of the time between the wait and the last rank's timeout
)

// Timing is how long each step of keeping copies current may take. All follow from one bound: the
// time from a change's acknowledgement by the store until no instance works by what was before.
//
// Whoever is last to know must know within the bound less requestTime, also if no confirmation
// reaches it and its first call to the store is lost. That is Last, Hedge and one answer; a
// published change that nobody hands on takes a confirmation that was lost (Wait), the pause
// before the change is published (gather), Behind, Hedge and one answer. Timeouts that are chosen
// apart from each other add up to more than the bound in some of these cases: work then goes to an
// upstream that has long said that it leaves.
type Timing struct {
	// Wait is how long a watch of an instance that publishes waits.
	Wait time.Duration
	// First is how long the instance of the second rank may go unconfirmed before it takes the
	// first one's place, Last how long all ranks from publishers on may.
	First, Last time.Duration
	// Behind is how long a copy may lack a change that is published before the store is asked.
	Behind time.Duration
	// Hedge is how long a call by which a copy is renewed goes unanswered before it is made a
	// second time beside the first, over another connection.
	Hedge time.Duration
	// Ask is how long before its timeout an unconfirmed instance asks others, whose copies may
	// be confirmed: most often only a message was lost.
	Ask time.Duration
}

// TimingFor returns the times for a bound.
func TimingFor(bound time.Duration) Timing { return timingUpTo(bound, longestWait, longestLast) }

// TimingWithin returns the times for a bound that is longer than that of other copies: as long as it
// allows, so that the copy costs fewer calls. Last stays below the shortest time after an outage within
// which instances must be up to date.
func TimingWithin(bound time.Duration) Timing { return timingUpTo(bound, relaxedWait, relaxedLast) }

func timingUpTo(bound, mostWait, mostLast time.Duration) Timing {
	bound = max(bound, shortestBound)
	t := Timing{
		Hedge:  min(longestHedge, part(bound, hedgePart)),
		Behind: min(longestBehind, part(bound, behindPart)),
	}
	reserved := min(requestTime+answerAllowance, part(bound, reservedPart))
	t.Last = min(mostLast, bound-reserved-t.Hedge)
	t.Wait = min(mostWait, part(t.Last, waitPart))
	t.First = t.Wait + part(t.Last-t.Wait, firstPart)
	t.Ask = (t.First - t.Wait) / 3
	return t
}

func part(of time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(of)).Round(time.Millisecond)
}

// Timeout returns how long an instance of a rank may go unconfirmed; 0 for the first, which asks
// the store always.
func (t *Timing) Timeout(rank int) time.Duration {
	if rank <= 0 {
		return 0
	}
	if rank >= publishers {
		return t.Last
	}
	// The gaps shrink: whoever takes over has to be one of the first few, unless the store refuses many.
	return t.Last - (t.Last-t.First)/time.Duration(rank)
}

// beat is the pace of one instance's watches. The watches of all its copies end on it together,
// so that one confirmation tells of all of them while each is fresh. Instances that start at once
// have different ones: in an outage all ask the store.
type beat struct {
	from  time.Time
	every time.Duration
}

func newBeat(every time.Duration) beat {
	return beat{from: time.Now().Add(-rand.N(every)), every: every}
}

// left returns the time until the next beat.
func (b beat) left() time.Duration { return b.every - time.Since(b.from)%b.every }
