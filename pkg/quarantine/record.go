package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
)

// Numbers of consecutive crashes that condemn a request.
const (
	// CondemnAfter is the minimum. If fewer crashes condemned a request, a harmless one that twice
	// ran next to a request that crashes upstreams would be condemned.
	CondemnAfter = 3
	// CondemnAtMost is the number that condemns a request even if none of its crashes was isolated.
	CondemnAtMost = 5
)

// maxReporters limits the instances listed in Record.Crashes. Two are enough to condemn a request.
const maxReporters = 4

// Record is what is known about one request, or about one part of prompts. Every counter only grows, and
// merging takes the higher value, so records may be received in any order and more than once.
type Record struct {
	Fingerprint fingerprint.Fingerprint
	// Account and Route show operators whose request it is and where it is sent.
	Account, Route string
	// Crashes maps each reporting instance to the ordinal of the last crash it saw. A crash gets
	// ordinal n+1 if n crashes were known when the run began, so upstreams that crash at the same
	// moment under equal requests count as one crash.
	Crashes map[string]uint32
	// Cleared is the ordinal up to which crashes no longer count, because the request was answered
	// after them or an operator released it.
	Cleared uint32
	// Isolated counts the isolated crashes, those at a time when no other upstream crashed for an
	// unknown cause. The count continues from Cleared, so that cleared crashes no longer add to it.
	Isolated uint32
	// Verdict is the ordinal of the last crash when an instance condemned the request.
	Verdict uint32
	// Started and Ended are the ordinals of the last trials that began and ended. A trial is a run
	// of a suspected request.
	Started, Ended uint32
	// LastCrash is when the last crash was observed, by the clock of the instance that observed it.
	LastCrash time.Time
	// Upstream is the ID of the incarnation that crashed last.
	Upstream string
	// Part is the part that the record is about, in the requests of Account or, if that is empty, of all
	// accounts; nil for a request.
	Part *Part
	// Answered is when an answer last proved the part sound after a crash had counted against the part, by this
	// instance's clock; zero if none has.
	Answered time.Time
	// endings are the recent connections that ended before the answer was complete.
	endings map[endingKey]ending
}

// State is how an instance treats a request, derived from its record.
type State string

// States of a request.
const (
	// Clear requests run without restrictions.
	Clear State = "clear"
	// Suspected requests run one at a time.
	Suspected State = "suspected"
	// Condemned requests do not run.
	Condemned State = "condemned"
)

// lastCrashOrdinal returns the highest ordinal of a crash.
func (r *Record) lastCrashOrdinal() uint32 {
	var last uint32
	for _, ordinal := range r.Crashes {
		last = max(last, ordinal)
	}
	return last
}

// ConsecutiveCrashes returns the number of crashes since the request was last cleared.
func (r *Record) ConsecutiveCrashes() uint32 {
	last := r.lastCrashOrdinal()
	return last - min(last, r.Cleared)
}

// IsCondemned reports whether the request has CondemnAtMost consecutive crashes, or some instance
// condemned it and it has not been cleared since.
func (r *Record) IsCondemned() bool {
	consecutive := r.ConsecutiveCrashes()
	return consecutive >= CondemnAtMost || (consecutive > 0 && r.Verdict > r.Cleared)
}

// StateAt returns the state of the request at an instance. Crashes reported by only one other instance
// do not condemn it: a faulty instance could otherwise block requests in the whole fleet.
func (r *Record) StateAt(instance string) State {
	switch {
	case r.ConsecutiveCrashes() == 0 && r.NumUndecided() <= 1: // a single ended connection does not indicate a crash
		return Clear
	case !r.IsCondemned():
		return Suspected
	}
	reporters := 0
	for _, ordinal := range r.Crashes {
		if ordinal > r.Cleared {
			reporters++
		}
	}
	if reporters > 1 || r.Crashes[instance] > r.Cleared {
		return Condemned
	}
	return Suspected
}

// merge merges another record of the request, and reports whether that added knowledge.
func (r *Record) merge(other *Record) (changed bool) {
	before := maps.Clone(r.Crashes)
	for instance, ordinal := range other.Crashes {
		r.Crashes[instance] = max(r.Crashes[instance], ordinal)
	}
	r.trimReporters()
	changed = !maps.Equal(before, r.Crashes)
	changed = raise(&r.Cleared, other.Cleared) || changed
	changed = raise(&r.Isolated, other.Isolated) || changed
	changed = raise(&r.Verdict, other.Verdict) || changed
	changed = raise(&r.Started, other.Started) || changed
	changed = raise(&r.Ended, other.Ended) || changed
	changed = r.mergeEndings(other.endings) || changed
	changed = r.raiseAnswered(other.Answered) || changed
	if other.LastCrash.After(r.LastCrash) {
		r.LastCrash, r.Upstream = other.LastCrash, other.Upstream
	}
	return changed
}

// raiseAnswered records that an answer proved the part sound at a time, and reports whether that is later than the
// last one known. Times that differ by less than answerPrecision are the same answer, told by several instances.
func (r *Record) raiseAnswered(at time.Time) bool {
	if at.Sub(r.Answered) < answerPrecision {
		return false
	}
	r.Answered = at
	return true
}

// answerPrecision is how much the times that instances derive for one answer may differ, by the latency of
// messages.
const answerPrecision = 100 * time.Millisecond

func raise(counter *uint32, value uint32) bool {
	if value <= *counter {
		return false
	}
	*counter = value
	return true
}

// trimReporters removes the reporters with the lowest ordinals until maxReporters are left. Those with
// the highest ordinals are kept, whatever the order of merges.
func (r *Record) trimReporters() {
	for len(r.Crashes) > maxReporters {
		lowest := slices.MinFunc(slices.Sorted(maps.Keys(r.Crashes)), func(a, b string) int {
			return int(r.Crashes[a]) - int(r.Crashes[b])
		})
		delete(r.Crashes, lowest)
	}
}

func (r *Record) clone() Record {
	copied := *r
	copied.Crashes = maps.Clone(r.Crashes)
	copied.endings = maps.Clone(r.endings)
	return copied
}

// WithoutEndings returns a copy without the endings and the last answer, which are only relevant for seconds.
func (r *Record) WithoutEndings() Record {
	copied := r.clone()
	copied.endings, copied.Answered = nil, time.Time{}
	return copied
}

// isWatched reports whether the record has consecutive crashes or undecided endings. While any record
// has, instances fingerprint their requests to find those that match.
func (r *Record) isWatched() bool { return r.ConsecutiveCrashes() > 0 || r.NumUndecided() > 0 }
