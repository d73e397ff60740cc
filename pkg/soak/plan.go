package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Faults of an instance affect its process or its connections,
// faults of an upstream its connections or its answers.
const (
	Kill            Kind = "kill"             // SIGKILL, restarted later
	KillAll         Kind = "kill-all"         // SIGKILL to all instances at once, all restarted together
	Pause           Kind = "pause"            // SIGSTOP, SIGCONT later
	Stop            Kind = "planned-stop"     // SIGTERM, restarted when it has ended
	Reload          Kind = "reload"           // SIGHUP
	StoreReset      Kind = "store-reset"      // an instance's connections to the store are refused
	StoreSilence    Kind = "store-silence"    // its open connections to the store go silent for good
	StoreHold       Kind = "store-hold"       // its calls to the store arrive, the answers do not
	StoreDelay      Kind = "store-delay"      // both directions to the store are delayed
	ClientReset     Kind = "client-reset"     // its clients' connections are reset
	UpstreamReset   Kind = "upstream-reset"   // an upstream's connections are refused
	UpstreamSilence Kind = "upstream-silence" // an upstream's open connections go silent for good
	UpstreamHold    Kind = "upstream-hold"    // an upstream gets requests, its answers do not arrive
	UpstreamDelay   Kind = "upstream-delay"   // both directions to an upstream are delayed
	AnswersLost     Kind = "answers-lost"     // an upstream runs requests and does not answer
	AnswersRefused  Kind = "answers-refused"  // an upstream answers "not run"
	AnswersFailed   Kind = "answers-failed"   // an upstream answers 500
	AnswersCrossed  Kind = "answers-crossed"  // an upstream answers with another request's id
	AnswersExtra    Kind = "answers-extra"    // an upstream sends an unsolicited extra answer
	StreamsCut      Kind = "streams-cut"      // an upstream breaks streams off within an event
	Replaced        Kind = "replaced"         // an upstream is announced as leaving and withdrawn, and another is added
	Outage          Kind = "outage"           // the store refuses all calls
	Throttle        Kind = "throttle"         // the store throttles all calls
	Slow            Kind = "slow"             // the store is slow
	WritesLost      Kind = "writes-lost"      // writes take effect and are not answered
	WritesLate      Kind = "writes-late"      // writes take effect later and are not answered
	WatchesLost     Kind = "watches-lost"     // watches are never answered, their connections stay open
	HistoryGone     Kind = "history-gone"     // the change history is dropped, so watches must list again
	StoreRollback   Kind = "store-went-back"  // the store is unavailable and comes back from an older copy
	UpstreamPause   Kind = "upstream-pause"   // an upstream sends nothing for a moment and goes on
	AnswersEndless  Kind = "answers-endless"  // an upstream sends a head or a body without end
	Change          Kind = "change"           // a route is added or removed, and an account topped up
)

// plannedKinds are the kinds that are planned work, or a silence of a sound upstream, and not failures: a
// request that one of them cuts off is a violation.
var plannedKinds = map[Kind]bool{Stop: true, Reload: true, Change: true, Replaced: true, UpstreamPause: true}

// allKinds lists the kinds that a plan draws from. A seed's plan depends on their order.
// Planned work is listed more than once, because its guarantees are the strictest.
var allKinds = []Kind{
	Kill, Pause, Stop, Stop, Reload, StoreReset, StoreSilence, StoreHold, StoreDelay, ClientReset,
	UpstreamReset, UpstreamSilence, UpstreamHold, UpstreamDelay, AnswersLost, AnswersRefused, AnswersFailed,
	AnswersCrossed, AnswersExtra, StreamsCut, Replaced, Replaced, Outage, Throttle, Slow, WritesLost, WritesLate,
	WatchesLost, HistoryGone, Change, Change, KillAll,
}

// Fault is one fault of a plan.
type Fault struct {
	// Start is the time from the start of the run, Duration how long the fault lasts.
	Start, Duration time.Duration
	Kind            Kind
	// Target selects the instance or upstream, modulo their number.
	Target int
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %-16s target %d for %.2fs", f.Start.Seconds(), f.Kind, f.Target, f.Duration.Seconds())
}

// Bounds of a plan.
const (
	// warmUpDuration is the time before the first fault.
	warmUpDuration = time.Second
	// maxSeriesInterval bounds the time between the starts of two series of faults,
	// maxSeriesLength the number of faults in a series, which are of one kind, and
	// maxFaultInterval the time between the starts of two of them.
	maxSeriesInterval = 1200 * time.Millisecond
	maxSeriesLength   = 3
	maxFaultInterval  = 400 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts: from below to
	// well above the 3 s after which instances consider a member silent.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 4500 * time.Millisecond
)

// One of plannedOnlyDivisor plans has planned work only. During a failure a planned stop may
// cut requests off; without one it may not.
const plannedOnlyDivisor = 3

// NewPlan draws the faults of a run from a seed; the same seed and length give the same
// faults. Faults come in series and overlap.
func NewPlan(seed uint64, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	kinds := allKinds
	if rng.IntN(plannedOnlyDivisor) == 0 {
		kinds = []Kind{Stop, Reload, Change, Replaced}
	}
	var plan []Fault
	for at := warmUpDuration; at < length; at += randDuration(rng, maxSeriesInterval) {
		kind := kinds[rng.IntN(len(kinds))]
		faultStart := at
		for range 1 + rng.IntN(maxSeriesLength) {
			plan = append(plan, Fault{
				Start: faultStart, Duration: minFaultDuration + randDuration(rng, maxFaultDuration-minFaultDuration), Kind: kind, Target: rng.IntN(1 << 16),
			})
			faultStart += randDuration(rng, maxFaultInterval)
		}
	}
	if len(kinds) == len(allKinds) {
		plan = append(plan, newRollbacks(seed, length)...)
		plan = append(plan, newEndlessAnswers(seed, length)...)
	}
	plan = append(plan, newSilences(seed, length)...)
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].Start < plan[j].Start })
	return plan
}

// One of rollbackDivisor plans with failures has store rollbacks, at most maxRollbacks.
const (
	rollbackDivisor = 3
	maxRollbacks    = 3
)

// newRollbacks draws the store rollbacks of a run from a random sequence of their own, so that the
// other faults of a seed stay the same.
func newRollbacks(seed uint64, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	if rng.IntN(rollbackDivisor) != 0 {
		return nil
	}
	var plan []Fault
	for range 1 + rng.IntN(maxRollbacks) {
		at := warmUpDuration + randDuration(rng, max(length-warmUpDuration, time.Second))
		duration := minFaultDuration + randDuration(rng, maxFaultDuration-minFaultDuration)
		plan = append(plan, Fault{Start: at, Duration: duration, Kind: StoreRollback, Target: rng.IntN(1 << 16)})
	}
	return plan
}

// randDuration draws a duration below a bound.
func randDuration(rng *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(bound)))
}
