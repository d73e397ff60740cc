package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Those of an instance strike its process or its connections,
// those of an upstream its connections or what it answers.
const (
	Kill            Kind = "kill"             // SIGKILL, started again later
	KillAll         Kind = "kill-all"         // SIGKILL to all instances at once, started again together
	Pause           Kind = "pause"            // SIGSTOP, SIGCONT later
	Stop            Kind = "planned-stop"     // SIGTERM, started again when it has ended
	Reload          Kind = "reload"           // SIGHUP
	StoreReset      Kind = "store-reset"      // an instance's connections to the store are refused
	StoreSilence    Kind = "store-silence"    // its open ones fall silent for good
	StoreHold       Kind = "store-hold"       // its calls arrive and the answers do not
	StoreDelay      Kind = "store-delay"      // both directions are slow
	ClientReset     Kind = "client-reset"     // its clients' connections are reset
	UpstreamReset   Kind = "upstream-reset"   // an upstream's connections are refused
	UpstreamSilence Kind = "upstream-silence" // its open ones fall silent for good
	UpstreamHold    Kind = "upstream-hold"    // it gets requests and its answers do not pass
	UpstreamDelay   Kind = "upstream-delay"   // both directions are slow
	AnswersLost     Kind = "answers-lost"     // it runs requests and does not answer
	AnswersRefused  Kind = "answers-refused"  // it says "not run"
	AnswersFailed   Kind = "answers-failed"   // it answers 500
	AnswersCrossed  Kind = "answers-crossed"  // it answers under another request's id
	AnswersExtra    Kind = "answers-extra"    // it sends one too many
	StreamsCut      Kind = "streams-cut"      // it breaks off within an event
	Replaced        Kind = "replaced"         // it is marked as leaving, goes, and another comes
	Outage          Kind = "outage"           // the store refuses everybody
	Throttle        Kind = "throttle"         // the store throttles everybody
	Slow            Kind = "slow"             // the store is slow
	WritesLost      Kind = "writes-lost"      // writes take effect unanswered
	WritesLate      Kind = "writes-late"      // writes take effect later, unanswered
	WatchesLost     Kind = "watches-lost"     // watches are never answered, their connections stand
	HistoryGone     Kind = "history-gone"     // watches have to list anew
	WentBack        Kind = "store-went-back"  // the store is away and comes back from a copy
	Change          Kind = "change"           // a route goes or comes back, an account is topped up
)

// planned are the kinds that are no failure: what they cut off counts against the fleet.
var planned = map[Kind]bool{Stop: true, Reload: true, Change: true, Replaced: true}

// allKinds lists the kinds in the order in which a plan draws them. Planned work stands
// more than once: its promises are the strictest.
var allKinds = []Kind{
	Kill, Pause, Stop, Stop, Reload, StoreReset, StoreSilence, StoreHold, StoreDelay, ClientReset,
	UpstreamReset, UpstreamSilence, UpstreamHold, UpstreamDelay, AnswersLost, AnswersRefused, AnswersFailed,
	AnswersCrossed, AnswersExtra, StreamsCut, Replaced, Replaced, Outage, Throttle, Slow, WritesLost, WritesLate,
	WatchesLost, HistoryGone, Change, Change, KillAll,
}

// Fault is one fault of a plan.
type Fault struct {
	// At is when it strikes, from the start; For is how long it lasts.
	At, For time.Duration
	Kind    Kind
	// Target picks the instance or upstream; it is taken modulo their number.
	Target int
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %-16s target %d for %.2fs", f.At.Seconds(), f.Kind, f.Target, f.For.Seconds())
}

// Bounds of a plan.
const (
	// warmUp is the time before the first fault.
	warmUp = time.Second
	// longestGap is the longest time between two series of faults, longestSeries how
	// many faults of one kind come in a series, seriesGap the longest time between them.
	longestGap    = 1200 * time.Millisecond
	longestSeries = 3
	seriesGap     = 400 * time.Millisecond
	// shortestFault and longestFault bound how long one lasts: below and well above the
	// time after which instances take others for silent (3 s).
	shortestFault = 100 * time.Millisecond
	longestFault  = 4500 * time.Millisecond
)

// plannedOnly is in how many plans one has planned work only. Beside a failure a planned
// stop may cut requests off; alone it may not.
const plannedOnly = 3

// NewPlan draws the faults of a run from a seed: the same seed gives the same faults.
// They come in series and overlap.
func NewPlan(seed uint64, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	kinds := allKinds
	if rng.IntN(plannedOnly) == 0 {
		kinds = []Kind{Stop, Reload, Change, Replaced}
	}
	var plan []Fault
	for at := warmUp; at < length; at += upTo(rng, longestGap) {
		kind := kinds[rng.IntN(len(kinds))]
		strikes := at
		for range 1 + rng.IntN(longestSeries) {
			plan = append(plan, Fault{
				At: strikes, For: shortestFault + upTo(rng, longestFault-shortestFault), Kind: kind, Target: rng.IntN(1 << 16),
			})
			strikes += upTo(rng, seriesGap)
		}
	}
	if len(kinds) == len(allKinds) {
		plan = append(plan, goingBack(seed, length)...)
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}

// backIn is in one of how many plans with failures the store goes back, mostBack how often then.
const (
	backIn   = 3
	mostBack = 3
)

// goingBack draws when the store goes back in a run, from numbers of its own: the other faults of a
// seed stay what they are.
func goingBack(seed uint64, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	if rng.IntN(backIn) != 0 {
		return nil
	}
	var plan []Fault
	for range 1 + rng.IntN(mostBack) {
		at := warmUp + upTo(rng, max(length-warmUp, time.Second))
		lasts := shortestFault + upTo(rng, longestFault-shortestFault)
		plan = append(plan, Fault{At: at, For: lasts, Kind: WentBack, Target: rng.IntN(1 << 16)})
	}
	return plan
}

// upTo draws a time below a bound.
func upTo(rng *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(bound)))
}
