package quarantine

import "time"

// Times for comparing crashes with those of other upstreams.
const (
	// JudgeDelay is the time from a crash until it is judged. By then this instance has received
	// the crashes that other instances saw at the same moment.
	JudgeDelay = 80 * time.Millisecond
	// recentCrashLifetime is how long a crash counts towards the frequency of crashes.
	recentCrashLifetime = 10 * time.Second
)

// recentCrashes holds the recent crashes of upstreams that this instance saw or received, by the ID of
// the incarnation.
type recentCrashes map[string]recentCrash

type recentCrash struct {
	at time.Time
	// explained reports that the upstream was running a request that had already crashed
	// minExplainingCrashes upstreams in a row.
	explained bool
}

// minExplainingCrashes is the number of consecutive crashes that makes a request the likely cause of the
// next one. One is not enough: after one crash, all requests that ran at the upstream are equally
// suspected.
const minExplainingCrashes = 2

// note records the crash of an upstream that was running a request with the given number of previous
// consecutive crashes.
func (s recentCrashes) note(upstream string, previousCrashes uint32, now time.Time) {
	for id, crash := range s {
		if now.Sub(crash.at) > recentCrashLifetime {
			delete(s, id)
		}
	}
	crash, known := s[upstream]
	if !known {
		crash.at = now
	}
	crash.explained = crash.explained || previousCrashes >= minExplainingCrashes
	s[upstream] = crash
}

// hasUnexplainedAt reports whether an upstream not in own crashed within JudgeDelay of a time, and no
// request that ran there explains it. This happens when a failure domain loses power, or during a
// release.
func (s recentCrashes) hasUnexplainedAt(own map[string]bool, at time.Time) bool {
	for id, crash := range s {
		if !own[id] && !crash.explained && crash.at.Sub(at).Abs() <= JudgeDelay {
			return true
		}
	}
	return false
}

// Numbers of other recently crashed upstreams above which a request or part needs more crashes to be condemned.
const (
	maxFewOthers  = 4
	maxSomeOthers = 8
)

// requiredCrashes returns the number of crashes that condemns a request or part where others crashed lately. It
// grows with their number, whatever the cause: where crashes are frequent, a harmless request is present at several.
func requiredCrashes(others int) uint32 {
	switch {
	case others <= maxFewOthers:
		return CondemnAfter
	case others <= maxSomeOthers:
		return CondemnAfter + 1
	default:
		return CondemnAtMost
	}
}

// requiredIsolated returns the number of isolated crashes that condemns a request; own are the
// upstreams that crashed under it. The first crash need not be isolated.
func (s recentCrashes) requiredIsolated(own map[string]bool, now time.Time) uint32 {
	others := 0
	for id, crash := range s {
		if !own[id] && now.Sub(crash.at) <= recentCrashLifetime {
			others++
		}
	}
	return requiredCrashes(others) - 1
}
