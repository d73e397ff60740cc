package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds on the endings of a record.
const (
	// maxEndings limits the endings of one record; those with the highest turns are kept.
	maxEndings = 8
	// endingLifetime is how long an ending is kept. Upstreams restart within seconds, so an ending
	// that is still undecided after this time will not be decided.
	endingLifetime = 10 * time.Second
)

// Upstream identifies one incarnation of an upstream.
type Upstream struct {
	// ID is the name shown to operators.
	ID string
	// Address is the IP address and port, which later incarnations may reuse.
	Address string
	// Incarnation distinguishes the processes at one address; empty if unknown.
	Incarnation string
}

// endingKey identifies one ending: the end of an upstream's connection during a request.
type endingKey struct {
	// Turn is the ordinal of the ending: one more than that of the last ending known when the run
	// began, so that the endings of concurrent runs share a turn.
	Turn uint32
	// Instance is the instance whose connection ended.
	Instance string
	Upstream
}

// compare orders endings by turn, and by the other fields where the turn is equal.
func (k endingKey) compare(other endingKey) int {
	return cmp.Or(
		cmp.Compare(k.Turn, other.Turn),
		cmp.Compare(k.Instance, other.Instance),
		cmp.Compare(k.Address, other.Address),
		cmp.Compare(k.Incarnation, other.Incarnation),
		cmp.Compare(k.ID, other.ID),
	)
}

// ending records that an upstream ended a connection before its answer was complete.
// It is undecided until it is found to be a crash or refuted.
type ending struct {
	// At is when the ending was observed, by this instance's clock.
	At time.Time
	// Crash is the ordinal of the crash that ended the connection; 0 if none is known.
	Crash uint32
	// Refuted reports that the process survived, so it did not crash.
	Refuted bool
	// Isolated reports that the ending was a crash, and that no other upstream crashed at that time
	// for an unknown cause.
	Isolated bool
	// Suspects are the parts of the request's prompt; empty if the answer had proved them sound.
	Suspects suspects
}

func (e ending) isUndecided() bool { return e.Crash == 0 && !e.Refuted }

// mergeEndings merges the endings of another record, and reports whether that added knowledge.
func (r *Record) mergeEndings(others map[endingKey]ending) (changed bool) {
	if len(others) == 0 {
		return false
	}
	before := maps.Clone(r.endings)
	if r.endings == nil {
		r.endings = map[endingKey]ending{}
	}
	for key, other := range others {
		present, known := r.endings[key]
		if !known {
			r.endings[key] = other
			continue
		}
		present.Crash = max(present.Crash, other.Crash)
		present.Refuted = present.Refuted || other.Refuted
		present.Isolated = present.Isolated || other.Isolated
		if other.At.Before(present.At) {
			present.At = other.At
		}
		r.endings[key] = present
	}
	r.trimEndings()
	return !equalIgnoringTime(before, r.endings)
}

// equalIgnoringTime compares endings except for their times, which differ between instances by the
// latency of messages.
func equalIgnoringTime(a, b map[endingKey]ending) bool {
	return maps.EqualFunc(a, b, func(x, y ending) bool {
		return x.Crash == y.Crash && x.Refuted == y.Refuted && x.Isolated == y.Isolated
	})
}

// trimEndings removes the endings with the lowest turns until maxEndings are left.
func (r *Record) trimEndings() {
	for len(r.endings) > maxEndings {
		delete(r.endings, r.orderedEndings()[0])
	}
}

func (r *Record) orderedEndings() []endingKey {
	return slices.SortedFunc(maps.Keys(r.endings), endingKey.compare)
}

// expireEndings removes the endings older than endingLifetime.
func (r *Record) expireEndings(now time.Time) {
	maps.DeleteFunc(r.endings, func(_ endingKey, e ending) bool { return now.Sub(e.At) > endingLifetime })
}

// lastTurn returns the turn of the last ending.
func (r *Record) lastTurn() uint32 {
	var last uint32
	for key := range r.endings {
		last = max(last, key.Turn)
	}
	return last
}

// lastSettledTurn returns the turn of the last ending that no longer counts: a refuted one, or a crash
// that was cleared.
func (r *Record) lastSettledTurn() uint32 {
	var last uint32
	for key, e := range r.endings {
		if !e.isUndecided() && e.Crash <= r.Cleared {
			last = max(last, key.Turn)
		}
	}
	return last
}

// NumUndecided returns the number of endings that may still turn out to be crashes.
func (r *Record) NumUndecided() uint32 {
	var undecided uint32
	for _, e := range r.endings {
		if e.isUndecided() {
			undecided++
		}
	}
	return undecided
}

// crashOrdinal returns the ordinal of a crash that ended a connection. Crashes in the same turn share
// an ordinal, and so do endings by the same process, since a process crashes only once; any other crash
// gets the next ordinal.
func (r *Record) crashOrdinal(key endingKey) uint32 {
	for other, e := range r.endings {
		same := other.Turn == key.Turn || (other.Address == key.Address && other.Incarnation == key.Incarnation)
		if same && e.Crash > r.Cleared {
			return e.Crash
		}
	}
	return max(r.lastCrashOrdinal(), r.Cleared) + 1
}

// numIsolatedCrashes returns how many of the crashes that still count were isolated.
func (r *Record) numIsolatedCrashes() uint32 {
	ordinals := map[uint32]bool{}
	for _, e := range r.endings {
		if e.Isolated && e.Crash > r.Cleared {
			ordinals[e.Crash] = true
		}
	}
	return max(r.Isolated-min(r.Isolated, r.Cleared), uint32(len(ordinals)))
}

// refuteUndecided marks all undecided endings as refuted, and reports whether there were any.
func (r *Record) refuteUndecided() (changed bool) {
	for key, e := range r.endings {
		if e.isUndecided() {
			e.Refuted = true
			r.endings[key] = e
			changed = true
		}
	}
	return changed
}
