package forward

import (
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// streamTiming records how long a stream's first event took and the longest pause between two
// events. From these, on-call engineers see why the client found the stream slow.
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
