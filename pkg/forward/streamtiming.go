package forward

import (
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// streamTiming records when a stream's first event came and the longest pause between two events,
// from which on-call engineers see why its client found it slow.
type streamTiming struct {
	firstEvent, longestPause time.Duration
	lastEventAt              time.Time
}

// recordEvent records that an event was delivered to a client whose request came at arrived.
func (p *streamTiming) recordEvent(now, arrived time.Time) {
	if p.lastEventAt.IsZero() {
		p.firstEvent = now.Sub(arrived)
	} else {
		p.longestPause = max(p.longestPause, now.Sub(p.lastEventAt))
	}
	p.lastEventAt = now
}

// addFields adds the timing to the fields of a log event; nothing if no stream event was delivered.
func (p *streamTiming) addFields(fields eventlog.Fields) {
	if p.lastEventAt.IsZero() {
		return
	}
	fields["first_event_ms"] = p.firstEvent.Milliseconds()
	fields["longest_pause_ms"] = p.longestPause.Milliseconds()
}
