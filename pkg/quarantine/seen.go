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
	// explained says that a suspected request ran there.
	explained bool
}

// note takes in that a request was running at an upstream that crashed.
func (s crashesSeen) note(upstream string, suspected bool, now time.Time) {
	for id, seen := range s {
		if now.Sub(seen.at) > rememberFor {
			delete(s, id)
		}
	}
	seen, known := s[upstream]
	if !known {
		seen.at = now
	}
	seen.explained = seen.explained || suspected
	s[upstream] = seen
}

// othersAt reports whether an upstream outside of own crashed at a time, and no suspected request was
// there that explains it. A domain that loses power, and a release, are such.
func (s crashesSeen) othersAt(own map[string]bool, at time.Time) bool {
	for id, seen := range s {
		if !own[id] && !seen.explained && seen.at.Sub(at).Abs() <= JudgeAfter {
			return true
		}
	}
	return false
}

// aloneNeeded is how many crashes of its own a request needs to be condemned; own are the upstreams
// that crashed under it. Where upstreams crash one after the other without a suspect, a sound
// request meets several of them.
func (s crashesSeen) aloneNeeded(own map[string]bool, now time.Time) uint32 {
	unexplained := 0
	for id, seen := range s {
		if !own[id] && !seen.explained && now.Sub(seen.at) <= rememberFor {
			unexplained++
		}
	}
	switch {
	case unexplained <= 2:
		return 2
	case unexplained <= 5:
		return 3
	default:
		return 4
	}
}
