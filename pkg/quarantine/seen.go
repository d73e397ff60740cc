package quarantine

import "time"

// How crashes are told apart from those that have a cause of their own.
const (
	// JudgeAfter is how long after a crash it is judged: what crashed at the same moment is
	// known from others by then.
	JudgeAfter = 80 * time.Millisecond
	// rememberFor is for how long crashes say how common they are.
	rememberFor = 10 * time.Second
)

// crashesSeen are the crashes of upstreams of the last seconds, by incarnation, as this instance
// saw them or heard of them.
type crashesSeen map[string]crashSeen

type crashSeen struct {
	at time.Time
	// explained says that a request ran there under which others had crashed one after the
	// other.
	explained bool
}

// explains is how many crashes in a row make a request the likely cause of the next one. After one
// crash all that ran beside the cause are suspected alike.
const explains = 2

// note takes in that a request was running at an upstream that crashed, and how many had crashed
// under it before.
func (s crashesSeen) note(upstream string, before uint32, now time.Time) {
	for id, seen := range s {
		if now.Sub(seen.at) > rememberFor {
			delete(s, id)
		}
	}
	seen, known := s[upstream]
	if !known {
		seen.at = now
	}
	seen.explained = seen.explained || before >= explains
	s[upstream] = seen
}

// othersAt reports whether an upstream outside of own crashed at a time, and nothing that ran
// there explains it. A domain that loses power, and a release, are such.
func (s crashesSeen) othersAt(own map[string]bool, at time.Time) bool {
	for id, seen := range s {
		if !own[id] && !seen.explained && seen.at.Sub(at).Abs() <= JudgeAfter {
			return true
		}
	}
	return false
}

// How common crashes are: so many others of the last seconds make a request's own say less.
const (
	fewOthers  = 4
	someOthers = 8
)

// aloneNeeded is how many crashes of its own a request needs to be condemned; own are the upstreams
// that crashed under it. Where many others crash, for whatever cause, a sound request meets several
// of them.
func (s crashesSeen) aloneNeeded(own map[string]bool, now time.Time) uint32 {
	others := 0
	for id, seen := range s {
		if !own[id] && now.Sub(seen.at) <= rememberFor {
			others++
		}
	}
	switch {
	case others <= fewOthers:
		return CondemnAfter - 1
	case others <= someOthers:
		return CondemnAfter
	default:
		return CondemnAtMost - 1
	}
}
